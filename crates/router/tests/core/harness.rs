//! A core with an upstream that records its calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use cranetack_router::core::{
    AttemptId, AttemptReport, AttemptSpec, Clock, Core, CoreEvent, Endpoint, EndpointEntry,
    EndpointListUpdate, Handle, IncomingRequest, Outbound, SlotReservation,
};
use cranetack_router::exchange::ResponseHandle;
use cranetack_routing_policy::{
    CellId, Class, ClassId, EndpointId, EndpointState, Idempotency, Kind, KindId, Outcome,
    RequestId, Role, Settings, ZoneId,
};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

#[derive(Debug, PartialEq)]
pub(crate) enum Call {
    Send(AttemptId, String),
    Cancel(AttemptId),
    ReserveSlot(String),
    Release(String),
    Closed(EndpointId),
}

#[derive(Clone, Default)]
pub(crate) struct RecordingOutbound {
    pub(crate) calls: Rc<RefCell<Vec<Call>>>,
    pub(crate) panics: Rc<Cell<bool>>,
    /// By when the latest attempt must have a connection.
    pub(crate) write_by: Rc<Cell<Option<Instant>>>,
    /// Whether the request of the latest attempt still needs a response.
    pub(crate) is_live: Rc<RefCell<Rc<Cell<bool>>>>,
    /// The endpoints through which state was released last, in the order in which they are tried.
    pub(crate) through: Rc<RefCell<Vec<String>>>,
}

impl RecordingOutbound {
    pub(crate) fn record(&self, calls: Call) {
        self.calls.borrow_mut().push(calls);
    }

    pub(crate) fn take(&self) -> Vec<Call> {
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
    fn reserve_slot(&mut self, _prefill: AttemptId, _request_id: Rc<str>, decode: Rc<Endpoint>) {
        self.record(Call::ReserveSlot(decode.name.clone()));
    }
    fn release_state(
        &mut self,
        _request: RequestId,
        request_id: Rc<str>,
        endpoints: Vec<Rc<Endpoint>>,
    ) {
        self.through.replace(
            endpoints
                .iter()
                .map(|endpoint| endpoint.name.clone())
                .collect(),
        );
        self.record(Call::Release(request_id.to_string()));
    }
    fn health_check(&mut self, _endpoint: Rc<Endpoint>) {}
    fn close_idle(&mut self, endpoint: EndpointId) {
        self.record(Call::Closed(endpoint));
    }
    fn gossip(&mut self, _to: Option<u32>, _payload: Vec<u8>) {}
}

pub(crate) struct CoreHarness {
    pub(crate) core: Core<RecordingOutbound>,
    pub(crate) outbound: RecordingOutbound,
    pub(crate) handle: Handle,
    pub(crate) events: UnboundedReceiver<CoreEvent>,
}

pub(crate) fn entry(name: &str, kind: usize, state: EndpointState) -> EndpointEntry {
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

impl CoreHarness {
    pub(crate) fn new(effect: Idempotency) -> CoreHarness {
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
        let entries = vec![
            entry("prefill", 0, EndpointState::Active),
            entry("decode", 1, EndpointState::Active),
        ];
        core.handle(CoreEvent::EndpointsUpdated(EndpointListUpdate::Restored(
            entries,
        )));
        CoreHarness {
            core,
            outbound,
            handle,
            events,
        }
    }

    pub(crate) fn drain(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            self.core.handle(event);
        }
    }

    pub(crate) fn submit(&mut self) -> ResponseHandle {
        let response = submit(&self.handle, "q");
        self.drain();
        response
    }

    pub(crate) fn end_attempt(&mut self, number: u32, outcome: Outcome) {
        self.core.handle(CoreEvent::AttemptEnded {
            attempt: attempt(number),
            report: AttemptReport::from(outcome),
        });
    }

    /// A prompt that has been processed: the attempt at the decode endpoint is in flight.
    pub(crate) fn prefill(&mut self) -> ResponseHandle {
        let response = self.submit();
        self.end_attempt(0, Outcome::Prefilled { cached_tokens: 0 });
        assert_eq!(
            self.outbound.take(),
            [
                Call::Send(attempt(0), "prefill".to_owned()),
                Call::ReserveSlot("decode".to_owned()),
                Call::Send(attempt(1), "decode".to_owned())
            ]
        );
        response
    }

    pub(crate) fn answer_reservation(&mut self, reservation: SlotReservation) {
        let endpoint = Endpoint::new("decode", "127.0.0.1:1".parse().unwrap()).id;
        self.core.handle(CoreEvent::SlotReservationAnswered {
            prefill_attempt: attempt(0),
            request_id: "q".into(),
            endpoint,
            reservation,
        });
    }
}

pub(crate) fn submit(handle: &Handle, name: &str) -> ResponseHandle {
    handle.submit(incoming(name))
}

pub(crate) fn incoming(request_id: &str) -> IncomingRequest {
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

pub(crate) fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: RequestId(0),
        number,
    }
}
