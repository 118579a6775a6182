//! Tests of the core alone, with an upstream that only records its calls and a clock that the tests
//! advance.

#[path = "core/harness.rs"]
mod harness;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use cranetack_router::core::{
    CoreEvent, Endpoint, EndpointEntry, EndpointListUpdate, IncomingRequest, SlotReservation,
};
use cranetack_router::exchange::{self, FinalResponse, ForwardedRequest};
use cranetack_router::memory::MemoryLedger;
use cranetack_routing_policy::{
    ConnectFailure, EndpointState, Idempotency, KeyScope, Outcome, RequestId, ResetCause,
};
use tokio::time::Instant;

use harness::*;

#[tokio::test(start_paused = true)]
async fn a_disconnected_client_has_its_attempt_cancelled_and_its_state_released_at_once() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let response = harness.submit();
    harness.outbound.take_calls();
    drop(response);
    harness.handle_pending_events();
    assert_eq!(harness.outbound.take_calls(), [Call::Cancel(attempt_id(0))]);
    harness.end_attempt(0, Outcome::Cancelled);
    assert_eq!(
        harness.outbound.take_calls(),
        [Call::Release("q".to_owned())]
    );
}

/// The connection of an attempt may be established only after the request has ended, and the
/// settings may not permit cancelling attempts: the request must not be written then.
#[tokio::test(start_paused = true)]
async fn an_attempt_that_is_not_written_yet_sees_that_its_request_has_ended() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let response = harness.submit();
    assert!(harness.outbound.needs_response.borrow().get());
    drop(response);
    harness.handle_pending_events();
    assert!(!harness.outbound.needs_response.borrow().get());
}

/// Connections to the previous process are dead, and if its machine failed they were never closed
/// or reset.
#[tokio::test(start_paused = true)]
async fn a_restarted_endpoint_has_its_idle_connections_closed() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let prefill = Endpoint::new("prefill", "127.0.0.1:1".parse().unwrap()).id;
    for (started_at, calls) in [
        (None, vec![]),
        (Some(7), vec![Call::CloseIdle(prefill)]),
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
        assert_eq!(harness.outbound.take_calls(), calls, "{started_at:?}");
    }
}

/// Only the name of the draining endpoint could be read from its entry in the endpoint list.
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_is_only_known_to_drain_gets_no_requests() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    harness.core.handle(CoreEvent::EndpointsDraining(vec![
        "prefill".to_owned(),
        "unknown".to_owned(),
    ]));
    let _response = harness.submit();
    harness.handle_pending_events();
    assert!(!harness
        .outbound
        .take_calls()
        .iter()
        .any(|call| matches!(call, Call::Send(..))));
}

/// The decode endpoint may respond to a slot reservation after the request has ended.
#[tokio::test(start_paused = true)]
async fn a_slot_reserved_after_the_end_of_its_request_is_released() {
    for reservation in [SlotReservation::Granted, SlotReservation::Unknown] {
        let mut harness = CoreHarness::new(Idempotency::Idempotent);
        drop(harness.submit());
        harness.handle_pending_events();
        harness.end_attempt(0, Outcome::Cancelled);
        harness.outbound.take_calls();
        harness.end_reservation(reservation);
        assert_eq!(
            harness.outbound.take_calls(),
            [Call::Release("q".to_owned())]
        );
    }
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let _response = harness.submit();
    harness.outbound.take_calls();
    harness.end_reservation(SlotReservation::Granted);
    assert_eq!(
        harness.outbound.take_calls(),
        [],
        "a slot that is still needed is not released"
    );
}

/// The prefill may have been written to an unresponsive connection. Then no attempt is in flight at
/// the prefill endpoint, and the decode endpoint responds after 0.3 s that it knows of no prefill.
#[tokio::test(start_paused = true)]
async fn an_unconfirmed_slot_is_released_while_the_prefill_is_in_flight() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let _response = harness.submit();
    harness.outbound.take_calls();
    harness.end_reservation(SlotReservation::Unknown);
    assert_eq!(
        harness.outbound.take_calls(),
        [Call::Release("q".to_owned())]
    );
    // If the prefill then succeeds, the request is served as usual.
    harness.end_attempt(0, Outcome::Prefilled { cached_tokens: 0 });
    assert_eq!(
        harness.outbound.take_calls(),
        [Call::Send(attempt_id(1), "decode".to_owned())]
    );
    harness.end_reservation(SlotReservation::Unknown);
    assert_eq!(
        harness.outbound.take_calls(),
        [],
        "KV state is not released while the decode endpoint fetches it"
    );
}

#[tokio::test(start_paused = true)]
async fn a_non_idempotent_request_that_may_have_been_executed_fails_at_once_without_a_retry() {
    let mut harness = CoreHarness::new(Idempotency::NonIdempotent);
    let response = harness.submit_and_prefill();
    harness.end_attempt(1, Outcome::ConnectionReset(ResetCause::InUse));
    assert_eq!(
        harness.outbound.take_calls(),
        [Call::Release("q".to_owned())]
    );
    assert!(matches!(response.response().await.0, FinalResponse::Failed));
}

#[tokio::test(start_paused = true)]
async fn a_non_idempotent_request_that_was_not_executed_is_retried() {
    let mut harness = CoreHarness::new(Idempotency::NonIdempotent);
    let _response = harness.submit_and_prefill();
    harness.end_attempt(1, Outcome::ConnectFailed(ConnectFailure::Unreachable));
    // The only decode endpoint is ejected, so the KV state is kept no longer than its lease.
    assert_eq!(harness.outbound.take_calls(), []);
    tokio::time::advance(Duration::from_millis(200)).await;
    harness.core.fire_due_timers();
    assert_eq!(
        harness.outbound.take_calls()[0],
        Call::Release("q".to_owned())
    );
}

/// When a zone is cut off, one decode endpoint after another is unreachable: all attempts together
/// must take no longer than the KV lease timeout.
#[tokio::test(start_paused = true)]
async fn kv_state_is_kept_no_longer_than_its_lease_while_decode_endpoints_are_unreachable() {
    let mut harness = CoreHarness::new(Idempotency::NonIdempotent);
    let decode_entries = (0..9)
        .map(|n| entry(&format!("decode {n}"), 1, EndpointState::Active))
        .collect();
    harness
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            decode_entries,
        )));
    let _response = harness.submit();
    harness.end_attempt(0, Outcome::Prefilled { cached_tokens: 0 });
    let prefilled_at = Instant::now();
    let mut tried = 0;
    loop {
        let calls = harness.outbound.take_calls();
        if calls.contains(&Call::Release("q".to_owned())) {
            break;
        }
        let sent = calls.iter().find_map(|call| match call {
            Call::Send(attempt, endpoint) if endpoint != "prefill" => Some(attempt.number),
            _ => None,
        });
        tokio::time::sleep_until(harness.outbound.write_by.get().unwrap()).await;
        harness.end_attempt(
            sent.expect("an attempt at another decode endpoint, or the release of the KV state"),
            Outcome::ConnectFailed(ConnectFailure::Unreachable),
        );
        tried += 1;
    }
    let elapsed = prefilled_at.elapsed();
    assert!(
        tried > 1 && elapsed <= Duration::from_millis(300),
        "{tried} decode endpoints tried in {elapsed:?}"
    );
}

/// The endpoints that responded last are the most likely to be reachable: a release must not be
/// tried at one unreachable endpoint after another.
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
    harness.handle_pending_events();
    harness.end_attempt(1, Outcome::ConnectFailed(ConnectFailure::Unreachable));
    assert_eq!(
        harness.outbound.release_endpoints.borrow()[..2],
        ["prefill", "other 7"]
    );
    assert_eq!(harness.outbound.release_endpoints.borrow().len(), 22);
}

/// The end of the attempt and timers that are due after the start of the stream must not lead to a
/// second response or another attempt.
#[tokio::test(start_paused = true)]
async fn a_request_whose_response_has_begun_gets_no_other_response() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let response = harness.submit_and_prefill();
    let (sender, body) = exchange::body_channel(&MemoryLedger::unlimited());
    let media_type = "text/event-stream".to_owned();
    harness.core.handle(CoreEvent::StreamStarted {
        attempt: attempt_id(1),
        media_type,
        body,
    });
    drop(sender);
    harness.end_attempt(1, Outcome::ConnectionReset(ResetCause::InUse));
    harness.end_attempt(1, Outcome::Completed);
    let (final_response, _guard) = response.response().await;
    let FinalResponse::Streaming { mut body, .. } = final_response else {
        panic!("not a stream: {final_response:?}")
    };
    let end = std::future::poll_fn(|cx| body.poll_next(cx)).await;
    assert_eq!(end, Some(Err(exchange::IncompleteBody)));
    tokio::time::advance(Duration::from_secs(3)).await;
    harness.core.fire_due_timers();
    assert_eq!(
        harness.outbound.take_calls(),
        [],
        "nothing is sent after the response has begun"
    );
}

/// A panic must not end the process: requests without a response fail, as they may have been
/// executed, and the core goes on.
#[tokio::test(start_paused = true)]
async fn a_panic_fails_open_requests_and_the_next_one_is_served() {
    let harness = CoreHarness::new(Idempotency::Idempotent);
    harness.outbound.panics_on_next_send.set(true);
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
            outbound.take_calls(),
            [Call::Cancel(attempt_id(0)), Call::Release("q".to_owned())]
        );
        let _second = submit(&handle, "r");
        tokio::time::sleep(Duration::from_millis(1)).await;
        let sent = |call: &Call| matches!(call, Call::Send(_, endpoint) if endpoint == "prefill");
        assert!(outbound.take_calls().iter().any(sent));
    };
    tokio::select! {
        () = core.run(events) => panic!("the core stopped while it had a handle"),
        () = serving => {}
    }
}

/// Guards against requests that are not ended at a shutdown after a panic: the new policy knew of none.
#[tokio::test(start_paused = true)]
async fn a_panic_during_a_shutdown_does_not_end_the_shutdown() {
    const RESPOND_WITHIN: Duration = Duration::from_millis(500);
    let harness = CoreHarness::new(Idempotency::Idempotent);
    let now = Instant::now();
    harness.handle.send(CoreEvent::ShutdownStarted {
        migrate_from: now,
        respond_by: now + RESPOND_WITHIN,
    });
    harness.outbound.panics_on_next_send.set(true);
    let _first = submit(&harness.handle, "q");
    let _second = submit(&harness.handle, "r");
    let CoreHarness {
        core,
        outbound,
        handle: _handle,
        events,
    } = harness;
    let _ = tokio::time::timeout(2 * RESPOND_WITHIN, core.run(events)).await;
    let calls = outbound.take_calls();
    let is_cancel_of_second =
        |call: &Call| matches!(call, Call::Cancel(attempt) if attempt.request != RequestId(0));
    assert!(calls.iter().any(is_cancel_of_second), "{calls:?}");
}

/// If no endpoint accepts the request, it is rejected as soon as it can no longer be served, not
/// only at its deadline.
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
    harness.outbound.take_calls();
    let response = harness.submit();
    tokio::time::advance(Duration::from_millis(2_010)).await;
    harness.core.fire_due_timers();
    assert_eq!(
        harness.outbound.take_calls(),
        [],
        "nothing is sent to draining or removed endpoints"
    );
    assert!(matches!(
        response.response().await.0,
        FinalResponse::Rejected(_)
    ));
}

/// A client may try again as soon as it is rejected. If the endpoint still worked on the first
/// attempt then, the request could be executed twice.
#[tokio::test(start_paused = true)]
async fn a_rejection_waits_until_the_attempt_in_flight_has_been_cancelled() {
    let mut harness = CoreHarness::new(Idempotency::NonIdempotent);
    let response = harness.submit();
    harness.outbound.take_calls();
    tokio::time::advance(Duration::from_millis(2_010)).await;
    harness.core.fire_due_timers();
    assert_eq!(harness.outbound.take_calls(), [Call::Cancel(attempt_id(0))]);
    let final_response = response.response();
    tokio::pin!(final_response);
    assert!(
        std::future::poll_fn(|cx| std::task::Poll::Ready(
            final_response.as_mut().poll(cx).is_pending()
        ))
        .await
    );
    harness.end_attempt(0, Outcome::Cancelled);
    assert!(matches!(final_response.await.0, FinalResponse::Rejected(_)));
}

/// A request is not sent again once its response streams, so keeping its body would waste memory.
#[tokio::test(start_paused = true)]
async fn a_request_body_is_dropped_once_its_response_has_begun() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let message = Rc::new(ForwardedRequest {
        target: "/x".to_owned(),
        ..ForwardedRequest::default()
    });
    let _response = harness.handle.submit(IncomingRequest {
        message: message.clone(),
        ..incoming_request("q")
    });
    harness.handle_pending_events();
    harness.end_attempt(0, Outcome::Prefilled { cached_tokens: 0 });
    assert_eq!(Rc::strong_count(&message), 2);
    let (_sender, body) = exchange::body_channel(&MemoryLedger::unlimited());
    let media_type = "text/event-stream".to_owned();
    harness.core.handle(CoreEvent::StreamStarted {
        attempt: attempt_id(1),
        media_type,
        body,
    });
    assert_eq!(Rc::strong_count(&message), 1);
}

/// Machines are replaced by others for as long as a router runs, so its tables would grow without
/// bound if it kept removed endpoints.
#[tokio::test(start_paused = true)]
async fn a_removed_endpoint_is_deleted_and_its_connections_are_closed() {
    let mut harness = CoreHarness::new(Idempotency::Idempotent);
    let prefill = Endpoint::new("prefill", "127.0.0.1:1".parse().unwrap()).id;
    harness
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            vec![entry("prefill", 0, EndpointState::Removed)],
        )));
    assert_eq!(harness.outbound.take_calls(), [Call::CloseIdle(prefill)]);
    harness
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            vec![entry("decode", 1, EndpointState::Draining)],
        )));
    assert_eq!(
        harness.outbound.take_calls(),
        [],
        "a draining endpoint finishes its requests"
    );
    harness
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Snapshot(
            vec![entry("prefill", 0, EndpointState::Active)],
        )));
    assert_eq!(harness.outbound.take_calls().len(), 1);
}

/// Guards against an order that runs twice: its client leaves, and its id comes again.
#[tokio::test(start_paused = true)]
async fn an_id_that_comes_again_after_its_client_has_left_is_not_executed_twice() {
    for (idempotency, is_sent_again) in [
        (Idempotency::Idempotent, true),
        (Idempotency::NonIdempotent, false),
        (Idempotency::Keyed(KeyScope::Cell), false),
    ] {
        let mut harness = CoreHarness::new(idempotency);
        let response = harness.submit_and_prefill();
        drop(response);
        harness.handle_pending_events();
        let again = harness.submit();
        let while_in_flight = again.response().await.0;
        assert!(matches!(while_in_flight, FinalResponse::DuplicateId));
        harness.end_attempt(1, Outcome::Cancelled);
        harness.outbound.take_calls();
        let _again = harness.submit();
        let sent = |call: &Call| matches!(call, Call::Send(..));
        assert_eq!(
            harness.outbound.take_calls().iter().any(sent),
            is_sent_again,
            "{idempotency:?}"
        );
    }
}

/// An id whose request was not executed may come again.
#[tokio::test(start_paused = true)]
async fn an_id_that_was_not_executed_is_served_when_it_comes_again() {
    let mut harness = CoreHarness::new(Idempotency::NonIdempotent);
    let response = harness.submit();
    drop(response);
    harness.handle_pending_events();
    harness.end_attempt(0, Outcome::Cancelled);
    harness.outbound.take_calls();
    let _again = harness.submit();
    let sent = |call: &Call| matches!(call, Call::Send(..));
    assert!(harness.outbound.take_calls().iter().any(sent));
}
