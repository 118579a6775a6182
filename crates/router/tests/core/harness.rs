//! A core whose upstream only records the calls that it gets.

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
    CloseIdle(EndpointId),
}

#[derive(Clone, Default)]
pub(crate) struct RecordingOutbound {
    pub(crate) calls: Rc<RefCell<Vec<Call>>>,
    /// Makes the next attempt panic.
    pub(crate) panics_on_next_send: Rc<Cell<bool>>,
    /// The time by which the latest attempt must have a connection.
    pub(crate) write_by: Rc<Cell<Option<Instant>>>,
    /// Whether the request of the latest attempt still needs a response.
    pub(crate) needs_response: Rc<RefCell<Rc<Cell<bool>>>>,
    /// The endpoints of the latest release of state, in the order in which they are tried.
    pub(crate) release_endpoints: Rc<RefCell<Vec<String>>>,
}

impl RecordingOutbound {
    pub(crate) fn record(&self, call: Call) {
        self.calls.borrow_mut().push(call);
    }

    pub(crate) fn take_calls(&self) -> Vec<Call> {
        self.calls.take()
    }
}

impl Outbound for RecordingOutbound {
    fn send(&mut self, spec: AttemptSpec) {
        assert!(!self.panics_on_next_send.take(), "an intentional panic");
        self.write_by.set(Some(spec.write_by));
        self.needs_response.replace(spec.needs_response.clone());
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
        self.release_endpoints.replace(
            endpoints
                .iter()
                .map(|endpoint| endpoint.name.clone())
                .collect(),
        );
        self.record(Call::Release(request_id.to_string()));
    }
    fn health_check(&mut self, _endpoint: Rc<Endpoint>) {}
    fn close_idle(&mut self, endpoint: EndpointId) {
        self.record(Call::CloseIdle(endpoint));
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
    pub(crate) fn new(class_idempotency: Idempotency) -> CoreHarness {
        let settings = Settings {
            classes: vec![Class {
                idempotency: class_idempotency,
                ..Class::default()
            }],
            kinds: [Role::Prefill, Role::Decode]
                .map(|role| Kind {
                    role: Some(role),
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

    /// Handles the events that were sent through the handle.
    pub(crate) fn handle_pending_events(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            self.core.handle(event);
        }
    }

    pub(crate) fn submit(&mut self) -> ResponseHandle {
        let response = submit(&self.handle, "q");
        self.handle_pending_events();
        response
    }

    pub(crate) fn end_attempt(&mut self, number: u32, outcome: Outcome) {
        self.core.handle(CoreEvent::AttemptEnded {
            attempt: attempt_id(number),
            report: AttemptReport::from(outcome),
        });
    }

    /// Submits a request and ends its prefill, so that its attempt at the decode endpoint is in
    /// flight.
    pub(crate) fn submit_and_prefill(&mut self) -> ResponseHandle {
        let response = self.submit();
        self.end_attempt(0, Outcome::Prefilled { cached_tokens: 0 });
        assert_eq!(
            self.outbound.take_calls(),
            [
                Call::Send(attempt_id(0), "prefill".to_owned()),
                Call::ReserveSlot("decode".to_owned()),
                Call::Send(attempt_id(1), "decode".to_owned())
            ]
        );
        response
    }

    pub(crate) fn end_reservation(&mut self, reservation: SlotReservation) {
        let endpoint = Endpoint::new("decode", "127.0.0.1:1".parse().unwrap()).id;
        self.core.handle(CoreEvent::SlotReservationCompleted {
            prefill_attempt: attempt_id(0),
            request_id: "q".into(),
            endpoint,
            reservation,
        });
    }
}

pub(crate) fn submit(handle: &Handle, request_id: &str) -> ResponseHandle {
    handle.submit(incoming_request(request_id))
}

pub(crate) fn incoming_request(request_id: &str) -> IncomingRequest {
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
        client_can_resume: true,
        allowed_kinds: None,
        message: Rc::default(),
    }
}

pub(crate) fn attempt_id(number: u32) -> AttemptId {
    AttemptId {
        request: RequestId(0),
        number,
    }
}
