//! The core alone, with an upstream that only records its calls and a clock that is set by hand.

#[path = "core/harness.rs"]
mod harness;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use cranetack_router::core::{
    CoreEvent, Endpoint, EndpointEntry, EndpointListUpdate, IncomingRequest, SlotReservation,
};
use cranetack_router::exchange::{self, FinalResponse, Message};
use cranetack_routing_policy::{ConnectFailure, EndpointState, Idempotency, Outcome, ResetCause};
use tokio::time::Instant;

use harness::*;

#[tokio::test(start_paused = true)]
async fn a_disconnected_client_has_its_attempt_cancelled_and_its_state_released_at_once() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let response = harness.submit();
    harness.outbound.take();
    drop(response);
    harness.drain();
    assert_eq!(harness.outbound.take(), [Call::Cancel(attempt(0))]);
    harness.end_attempt(0, Outcome::Cancelled);
    assert_eq!(harness.outbound.take(), [Call::Release("q".to_owned())]);
}

/// Its connection may come up late, also where the settings do not let attempts be cancelled.
#[tokio::test(start_paused = true)]
async fn an_attempt_that_is_not_written_yet_sees_that_its_request_has_ended() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let response = harness.submit();
    assert!(harness.outbound.is_live.borrow().get());
    drop(response);
    harness.drain();
    assert!(!harness.outbound.is_live.borrow().get());
}

/// The process before is gone, and its machine may have vanished without a word.
#[tokio::test(start_paused = true)]
async fn a_restarted_endpoint_has_its_idle_connections_closed() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let prefill = Endpoint::new("prefill", "127.0.0.1:1".parse().unwrap()).id;
    for (started_at, calls) in [
        (None, vec![]),
        (Some(7), vec![Call::Closed(prefill)]),
        (Some(7), vec![]),
    ] {
        let entry = EndpointEntry {
            started_at,
            ..entry("prefill", 0, EndpointState::Active)
        };
        harness
            .core
            .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
                vec![entry],
            )));
        assert_eq!(harness.outbound.take(), calls, "{started_at:?}");
    }
}

/// No more than the name could be read of its entry.
#[tokio::test(start_paused = true)]
async fn an_endpoint_of_which_only_the_drain_is_known_gets_no_requests() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    harness.core.handle(CoreEvent::EndpointsDraining(vec![
        "prefill".to_owned(),
        "unknown".to_owned(),
    ]));
    let _caller = harness.submit();
    harness.drain();
    assert!(!harness
        .outbound
        .take()
        .iter()
        .any(|calls| matches!(calls, Call::Send(..))));
}

/// The decode endpoint's response may cross the end of the request.
#[tokio::test(start_paused = true)]
async fn a_slot_reserved_after_the_end_is_released() {
    for reservation in [SlotReservation::Granted, SlotReservation::Unknown] {
        let mut harness = CoreHarness::new(Idempotency::Idempotent);
        drop(harness.submit());
        harness.drain();
        harness.end_attempt(0, Outcome::Cancelled);
        harness.outbound.take();
        harness.answer_reservation(reservation);
        assert_eq!(harness.outbound.take(), [Call::Release("q".to_owned())]);
    }
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let _caller = harness.submit();
    harness.outbound.take();
    harness.answer_reservation(SlotReservation::Granted);
    assert_eq!(
        harness.outbound.take(),
        [],
        "a slot that is still needed stays"
    );
}

/// The prefill may have been written to a connection that had fallen silent, so that no attempt is
/// in flight, and the decode endpoint responds after 0.3 s that it knows of no prefill.
#[tokio::test(start_paused = true)]
async fn an_unconfirmed_slot_is_released_while_the_prefill_is_waited_for() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let _caller = harness.submit();
    harness.outbound.take();
    harness.answer_reservation(SlotReservation::Unknown);
    assert_eq!(harness.outbound.take(), [Call::Release("q".to_owned())]);
    // The prefill ends after all: the request is served as usual.
    harness.end_attempt(0, Outcome::Prefilled { cached_tokens: 0 });
    assert_eq!(
        harness.outbound.take(),
        [Call::Send(attempt(1), "decode".to_owned())]
    );
    harness.answer_reservation(SlotReservation::Unknown);
    assert_eq!(
        harness.outbound.take(),
        [],
        "KV state that is being fetched is not released"
    );
}

#[tokio::test(start_paused = true)]
async fn a_non_idempotent_request_that_may_have_been_executed_fails_at_once_without_a_retry() {
    let mut harness = CoreHarness::new(Idempotency::NonIdempotent);
    let response = harness.prefill();
    harness.end_attempt(1, Outcome::ConnectionReset(ResetCause::InUse));
    assert_eq!(harness.outbound.take(), [Call::Release("q".to_owned())]);
    assert!(matches!(response.response().await.0, FinalResponse::Failed));
}

#[tokio::test(start_paused = true)]
async fn a_non_idempotent_request_that_was_not_executed_is_retried() {
    let mut harness = CoreHarness::new(Idempotency::NonIdempotent);
    let _caller = harness.prefill();
    harness.end_attempt(1, Outcome::ConnectFailed(ConnectFailure::Unreachable));
    // The decode endpoint that failed is ejected; the KV state waits no longer than its lease.
    assert_eq!(harness.outbound.take(), []);
    tokio::time::advance(Duration::from_millis(200)).await;
    harness.core.fire();
    assert_eq!(harness.outbound.take()[0], Call::Release("q".to_owned()));
}

/// Where a zone is cut off, one decode endpoint after another cannot be reached: the attempts
/// together take no longer than the KV lease.
#[tokio::test(start_paused = true)]
async fn kv_state_waits_no_longer_than_its_lease_for_connections_that_do_not_come_up() {
    let mut harness = CoreHarness::new(Idempotency::NonIdempotent);
    let decode_entries = (0..9)
        .map(|n| entry(&format!("decode {n}"), 1, EndpointState::Active))
        .collect();
    harness
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            decode_entries,
        )));
    let _caller = harness.submit();
    harness.end_attempt(0, Outcome::Prefilled { cached_tokens: 0 });
    let read = Instant::now();
    let mut tried = 0;
    loop {
        let calls = harness.outbound.take();
        if calls.contains(&Call::Release("q".to_owned())) {
            break;
        }
        let sent = calls.iter().find_map(|calls| match calls {
            Call::Send(attempt, endpoint) if endpoint != "prefill" => Some(attempt.number),
            _ => None,
        });
        tokio::time::sleep_until(harness.outbound.write_by.get().unwrap()).await;
        harness.end_attempt(
            sent.expect("another decode endpoint, or the end"),
            Outcome::ConnectFailed(ConnectFailure::Unreachable),
        );
        tried += 1;
    }
    let elapsed = read.elapsed();
    assert!(
        tried > 1 && elapsed <= Duration::from_millis(300),
        "{tried} writers in {elapsed:?}"
    );
}

/// Releases must not be tried at one unreachable endpoint after another.
#[tokio::test(start_paused = true)]
async fn state_is_released_through_the_endpoints_that_responded_last() {
    let mut harness = CoreHarness::new(Idempotency::NonIdempotent);
    let others = (0..20)
        .map(|n| entry(&format!("other {n}"), 1, EndpointState::Active))
        .collect();
    harness
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            others,
        )));
    let checked = Endpoint::new("other 7", "127.0.0.1:1".parse().unwrap()).id;
    let (outcome, elapsed) = (Outcome::Completed, Duration::from_millis(1));
    harness.core.handle(CoreEvent::HealthChecked {
        endpoint: checked,
        outcome,
        elapsed,
        load: None,
    });
    tokio::time::advance(Duration::from_millis(1)).await;
    let response = harness.submit();
    harness.end_attempt(0, Outcome::Prefilled { cached_tokens: 0 });
    drop(response);
    harness.drain();
    harness.end_attempt(1, Outcome::ConnectFailed(ConnectFailure::Unreachable));
    assert_eq!(
        harness.outbound.through.borrow()[..2],
        ["prefill", "other 7"]
    );
    assert_eq!(harness.outbound.through.borrow().len(), 22);
}

/// What comes after the response has begun changes nothing.
#[tokio::test(start_paused = true)]
async fn a_response_that_has_begun_is_the_only_one() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let response = harness.prefill();
    let (sender, body) = exchange::body_channel();
    let media_type = "text/event-stream".to_owned();
    harness.core.handle(CoreEvent::StreamStarted {
        attempt: attempt(1),
        media_type,
        body,
    });
    drop(sender);
    harness.end_attempt(1, Outcome::ConnectionReset(ResetCause::InUse));
    harness.end_attempt(1, Outcome::Completed);
    let (answer, _gone) = response.response().await;
    let FinalResponse::Streaming { mut body, .. } = answer else {
        panic!("{answer:?}")
    };
    let broken = std::future::poll_fn(|cx| body.poll_next(cx)).await;
    assert_eq!(broken, Some(Err(exchange::IncompleteBody)));
    tokio::time::advance(Duration::from_secs(3)).await;
    harness.core.fire();
    assert_eq!(harness.outbound.take(), [], "nothing further is sent");
}

/// A panic must not end the process.
#[tokio::test(start_paused = true)]
async fn a_panic_fails_open_requests_and_the_next_one_is_served() {
    let harness = CoreHarness::new(Idempotency::Idempotent);
    harness.outbound.panics.set(true);
    let first = submit(&harness.handle, "q");
    let CoreHarness {
        core,
        outbound,
        handle,
        events,
    } = harness;
    let serving = async {
        assert!(matches!(first.response().await.0, FinalResponse::Failed));
        assert_eq!(
            outbound.take(),
            [Call::Cancel(attempt(0)), Call::Release("q".to_owned())]
        );
        let _second = submit(&handle, "r");
        tokio::time::sleep(Duration::from_millis(1)).await;
        let sent = |calls: &Call| matches!(calls, Call::Send(_, endpoint) if endpoint == "prefill");
        assert!(outbound.take().iter().any(sent));
    };
    tokio::select! {
        () = core.run(events) => panic!("the core ends with its handles"),
        () = serving => {}
    }
}

/// Where no endpoint takes the request it is rejected as soon as there is no chance, not at its
/// deadline.
#[tokio::test(start_paused = true)]
async fn a_request_without_endpoints_is_rejected_no_later_than_its_deadline() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let entries = vec![
        entry("prefill", 0, EndpointState::Draining),
        entry("decode", 1, EndpointState::Removed),
    ];
    harness
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            entries,
        )));
    harness.outbound.take();
    let response = harness.submit();
    tokio::time::advance(Duration::from_millis(2_010)).await;
    harness.core.fire();
    assert_eq!(
        harness.outbound.take(),
        [],
        "nothing is sent to endpoints that drain or were removed"
    );
    assert!(matches!(
        response.response().await.0,
        FinalResponse::Rejected(_)
    ));
}

/// A client may try again as soon as it is rejected, while an endpoint still works for the first
/// attempt.
#[tokio::test(start_paused = true)]
async fn a_rejection_waits_until_the_attempt_in_flight_has_been_cancelled() {
    let mut harness = CoreHarness::new(Idempotency::NonIdempotent);
    let response = harness.submit();
    harness.outbound.take();
    tokio::time::advance(Duration::from_millis(2_010)).await;
    harness.core.fire();
    assert_eq!(harness.outbound.take(), [Call::Cancel(attempt(0))]);
    let answer = response.response();
    tokio::pin!(answer);
    assert!(
        std::future::poll_fn(|cx| std::task::Poll::Ready(answer.as_mut().poll(cx).is_pending()))
            .await
    );
    harness.end_attempt(0, Outcome::Cancelled);
    assert!(matches!(answer.await.0, FinalResponse::Rejected(_)));
}

/// Nothing further is sent for a request while its response streams, so its body need not be kept.
#[tokio::test(start_paused = true)]
async fn a_request_body_is_dropped_once_its_response_has_begun() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let message = Rc::new(Message {
        target: "/x".to_owned(),
        ..Message::default()
    });
    let _caller = harness.handle.submit(IncomingRequest {
        message: message.clone(),
        ..incoming("q")
    });
    harness.drain();
    harness.end_attempt(0, Outcome::Prefilled { cached_tokens: 0 });
    assert_eq!(Rc::strong_count(&message), 2);
    let (_sender, body) = exchange::body_channel();
    let media_type = "text/event-stream".to_owned();
    harness.core.handle(CoreEvent::StreamStarted {
        attempt: attempt(1),
        media_type,
        body,
    });
    assert_eq!(Rc::strong_count(&message), 1);
}

/// Machines are replaced by others for as long as a router runs.
#[tokio::test(start_paused = true)]
async fn a_removed_endpoint_is_forgotten_with_its_connections() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let prefill = Endpoint::new("prefill", "127.0.0.1:1".parse().unwrap()).id;
    harness
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            vec![entry("prefill", 0, EndpointState::Removed)],
        )));
    assert_eq!(harness.outbound.take(), [Call::Closed(prefill)]);
    harness
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            vec![entry("decode", 1, EndpointState::Draining)],
        )));
    assert_eq!(
        harness.outbound.take(),
        [],
        "a draining endpoint finishes its requests"
    );
    harness
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Snapshot(
            vec![entry("prefill", 0, EndpointState::Active)],
        )));
    assert_eq!(harness.outbound.take().len(), 1);
}
