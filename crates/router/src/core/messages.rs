//! What the core and the other parts say to one another.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cranetack_routing_policy::{
    ClassId, HostId, ListForm, Load, Member, Outcome, RequestId, Standing,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::server::{Host, Listed};
use crate::exchange::{Carrier, Message, Parts};

/// A request as a front has decoded it.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Its id on the wire.
    pub request_id: Rc<str>,
    /// Its class.
    pub class: ClassId,
    /// Its session.
    pub session: Option<String>,
    /// The opening that it shares with other sessions.
    pub prefix: Option<String>,
    /// How long the client waits for the first part of the answer.
    pub patience: Duration,
    /// Rough length of the answer as time.
    pub hint: Option<Duration>,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens of these that belong to the shared opening.
    pub shared_tokens: u64,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// The client is trying again.
    pub retry: bool,
    /// The client asks for the rest of a broken stream.
    pub came_back: bool,
    /// The kinds of server that it may go to, a bit for each; any where it does not say.
    pub kinds: Option<u64>,
    /// What servers are sent.
    pub message: Rc<Message>,
}

/// What came of a request for a place at a writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// It is held.
    Held,
    /// It is not held.
    Refused,
    /// The writer may hold it, but did not say.
    Unsure,
}

/// Why an attempt ended, as seen at its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndReason {
    /// Its task failed.
    #[default]
    TaskFailed,
    /// No connection came up in time.
    NoConnection,
    /// This machine had no connection to give.
    NoConnectionHere,
    /// The server takes nothing new, or the request wants no answer any more: nothing was written.
    NotWanted,
    /// The request could not be put into the wire's form.
    Unwritable,
    /// The server answered with this status.
    Answered(u16),
    /// The connection broke before an answer's head, in its body, or before its first event.
    Broken,
    /// An answer that had begun did not go on.
    Stalled,
    /// It was called off.
    Cancelled,
    /// Its time was up.
    Expired,
    /// Its stream was passed on to the end.
    StreamEnded,
    /// Its stream broke, or was broken off.
    StreamBroken,
}

/// What was seen on the wire of an attempt, for those who look for the cause of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WireTrace {
    /// The connection's number, if there was one, and whether it had been kept.
    pub connection: Option<(u64, bool)>,
    /// Bytes written of the request, and whether the last is among them.
    pub written: (u64, bool),
    /// Bytes that have come since the request began.
    pub read: u64,
    /// Why it ended.
    pub reason: EndReason,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ended {
    /// How.
    pub outcome: Outcome,
    /// Prompt tokens found kept; or 1 where no state was there to fetch, a kept connection had been dropped, or this machine
    /// had none to give.
    pub info: u64,
    /// The server's report, if one came along.
    pub load: Option<Load>,
    /// What was seen on the wire.
    pub wire: WireTrace,
}

impl Ended {
    /// The same with why it ended.
    pub fn because(self, reason: EndReason) -> Ended {
        Ended {
            wire: WireTrace {
                reason,
                ..self.wire
            },
            ..self
        }
    }
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended {
            outcome,
            info: 0,
            load: None,
            wire: WireTrace::default(),
        }
    }
}

/// An attempt at a server: the request's number, and the attempt's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 0.
    pub number: u32,
}

/// What has happened outside the core.
pub enum CoreEvent {
    /// A request came in.
    Submitted(RequestId, IncomingRequest, Carrier),
    /// Its client has gone, or has been answered in full.
    ClientGone(RequestId),
    /// The first part of an attempt's answer is here.
    Established {
        /// The attempt.
        attempt: AttemptId,
        /// The media type of the answer.
        media_type: String,
        /// The answer.
        parts: Parts,
    },
    /// An attempt has ended, and its connection no longer carries it.
    AttemptEnded(AttemptId, Ended),
    /// A request for a place was answered, or may have been heard.
    ReservationAnswered {
        /// The attempt whose read the place was asked for.
        reading: AttemptId,
        /// Its id on the wire.
        request_id: Rc<str>,
        /// The writer.
        host: HostId,
        /// What came of it.
        place: Place,
    },
    /// A probe has ended.
    Probed {
        /// The server.
        host: HostId,
        /// How.
        outcome: Outcome,
        /// How long it took.
        spent: Duration,
        /// The server's report.
        load: Option<Load>,
    },
    /// News of the list of servers.
    Members(ListForm, Vec<Listed>),
    /// Servers of these names take nothing new; no more of their lines can be read.
    MembersLeaving(Vec<String>),
    /// Another router's message.
    Peer(u32, Vec<u8>),
    /// The router ends: clients are sent elsewhere from one instant on, and all must be answered by another.
    Leaving(Instant, Instant),
    /// Somebody asks how the module stands towards the servers.
    StatusRequested(oneshot::Sender<Vec<EndpointStatus>>),
}

/// A server, and how the module stands towards it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its line of the list.
    pub member: Member,
    /// How the module stands towards it.
    pub standing: Standing,
}

/// An attempt to be made.
#[derive(Clone)]
pub struct AttemptSpec {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request's id on the wire.
    pub request_id: Rc<str>,
    /// The server.
    pub host: Rc<Host>,
    /// When to give it up, unless its answer has begun.
    pub expire: Instant,
    /// When to give it up, unless it has a connection.
    pub up_by: Instant,
    /// Whether the request still wants an answer.
    pub wanted: Rc<Cell<bool>>,
    /// The server reads the prompt and keeps the state; else it answers.
    pub reads: bool,
    /// It must not run twice, so it had better not go over a connection that may break under it.
    pub non_idempotent: bool,
    /// What to send.
    pub message: Rc<Message>,
}

/// What the core has done outside. None of these may wait: they start work and report as events.
pub trait Outbound {
    /// Makes an attempt.
    fn send(&mut self, order: AttemptSpec);
    /// Cancels an attempt; one that streams only if `streaming`, which breaks its answer off.
    fn cancel(&mut self, attempt: AttemptId, streaming: bool);
    /// Asks a writer for a place, once the reading request is out.
    fn reserve(&mut self, reading: AttemptId, request_id: Rc<str>, writer: Rc<Host>);
    /// Lets go of all that is held for a request, through the first of these servers that can be reached.
    fn release(&mut self, request: RequestId, request_id: Rc<str>, hosts: Vec<Rc<Host>>);
    /// Probes a server.
    fn probe(&mut self, host: Rc<Host>);
    /// Closes idle connections to a server.
    fn close_idle(&mut self, host: HostId);
    /// Sends a message to one router or to all.
    fn publish(&mut self, to: Option<u32>, bytes: Vec<u8>);
}
