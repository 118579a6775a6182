//! The core alone, with an upstream that only outbound what it is calls and a clock that is set by hand.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use cranetack_router::core::{
    AttemptId, AttemptReport, AttemptSpec, Clock, Core, CoreEvent, Endpoint, EndpointEntry,
    EndpointListUpdate, Handle, IncomingRequest, Outbound, SlotReservation,
};
use cranetack_router::exchange::{self, FinalResponse, Message, ResponseHandle};
use cranetack_routing_policy::{
    CellId, Class, ClassId, ConnectFailure, EndpointId, EndpointState, Idempotency, Kind, KindId,
    Outcome, RequestId, ResetCause, Role, Settings, ZoneId,
};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

#[derive(Debug, PartialEq)]
enum Call {
    Send(AttemptId, String),
    Cancel(AttemptId),
    ReserveSlot(String),
    Release(String),
    Closed(EndpointId),
}

#[derive(Clone, Default)]
struct RecordingOutbound {
    calls: Rc<RefCell<Vec<Call>>>,
    panics: Rc<Cell<bool>>,
    /// By when the attempt made last must have a connection.
    write_by: Rc<Cell<Option<Instant>>>,
    /// Whether the request of the attempt made last still wants an answer.
    is_live: Rc<RefCell<Rc<Cell<bool>>>>,
    /// The servers through which something was let go last, in the order in which they are tried.
    through: Rc<RefCell<Vec<String>>>,
}

impl RecordingOutbound {
    fn record(&self, calls: Call) {
        self.calls.borrow_mut().push(calls);
    }

    fn take(&self) -> Vec<Call> {
        self.calls.take()
    }
}

impl Outbound for RecordingOutbound {
    fn send(&mut self, spec: AttemptSpec) {
        assert!(!self.panics.take(), "a panic on purpose");
        self.write_by.set(Some(spec.write_by));
        self.is_live.replace(spec.is_live.clone());
        self.record(Call::Send(spec.attempt, spec.endpoint.name.clone()));
    }
    fn cancel(&mut self, attempt: AttemptId, _streaming: bool) {
        self.record(Call::Cancel(attempt));
    }
    fn reserve_slot(&mut self, _prefill: AttemptId, _request_id: Rc<str>, writer: Rc<Endpoint>) {
        self.record(Call::ReserveSlot(writer.name.clone()));
    }
    fn release_state(
        &mut self,
        _request: RequestId,
        request_id: Rc<str>,
        endpoints: Vec<Rc<Endpoint>>,
    ) {
        self.through
            .replace(endpoints.iter().map(|h| h.name.clone()).collect());
        self.record(Call::Release(request_id.to_string()));
    }
    fn health_check(&mut self, _endpoint: Rc<Endpoint>) {}
    fn close_idle(&mut self, endpoint: EndpointId) {
        self.record(Call::Closed(endpoint));
    }
    fn gossip(&mut self, _to: Option<u32>, _payload: Vec<u8>) {}
}

struct Bench {
    core: Core<RecordingOutbound>,
    outbound: RecordingOutbound,
    handle: Handle,
    events: UnboundedReceiver<CoreEvent>,
}

fn listed(name: &str, kind: usize, state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        name: name.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneId(0),
        kind: KindId(kind),
        cell: CellId(0),
        state,
        weight: 1.0,
        started_at: None,
    }
}

impl Bench {
    fn new(effect: Idempotency) -> Bench {
        let settings = Settings {
            classes: vec![Class {
                idempotency: effect,
                ..Class::default()
            }],
            kinds: [Role::Prefill, Role::Decode]
                .map(|s| Kind {
                    role: Some(s),
                    memory_tokens: None,
                })
                .to_vec(),
            slot_reservations: true,
            cancellation: true,
            event_interval: Some(4_000),
            response_slack: Some(16_000),
            kv_lease_timeout: Some(300_000),
            max_attempts: Some(9),
            ..Settings::default()
        };
        let (outbound, (handle, events)) = (RecordingOutbound::default(), Handle::new());
        let mut core = Core::new(settings, 7, Clock::system(), outbound.clone());
        let lines = vec![
            listed("reader", 0, EndpointState::Active),
            listed("writer", 1, EndpointState::Active),
        ];
        core.handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Restored(
            lines,
        )));
        Bench {
            core,
            outbound,
            handle,
            events,
        }
    }

    fn drain(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            self.core.handle(event);
        }
    }

    fn ask(&mut self) -> ResponseHandle {
        let caller = hand_in(&self.handle, "q");
        self.drain();
        caller
    }

    fn ended(&mut self, number: u32, outcome: Outcome) {
        self.core.handle(CoreEvent::AttemptEnded {
            attempt: attempt(number),
            report: AttemptReport::from(outcome),
        });
    }

    /// A prompt that has been read: the attempt at the writer is out.
    fn read(&mut self) -> ResponseHandle {
        let caller = self.ask();
        self.ended(0, Outcome::Prefilled { cached_tokens: 0 });
        assert_eq!(
            self.outbound.take(),
            [
                Call::Send(attempt(0), "reader".to_owned()),
                Call::ReserveSlot("writer".to_owned()),
                Call::Send(attempt(1), "writer".to_owned())
            ]
        );
        caller
    }

    fn placed(&mut self, place: SlotReservation) {
        let endpoint = Endpoint::new("writer", "127.0.0.1:1".parse().unwrap()).id;
        self.core.handle(CoreEvent::SlotReservationAnswered {
            prefill_attempt: attempt(0),
            request_id: "q".into(),
            endpoint,
            reservation: place,
        });
    }
}

fn hand_in(handle: &Handle, name: &str) -> ResponseHandle {
    handle.submit(incoming(name))
}

fn incoming(request_id: &str) -> IncomingRequest {
    IncomingRequest {
        request_id: request_id.into(),
        class: ClassId(0),
        session: None,
        shared_prefix: None,
        time_to_first_byte: Duration::from_secs(2),
        expected_duration: None,
        prompt_tokens: 100,
        shared_prefix_tokens: 0,
        max_tokens: 10,
        is_retry: false,
        is_resumed: false,
        allowed_kinds: None,
        message: Rc::default(),
    }
}

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: RequestId(0),
        number,
    }
}

#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_has_its_attempt_withdrawn_and_its_state_released_at_once() {
    let mut bench = Bench::new(Idempotency::Idempotent);
    let caller = bench.ask();
    bench.outbound.take();
    drop(caller);
    bench.drain();
    assert_eq!(bench.outbound.take(), [Call::Cancel(attempt(0))]);
    bench.ended(0, Outcome::Cancelled);
    assert_eq!(bench.outbound.take(), [Call::Release("q".to_owned())]);
}

/// Guards against an attempt that is written after its request has ended, as its connection came up late: also where
/// the settings do not let attempts be called off.
#[tokio::test(start_paused = true)]
async fn an_attempt_that_is_not_written_yet_sees_that_its_request_has_ended() {
    let mut bench = Bench::new(Idempotency::Idempotent);
    let caller = bench.ask();
    assert!(bench.outbound.is_live.borrow().get());
    drop(caller);
    bench.drain();
    assert!(!bench.outbound.is_live.borrow().get());
}

/// Guards against connections to a process that has gone, whose machine may have vanished without a word.
#[tokio::test(start_paused = true)]
async fn a_server_that_has_started_anew_has_its_kept_connections_closed() {
    let mut bench = Bench::new(Idempotency::Idempotent);
    let reader = Endpoint::new("reader", "127.0.0.1:1".parse().unwrap()).id;
    for (started_at, calls) in [
        (None, vec![]),
        (Some(7), vec![Call::Closed(reader)]),
        (Some(7), vec![]),
    ] {
        let line = EndpointEntry {
            started_at,
            ..listed("reader", 0, EndpointState::Active)
        };
        bench
            .core
            .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
                vec![line],
            )));
        assert_eq!(bench.outbound.take(), calls, "{started_at:?}");
    }
}

/// Guards against a drain that is not heard, as nothing but the name can be read of its line.
#[tokio::test(start_paused = true)]
async fn a_server_of_which_only_its_leaving_is_told_gets_nothing_new() {
    let mut bench = Bench::new(Idempotency::Idempotent);
    bench.core.handle(CoreEvent::EndpointsDraining(vec![
        "reader".to_owned(),
        "unknown".to_owned(),
    ]));
    let _caller = bench.ask();
    bench.drain();
    assert!(!bench
        .outbound
        .take()
        .iter()
        .any(|calls| matches!(calls, Call::Send(..))));
}

/// Guards against a place that stays held: the writer's answer crossed the end of the request.
#[tokio::test(start_paused = true)]
async fn a_place_granted_after_the_end_is_released() {
    for place in [SlotReservation::Granted, SlotReservation::Unknown] {
        let mut bench = Bench::new(Idempotency::Idempotent);
        drop(bench.ask());
        bench.drain();
        bench.ended(0, Outcome::Cancelled);
        bench.outbound.take();
        bench.placed(place);
        assert_eq!(bench.outbound.take(), [Call::Release("q".to_owned())]);
    }
    let mut bench = Bench::new(Idempotency::Idempotent);
    let _caller = bench.ask();
    bench.outbound.take();
    bench.placed(SlotReservation::Granted);
    assert_eq!(bench.outbound.take(), [], "one that is still is_live stays");
}

/// Guards against a place that is held for nobody: the read was written to a connection that had gone silent, so that
/// none of the attempts was out, and the writer answered after 0.3 s that it knew of no read.
#[tokio::test(start_paused = true)]
async fn a_place_of_which_the_writer_is_unsure_is_released_while_the_read_is_awaited() {
    let mut bench = Bench::new(Idempotency::Idempotent);
    let _caller = bench.ask();
    bench.outbound.take();
    bench.placed(SlotReservation::Unknown);
    assert_eq!(bench.outbound.take(), [Call::Release("q".to_owned())]);
    // The read comes to its end after all: it is answered as ever.
    bench.ended(0, Outcome::Prefilled { cached_tokens: 0 });
    assert_eq!(
        bench.outbound.take(),
        [Call::Send(attempt(1), "writer".to_owned())]
    );
    bench.placed(SlotReservation::Unknown);
    assert_eq!(
        bench.outbound.take(),
        [],
        "a state that is being written is not let go under it"
    );
}

#[tokio::test(start_paused = true)]
async fn an_unsafe_request_that_may_have_run_fails_at_once_and_is_not_sent_again() {
    let mut bench = Bench::new(Idempotency::NonIdempotent);
    let caller = bench.read();
    bench.ended(1, Outcome::ConnectionReset(ResetCause::InUse));
    assert_eq!(bench.outbound.take(), [Call::Release("q".to_owned())]);
    assert!(matches!(caller.response().await.0, FinalResponse::Failed));
}

#[tokio::test(start_paused = true)]
async fn an_unsafe_request_that_cannot_have_run_is_sent_again() {
    let mut bench = Bench::new(Idempotency::NonIdempotent);
    let _caller = bench.read();
    bench.ended(1, Outcome::ConnectFailed(ConnectFailure::Unreachable));
    // The writer that failed is set aside; the state waits no longer than its limit.
    assert_eq!(bench.outbound.take(), []);
    tokio::time::advance(Duration::from_millis(200)).await;
    bench.core.fire();
    assert_eq!(bench.outbound.take()[0], Call::Release("q".to_owned()));
}

/// Guards against a state that stays held while one writer after another cannot be reached, as where a zone is cut off:
/// each connection had 250 ms, and the time began anew after each.
#[tokio::test(start_paused = true)]
async fn what_is_held_waits_no_longer_than_its_limit_for_connections_that_do_not_come_up() {
    let mut bench = Bench::new(Idempotency::NonIdempotent);
    let writers = (0..9)
        .map(|n| listed(&format!("writer {n}"), 1, EndpointState::Active))
        .collect();
    bench
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            writers,
        )));
    let _caller = bench.ask();
    bench.ended(0, Outcome::Prefilled { cached_tokens: 0 });
    let read = Instant::now();
    let mut tried = 0;
    loop {
        let calls = bench.outbound.take();
        if calls.contains(&Call::Release("q".to_owned())) {
            break;
        }
        let sent = calls.iter().find_map(|calls| match calls {
            Call::Send(attempt, endpoint) if endpoint != "reader" => Some(attempt.number),
            _ => None,
        });
        tokio::time::sleep_until(bench.outbound.write_by.get().unwrap()).await;
        bench.ended(
            sent.expect("another writer, or the end"),
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

/// Guards against calls that let go at one unreachable server after another while what is held waits.
#[tokio::test(start_paused = true)]
async fn what_is_held_is_let_go_through_the_servers_that_answered_last() {
    let mut bench = Bench::new(Idempotency::NonIdempotent);
    let others = (0..20)
        .map(|n| listed(&format!("other {n}"), 1, EndpointState::Active))
        .collect();
    bench
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            others,
        )));
    let probed = Endpoint::new("other 7", "127.0.0.1:1".parse().unwrap()).id;
    let (outcome, elapsed) = (Outcome::Completed, Duration::from_millis(1));
    bench.core.handle(CoreEvent::HealthChecked {
        endpoint: probed,
        outcome,
        elapsed,
        load: None,
    });
    tokio::time::advance(Duration::from_millis(1)).await;
    let caller = bench.ask();
    bench.ended(0, Outcome::Prefilled { cached_tokens: 0 });
    drop(caller);
    bench.drain();
    bench.ended(1, Outcome::ConnectFailed(ConnectFailure::Unreachable));
    assert_eq!(bench.outbound.through.borrow()[..2], ["reader", "other 7"]);
    assert_eq!(bench.outbound.through.borrow().len(), 22);
}

/// Guards against two ends of one request: what comes after the answer has begun changes nothing.
#[tokio::test(start_paused = true)]
async fn an_answer_that_has_begun_is_the_only_one() {
    let mut bench = Bench::new(Idempotency::Idempotent);
    let caller = bench.read();
    let (sender, body) = exchange::body_channel();
    let media_type = "text/event-stream".to_owned();
    bench.core.handle(CoreEvent::StreamStarted {
        attempt: attempt(1),
        media_type,
        body,
    });
    drop(sender);
    bench.ended(1, Outcome::ConnectionReset(ResetCause::InUse));
    bench.ended(1, Outcome::Completed);
    let (answer, _gone) = caller.response().await;
    let FinalResponse::Streaming { mut body, .. } = answer else {
        panic!("{answer:?}")
    };
    let broken = std::future::poll_fn(|cx| body.poll_next(cx)).await;
    assert_eq!(broken, Some(Err(exchange::IncompleteBody)));
    tokio::time::advance(Duration::from_secs(3)).await;
    bench.core.fire();
    assert_eq!(bench.outbound.take(), [], "nothing further is sent");
}

/// Guards against a panic that loses the process: what is open fails, and what comes next is served.
#[tokio::test(start_paused = true)]
async fn a_panic_fails_what_is_open_and_the_next_request_is_served() {
    let bench = Bench::new(Idempotency::Idempotent);
    bench.outbound.panics.set(true);
    let first = hand_in(&bench.handle, "q");
    let Bench {
        core,
        outbound,
        handle,
        events,
    } = bench;
    let serving = async {
        assert!(matches!(first.response().await.0, FinalResponse::Failed));
        assert_eq!(
            outbound.take(),
            [Call::Cancel(attempt(0)), Call::Release("q".to_owned())]
        );
        let _second = hand_in(&handle, "r");
        tokio::time::sleep(Duration::from_millis(1)).await;
        let sent = |calls: &Call| matches!(calls, Call::Send(_, endpoint) if endpoint == "reader");
        assert!(outbound.take().iter().any(sent));
    };
    tokio::select! {
        () = core.run(events) => panic!("the core ends with its handles"),
        () = serving => {}
    }
}

/// Guards against a wait past the deadline, and against a final answer that is held back until then: where
/// no server takes the request the refusal comes as soon as there is no hope.
#[tokio::test(start_paused = true)]
async fn a_request_without_hope_is_refused_no_later_than_its_deadline() {
    let mut bench = Bench::new(Idempotency::Idempotent);
    let lines = vec![
        listed("reader", 0, EndpointState::Draining),
        listed("writer", 1, EndpointState::Removed),
    ];
    bench
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            lines,
        )));
    bench.outbound.take();
    let caller = bench.ask();
    tokio::time::advance(Duration::from_millis(2_010)).await;
    bench.core.fire();
    assert_eq!(
        bench.outbound.take(),
        [],
        "nothing is sent to what drains or is gone"
    );
    assert!(matches!(
        caller.response().await.0,
        FinalResponse::Rejected(_)
    ));
}

/// Guards against a refusal that overtakes its attempt: a client may ask again at once, while a server still works for
/// the first try. Seen as an order refused at its deadline just before its read was called off.
#[tokio::test(start_paused = true)]
async fn a_refusal_waits_until_the_attempt_that_is_out_has_been_called_off() {
    let mut bench = Bench::new(Idempotency::NonIdempotent);
    let caller = bench.ask();
    bench.outbound.take();
    tokio::time::advance(Duration::from_millis(2_010)).await;
    bench.core.fire();
    assert_eq!(bench.outbound.take(), [Call::Cancel(attempt(0))]);
    let answer = caller.response();
    tokio::pin!(answer);
    assert!(
        std::future::poll_fn(|cx| std::task::Poll::Ready(answer.as_mut().poll(cx).is_pending()))
            .await
    );
    bench.ended(0, Outcome::Cancelled);
    assert!(matches!(answer.await.0, FinalResponse::Rejected(_)));
}

/// Guards against memory held for bodies while their answers stream: nothing further is sent for them.
#[tokio::test(start_paused = true)]
async fn a_body_is_let_go_once_its_answer_has_begun() {
    let mut bench = Bench::new(Idempotency::Idempotent);
    let message = Rc::new(Message {
        target: "/x".to_owned(),
        ..Message::default()
    });
    let _caller = bench.handle.submit(IncomingRequest {
        message: message.clone(),
        ..incoming("q")
    });
    bench.drain();
    bench.ended(0, Outcome::Prefilled { cached_tokens: 0 });
    assert_eq!(Rc::strong_count(&message), 2);
    let (_sender, body) = exchange::body_channel();
    let media_type = "text/event-stream".to_owned();
    bench.core.handle(CoreEvent::StreamStarted {
        attempt: attempt(1),
        media_type,
        body,
    });
    assert_eq!(Rc::strong_count(&message), 1);
}

/// Guards against tables and connections kept for each machine that ever was.
#[tokio::test(start_paused = true)]
async fn a_machine_that_is_gone_is_forgotten_with_its_connections() {
    let mut bench = Bench::new(Idempotency::Idempotent);
    let reader = Endpoint::new("reader", "127.0.0.1:1".parse().unwrap()).id;
    bench
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            vec![listed("reader", 0, EndpointState::Removed)],
        )));
    assert_eq!(bench.outbound.take(), [Call::Closed(reader)]);
    bench
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Delta(
            vec![listed("writer", 1, EndpointState::Draining)],
        )));
    assert_eq!(
        bench.outbound.take(),
        [],
        "one that drains finishes what it has"
    );
    bench
        .core
        .handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Snapshot(
            vec![listed("reader", 0, EndpointState::Active)],
        )));
    assert_eq!(bench.outbound.take().len(), 1);
}
