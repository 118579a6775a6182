//! The oracle: the rules of the protocol as invariants over what happened at clients, servers and the network. It takes
//! facts in the order of their times and does no I/O. What it is told comes from the stand-ins, never from the routers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

/// Milliseconds since the start of the run.
pub type Millis = u64;

/// How far apart two facts may be told, as the stand-ins run on one busy thread (ms).
const SLACK: Millis = 120;
/// After its deadline a final answer still counts as one for this long (ms).
const ANSWER_LATE: Millis = 500;
/// A router may be held up for this long between its clock and its writing; deadlines allow for it (ms).
const DEADLINE_SLACK: Millis = 150;
/// An attempt may begin for this long after its client has closed (ms).
const CLIENT_LEFT: Millis = 100;
/// What is held has this much more than the settings say (ms).
const HELD_MORE: Millis = 300;
/// Each limit of the settings is this much longer on sockets (ms).
const SOCKETS_MORE: Millis = 50;

/// The rules that can be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request that was taken had no final answer in time, or more than one.
    Lost,
    /// A request ran again, or was refused, though it may have run.
    Duplicate,
    /// Two attempts were out at once.
    SecondCopy,
    /// New work went to a server that drains or is gone.
    Drain,
    /// Something stayed held with nothing out.
    Held,
    /// An attempt began after its client had gone.
    AfterClientLeft,
    /// A server was told more time than the client has left.
    Deadline,
    /// A server in slow start got more than its budget.
    SlowStart,
    /// A process ended otherwise than it was asked to, or said that a rule was broken inside it.
    Crash,
}

/// What a request's class permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// All repeats.
    Safe,
    /// None once it may have run.
    Unsafe,
}

/// What a server is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// To read the prompt.
    Read,
    /// To answer.
    Write,
}

/// A client's view of the end of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Final {
    /// A stream has begun.
    Served,
    /// 429 or 503.
    Refused,
    /// Anything else.
    Failed,
    /// The connection ended without an answer.
    Closed,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When (ms).
    pub at: Millis,
    /// What happened.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} at {:.2} s: {}",
            self.rule,
            self.at as f64 / 1_000.0,
            self.detail
        )
    }
}

/// The figures of the settings that the rules use.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// After news of a drain, new work must stop within this (ms).
    pub drain_grace: Millis,
    /// What is held must be taken or let go within this (ms).
    pub held: Millis,
    /// Calls that a server in slow start bears in the window.
    pub slow_start_calls: f64,
    /// The window (ms).
    pub slow_start_window: Millis,
}

/// One request as the stand-ins know it.
#[derive(Debug)]
struct Request {
    router: usize,
    effect: Effect,
    sent: Millis,
    deadline: Millis,
    left: Option<Millis>,
    answer: Option<Final>,
    /// Attempts whose last byte has arrived and whose connection is open, by their numbers.
    out: BTreeMap<u64, Role>,
    /// It has run or may have run: attempts at writers that arrived and were not turned away.
    possible_runs: usize,
    /// Where something is held for it.
    held: BTreeSet<(usize, bool)>,
    /// Since when something is held with nothing out.
    idle_since: Option<Millis>,
    /// Its router has been killed: nothing is owed by it any more.
    orphaned: bool,
    held_reported: bool,
    /// The client sent it again, as the connection was closed under it.
    resent: bool,
}

/// The invariants, and what broke them.
#[derive(Debug)]
pub struct Oracle {
    limits: Limits,
    requests: HashMap<String, Request>,
    /// When each router was told that a server takes nothing new; `None` while it does.
    told: HashMap<(usize, usize), Millis>,
    /// Calls that reached servers in slow start.
    starts: HashMap<usize, (Millis, Vec<Millis>)>,
    violations: Vec<Violation>,
}

impl Oracle {
    /// No facts yet.
    pub fn new(limits: Limits) -> Oracle {
        Oracle {
            limits,
            requests: HashMap::new(),
            told: HashMap::new(),
            starts: HashMap::new(),
            violations: Vec::new(),
        }
    }

    /// What has been broken.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// How many requests had which end, for the report.
    pub fn answered(&self, end: Final) -> usize {
        self.requests
            .values()
            .filter(|r| r.answer == Some(end))
            .count()
    }

    /// Notes that a rule was broken.
    pub fn violate(&mut self, rule: Rule, at: Millis, detail: String) {
        self.violations.push(Violation { rule, at, detail });
    }

    /// A client has written the last byte of a request to a router.
    pub fn sent(&mut self, id: &str, router: usize, effect: Effect, at: Millis, patience: Millis) {
        let request = Request {
            router,
            effect,
            sent: at,
            deadline: at + patience,
            left: None,
            answer: None,
            out: BTreeMap::new(),
            possible_runs: 0,
            held: BTreeSet::new(),
            idle_since: None,
            orphaned: false,
            held_reported: false,
            resent: false,
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// The client's kept connection was closed under the request, and it sends it to another router.
    pub fn resent(&mut self, id: &str, router: usize, at: Millis) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let begun = request.possible_runs > 0 || !request.out.is_empty();
        (request.router, request.resent) = (router, true);
        if begun && !request.orphaned {
            let detail = format!("{id} was read, forwarded and closed with no answer");
            self.violate(Rule::Lost, at, detail);
        }
    }

    /// The client closed its connection before it had an answer.
    pub fn client_left(&mut self, id: &str, at: Millis) {
        if let Some(request) = self.requests.get_mut(id) {
            request.left = Some(at);
        }
    }

    /// The client has its answer.
    pub fn answer(&mut self, id: &str, answer: Final, at: Millis) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.left.is_some() || request.orphaned {
            return;
        }
        request.answer = Some(answer);
        let late = at > request.deadline + ANSWER_LATE + SLACK;
        let (effect, runs, deadline) = (request.effect, request.possible_runs, request.deadline);
        if answer == Final::Closed {
            self.violate(Rule::Lost, at, format!("{id} was closed with no answer"));
        } else if late {
            let late = at - deadline;
            self.violate(
                Rule::Lost,
                at,
                format!("{id} had its answer ({answer:?}) {late} ms late"),
            );
        }
        if answer == Final::Refused && effect == Effect::Unsafe && runs > 0 {
            self.violate(
                Rule::Duplicate,
                at,
                format!("{id} was refused after an attempt that may have run"),
            );
        }
    }

    /// The first byte of an attempt has left a router.
    pub fn attempt_begins(&mut self, router: usize, server: usize, at: Millis) {
        let grace = self.limits.drain_grace + SOCKETS_MORE;
        let Some(told) = self.told.get(&(router, server)).copied() else {
            return;
        };
        if at > told + grace {
            let late = at - told;
            let detail = format!(
                "router {router} began an attempt at server {server} {late} ms after it was told"
            );
            self.violate(Rule::Drain, at, detail);
        }
    }

    /// The last byte of an attempt has reached a running server.
    pub fn attempt_arrives(
        &mut self,
        id: &str,
        number: u64,
        server: usize,
        role: Role,
        at: Millis,
        told_ms: Millis,
    ) {
        self.count_call(server, at);
        let Some(request) = self.requests.get_mut(id) else {
            return self.violate(Rule::Duplicate, at, format!("{id} was sent by nobody"));
        };
        let mut broken = Vec::new();
        if let Some(left) = request.left.filter(|left| at > left + CLIENT_LEFT + SLACK) {
            broken.push((
                Rule::AfterClientLeft,
                format!("{id} begun {} ms after its client left", at - left),
            ));
        }
        if request.answer.is_some_and(|answer| answer != Final::Served) {
            broken.push((
                Rule::Duplicate,
                format!("{id} was sent on after its final answer"),
            ));
        }
        let others = request.out.len();
        if others > 0 {
            broken.push((
                Rule::SecondCopy,
                format!("{id} was sent to server {server} with {others} out"),
            ));
        }
        if role == Role::Write && request.effect == Effect::Unsafe && request.possible_runs > 0 {
            broken.push((
                Rule::Duplicate,
                format!("{id} was sent again though it may have run"),
            ));
        }
        let left = request.deadline.saturating_sub(at);
        if told_ms > left + DEADLINE_SLACK + SLACK {
            broken.push((
                Rule::Deadline,
                format!("{id} told {told_ms} ms with {left} ms left"),
            ));
        }
        request.out.insert(number, role);
        request.possible_runs += usize::from(role == Role::Write);
        request.idle_since = None;
        broken
            .into_iter()
            .for_each(|(rule, detail)| self.violate(rule, at, detail));
    }

    /// A server has turned an attempt away: it has not run.
    pub fn turned_away(&mut self, id: &str, role: Role) {
        if let Some(request) = self.requests.get_mut(id) {
            request.possible_runs -= usize::from(role == Role::Write).min(request.possible_runs);
        }
    }

    /// An attempt is out no longer: it was answered, or its router or server closed the connection.
    pub fn attempt_ends(&mut self, id: &str, number: u64, at: Millis) {
        if let Some(request) = self.requests.get_mut(id) {
            request.out.remove(&number);
            request.restart_idle(at);
        }
    }

    /// A server holds a state (or, `place`, a place) for a request.
    pub fn holds(&mut self, id: &str, server: usize, place: bool, at: Millis) {
        if let Some(request) = self.requests.get_mut(id) {
            request.held.insert((server, place));
            request.restart_idle(at);
        }
    }

    /// It does no longer: it was taken, let go, or lost with the server.
    pub fn releases(&mut self, id: &str, server: usize, place: bool, at: Millis) {
        if let Some(request) = self.requests.get_mut(id) {
            request.held.remove(&(server, place));
            if request.held.is_empty() {
                request.idle_since = None;
            } else {
                request.restart_idle(at);
            }
        }
    }

    /// A router has been told that a server drains or is gone, or (`takes`) that it takes work.
    pub fn told(&mut self, router: usize, server: usize, takes: bool, at: Millis) {
        if takes {
            self.told.remove(&(router, server));
        } else {
            self.told.entry((router, server)).or_insert(at);
        }
    }

    /// A router process begins: it has been told nothing.
    pub fn router_starts(&mut self, router: usize) {
        self.told.retain(|(r, _), _| *r != router);
    }

    /// A router process is gone without having finished: what it had taken is nobody's.
    pub fn router_killed(&mut self, router: usize) {
        let of = |r: &&mut Request| r.router == router;
        self.requests
            .values_mut()
            .filter(of)
            .for_each(|r| r.orphaned = true);
    }

    /// A server has started: it bears little for a while.
    pub fn server_starts(&mut self, server: usize, at: Millis) {
        self.starts.insert(server, (at, Vec::new()));
    }

    fn count_call(&mut self, server: usize, at: Millis) {
        let (calls, window) = (self.limits.slow_start_calls, self.limits.slow_start_window);
        let Some((started, arrived)) = self.starts.get_mut(&server) else {
            return;
        };
        if at > *started + window {
            self.starts.remove(&server);
            return;
        }
        arrived.push(at);
        let budget = match calls < 30.0 {
            true => calls + 3.0 * calls.sqrt() + 3.0,
            false => calls + 2.0 * calls.sqrt() + 2.0,
        };
        let count = arrived.len();
        if count as f64 > budget {
            self.starts.remove(&server);
            let detail = format!(
                "server {server} got {count} calls in its first seconds, its budget is {budget:.0}"
            );
            self.violate(Rule::SlowStart, at, detail);
        }
    }

    /// Looks for what should have happened by now.
    pub fn sweep(&mut self, now: Millis) {
        let most = self.limits.held + HELD_MORE + SLACK;
        let mut broken = Vec::new();
        for (id, request) in &mut self.requests {
            let idle = request.idle_since.map(|since| now.saturating_sub(since));
            if idle.is_some_and(|idle| idle > most) && !request.orphaned && !request.held_reported {
                request.held_reported = true;
                let held = &request.held;
                broken.push((
                    Rule::Held,
                    format!("{id} held at {held:?} for over {most} ms with nothing out"),
                ));
            }
            let owed = request.answer.is_none() && request.left.is_none() && !request.orphaned;
            if owed && now > request.deadline + ANSWER_LATE + SLACK {
                request.orphaned = true;
                let (router, sent) = (request.router, request.sent);
                broken.push((
                    Rule::Lost,
                    format!("{id}, sent at {sent} ms to router {router}, has no answer"),
                ));
            }
        }
        broken
            .into_iter()
            .for_each(|(rule, detail)| self.violate(rule, now, detail));
    }
}

impl Request {
    /// The span with something held and nothing out begins, or begins anew.
    fn restart_idle(&mut self, at: Millis) {
        let idle = !self.held.is_empty() && self.out.is_empty();
        self.idle_since = idle.then_some(at);
    }
}
