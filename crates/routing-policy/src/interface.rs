//! The types through which a host and the decision module speak: settings, events and actions.
//!
//! Nothing here decides anything. A setting that the host does not know stays `None`.

/// A point on the host's clock, or a span, in microseconds. The clock may start anywhere and only advances.
pub type Micros = i64;

/// A request, numbered by the host; never reused within one life of a [`crate::Policy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u32);
/// A model server. The same number at every dispatcher (a hash of its address, say), also after it restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u64);
/// A session of prompts that build on one another. The same number at every dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
/// An opening text that prompts of several sessions share. The same number at every dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixId(pub u64);
/// A request class, an index into [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassId(pub usize);
/// A server kind, an index into [`Settings::kinds`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);
/// A zone, numbered by the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);
/// A cell: servers close to one another, between which read states move fast.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub i64);

/// What a repetition of a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated and refused freely.
    Safe,
    /// May be repeated within the group of servers that discards repetitions, while they remember.
    Keyed(KeyScope),
    /// May be repeated or refused only when no earlier attempt can have run.
    Unsafe,
}

/// The servers that discard repetitions of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those of the zone in which the request may have run.
    Zone,
    /// Those of the cell in which it may have run.
    Cell,
}

/// What a server of some kind does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Reads prompts and keeps the read state until a writer fetches it.
    Read,
    /// Fetches a read state and streams the answer.
    Write,
    /// Reads and answers.
    Both,
}

impl Default for Effect {
    /// The most careful one, for a host that does not say.
    fn default() -> Self {
        Effect::Unsafe
    }
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Class {
    /// The first token is wanted within this span.
    pub aim: Option<Micros>,
    /// The aim grows by this for each 1,000 prompt tokens.
    pub aim_per_1000: Option<f64>,
    /// The answer should stream at no more than this a token.
    pub token_aim: Option<Micros>,
    /// What repeating does.
    pub effect: Effect,
    /// For how long a keyed repetition is discarded, from the first send that may have run.
    pub dedup_window: Option<Micros>,
    /// The worth of a request, or of a unit of its work.
    pub worth: Option<f64>,
}

/// A server kind.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Kind {
    /// Its part in serving a request; absent counts as `Both`.
    pub stage: Option<Stage>,
    /// Its memory, in tokens.
    pub memory_tokens: Option<f64>,
}

/// How servers report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Reporting {
    /// Inside outcomes and probe results.
    WithOutcomes,
    /// Inside probe results alone.
    OnProbe,
    /// Not at all.
    #[default]
    Never,
}

/// What the host knows at start. All of it stays as it is for the life of the module.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Number of dispatchers that share the servers.
    pub balancers: Option<u32>,
    /// This dispatcher's number among them.
    pub me: Option<u32>,
    /// The zone of this dispatcher.
    pub zone: Option<ZoneId>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Server kinds.
    pub kinds: Vec<Kind>,
    /// Least span between two deliveries of events.
    pub period: Option<Micros>,
    /// A place may be reserved at a writer while the prompt is read.
    pub earmarks: bool,
    /// A writer without a state to fetch reads the prompt itself.
    pub writers_read: bool,
    /// A broken stream goes on from its last token, and streams may be moved.
    pub resume: bool,
    /// Held state must be used or freed within this span.
    pub pin_limit: Option<Micros>,
    /// Load reports.
    pub reporting: Reporting,
    /// Servers may be probed.
    pub probing: bool,
    /// Attempts may be withdrawn.
    pub cancelling: bool,
    /// Dispatchers may message one another.
    pub peers: bool,
    /// A request may have two attempts out at once.
    pub parallel_tries: bool,
    /// Most attempts for a request.
    pub max_attempts: Option<u32>,
    /// Refused clients may be told when to return.
    pub retry_after: bool,
    /// The longest such wait that a client heeds.
    pub max_retry_after: Option<Micros>,
    /// Changes of the server list must be asked for.
    pub membership_asked: bool,
    /// Without a subscription, the list must be asked for at least this often.
    pub ask_within: Option<Micros>,
    /// A final answer is still in time this long after the client's deadline.
    pub answer_slack: Option<Micros>,
    /// A cold server falls over when sent this multiple of its present capacity ...
    pub fall_multiple: Option<f64>,
    /// ... for this span.
    pub fall_window: Option<Micros>,
    /// A started server begins at this share of its capacity or more.
    pub start_capacity: Option<f64>,
    /// It is warm no later than this after its start.
    pub warm_up: Option<Micros>,
}

/// Whether a listed server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It takes work.
    Up,
    /// It completes its work and takes nothing new.
    Draining,
    /// It has been removed.
    Gone,
}

/// A line of the server list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// The server.
    pub host: HostId,
    /// When it last started; absent for long ago.
    pub last_start: Option<Micros>,
    /// Its kind.
    pub kind: KindId,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Its cell.
    pub cell: CellId,
    /// Its size beside others of its stage.
    pub weight: f64,
    /// Its zone.
    pub zone: ZoneId,
}

/// How a list is to be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListForm {
    /// Only what has changed.
    Patch,
    /// Everything; a server that is missing is gone.
    Whole,
    /// Everything as this dispatcher last held it before its restart; may be out of date.
    Stale,
    /// An asked-for list did not come; what was known stays valid.
    Broken,
}

/// A request as it came in.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Ask {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its session, if it has one.
    pub session: Option<SessionId>,
    /// The opening text that it shares with other sessions.
    pub prefix: Option<PrefixId>,
    /// The client is gone after this.
    pub valid_until: Micros,
    /// Rough length of the answer as time at the class's token aim.
    pub hint: Option<Micros>,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens of these that belong to the shared opening.
    pub shared_tokens: u64,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// The client says that it is trying again.
    pub retry: bool,
    /// The client returns after a break or a move of its stream.
    pub came_back: bool,
    /// The kinds of server that it may go to, a bit for each of the first 64; any where it does not say.
    pub kinds: Option<u64>,
}

impl Ask {
    /// Whether it may go to a server of this kind.
    pub fn fits(&self, kind: KindId) -> bool {
        self.kinds
            .is_none_or(|kinds| kind.0 < 64 && kinds >> kind.0 & 1 == 1)
    }
}

/// A server's load report. What it does not carry is `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests held, waiting states included.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Share of slots taken.
    pub util: Option<f64>,
    /// Share of memory held.
    pub memory: Option<f64>,
    /// Thousands of prompt tokens waiting to be read or fetched.
    pub pending_k: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Good,
    /// The server answered with an error; it may have run.
    Bad,
    /// Turned away: slots and queue full, or no state to fetch.
    Full,
    /// Not answered in time; it may have run.
    Late,
    /// No connection; it never ran.
    NoConn,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Nop,
    /// The prompt is read and its state waits at the reader.
    HalfDone,
}

/// What the host tells the module.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the server list.
    Members {
        /// How to take it.
        form: ListForm,
        /// Its lines.
        members: Vec<Member>,
    },
    /// A request came in.
    Ask(Ask),
    /// An attempt's answer has begun to stream.
    Established {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The server.
        host: HostId,
        /// Time since it was sent.
        spent: Micros,
    },
    /// An attempt ended.
    Result {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The server.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// Prompt tokens found kept (read or served); with `Full`, 1 where no state was there to fetch; with
        /// `Reset`, 1 where a kept connection had been dropped unseen, and with `NoConn`, 1 where the system here had no
        /// connection to give: both say nothing of the server.
        info: u64,
        /// The request is over.
        no_more: bool,
        /// Time since it was sent.
        spent: Micros,
        /// The server's report, if one came along.
        load: Option<Load>,
    },
    /// The reply to an earmark.
    Earmarked {
        /// The request.
        id: RequestId,
        /// The server of the reading attempt that bears the reply.
        host: HostId,
        /// The place is held.
        held: bool,
    },
    /// The client has left or was answered too late.
    ClientGone(RequestId),
    /// A timer fell due.
    Timer(u64),
    /// A probe ended.
    Probed {
        /// The server.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        spent: Micros,
        /// The server's report.
        load: Option<Load>,
    },
    /// The host is about to end, and takes nothing new from now on or soon.
    Leaving {
        /// From then on clients that ask again reach another dispatcher, if there is one.
        from: Micros,
        /// All must be answered by then.
        by: Micros,
    },
    /// Another dispatcher's message.
    Peer {
        /// Its number.
        from: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

/// How the module stands towards a server at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// The server.
    pub host: HostId,
    /// It would be given work: it is up, warm enough, and neither set aside nor overloaded.
    pub takes: bool,
    /// Its part of the lane score for a request of which nothing is kept, as a share of the most there is.
    pub worth: f64,
}

/// What the module tells the host to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to a server; abandon the attempt at `expire`, and at `up_by` if it has no connection by then.
    Route {
        /// The request.
        id: RequestId,
        /// The server.
        host: HostId,
        /// When to give the attempt up.
        expire: Micros,
        /// By when a connection must be up, and the request written: neither what is held for it nor the end of the
        /// window in which a repeat is discarded waits for one. 0 for no such limit.
        up_by: Micros,
    },
    /// Reserve a place for the request at a writer.
    Earmark {
        /// The request.
        id: RequestId,
        /// The writer.
        host: HostId,
    },
    /// Let go of all that is held for the request.
    FreeState(RequestId),
    /// Withdraw an attempt.
    Abort {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Shed {
        /// The request.
        id: RequestId,
        /// Advice for the client: do not return for this long (0 for none).
        pause: Micros,
    },
    /// Final answer: failed.
    Lose(RequestId),
    /// End a running stream so that its client comes back.
    Bounce(RequestId),
    /// Deliver `Event::Timer(key)` at or after `at`.
    Sleep {
        /// When.
        at: Micros,
        /// The key to give back.
        key: u64,
    },
    /// Probe a server.
    Touch(HostId),
    /// Close idle connections to a server.
    FreeLinks(HostId),
    /// Send bytes to one other dispatcher, or to all.
    Publish {
        /// The other one, or all of them.
        to: Option<u32>,
        /// The bytes, at most 256.
        bytes: Vec<u8>,
    },
    /// Ask for changes of the server list from now on (or no longer).
    Subscribe(bool),
    /// Ask for the whole server list once.
    Fetch,
    /// A line for the log.
    Log(String),
}
