//! The engine: batches that are open, and what is to be done for them.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Range;

use crate::{Budget, Flow, Micros, Pace, Turns, Window};

/// A batch that is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BatchId(pub u64);

/// What an operator sets.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How long a slice may take.
    pub slice_target: Micros,
    /// The fewest tokens of a slice, but for the last one of its batch.
    pub least_tokens: u64,
    /// The most tokens of a slice, but for one of a single item.
    pub most_tokens: u64,
    /// Tokens of a flow's round.
    pub quantum: u64,
    /// Slices out at once.
    pub at_once: usize,
    /// Repeats as a share of successes ...
    pub repeat_share: f64,
    /// ... and how many of them may be saved.
    pub repeat_most: f64,
    /// Tries of one slice.
    pub tries: u32,
    /// Batches that may be open.
    pub open_most: usize,
    /// The longest pause that a client is told.
    pub come_back_most: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            slice_target: 50_000,
            least_tokens: 16,
            most_tokens: 65_536,
            quantum: 1_024,
            at_once: 8,
            repeat_share: 0.2,
            repeat_most: 10.0,
            tries: 4,
            open_most: 4_096,
            come_back_most: 10_000_000,
        }
    }
}

/// A batch that comes in.
#[derive(Debug, Clone, PartialEq)]
pub struct Opening {
    /// Whose turn it takes.
    pub flow: Flow,
    /// Tokens of each of its items.
    pub tokens: Vec<u32>,
    /// Tokens that go with every slice.
    pub common: u64,
    /// Tokens of a slice while nothing is known of its class.
    pub first: u64,
    /// When its client gives up.
    pub due: Micros,
    /// Whether what may have run may be sent again.
    pub repeats: bool,
}

/// A slice to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Its batch.
    pub batch: BatchId,
    /// The items.
    pub items: Range<usize>,
    /// Their tokens, with what goes along.
    pub tokens: u64,
    /// How many slices of the batch were sent before, repeats too: no two orders share a number.
    pub number: u32,
}

/// How a slice failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It was turned away and has not run: whoever decides where it goes has given it up. So its batch is refused
    /// at once, best tried again after this pause.
    Refused(Micros),
    /// It was not sent, for want of memory here; there may be some after this pause.
    NoRoom(Micros),
    /// It may have run, or its answer is of no use.
    Failed,
}

/// A batch is refused: trying it again is harmless, best after a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The pause.
    pub come_back: Micros,
}

/// How a batch ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// All its slices have been served.
    Whole,
    /// It is refused: it cannot end in time, or there is no room.
    Refused(Refusal),
    /// A slice failed for good.
    Failed,
    /// Its deadline has passed.
    Late,
}

#[derive(Debug)]
enum State {
    Ready,
    Out {
        items: Range<usize>,
        tokens: u64,
        since: Micros,
        tries: u32,
    },
    /// To be sent from then on.
    Pausing(Micros),
    Over,
}

#[derive(Debug)]
struct Batch {
    flow: Flow,
    tokens: Vec<u32>,
    common: u64,
    first: u64,
    opened: Micros,
    due: Micros,
    repeats: bool,
    /// Items before this one have been served.
    served: usize,
    /// Tokens of those, and of those that are left.
    served_tokens: u64,
    left_tokens: u64,
    slices: u32,
    orders: u32,
    /// The slice to be asked for again, and how often it has been tried.
    again: Option<(usize, u32)>,
    state: State,
}

/// The engine.
pub struct Engine {
    settings: Settings,
    batches: HashMap<BatchId, Batch>,
    /// By class: batches of one class go to the same servers.
    paces: HashMap<u32, Pace>,
    turns: Turns,
    window: Window,
    budget: Budget,
    out: usize,
    next: u64,
    /// Deadlines and pauses, in their order.
    times: BTreeMap<(Micros, BatchId), ()>,
    verdicts: VecDeque<(BatchId, Verdict)>,
}

/// Served slices of a batch after which its own pace is believed.
const OWN_ENOUGH: u32 = 3;
/// A forecast must pass what is left by so much, in shares of it, before a batch is given up.
const DOUBT: f64 = 1.25;
/// The shortest pause before a slice that was not sent.
const PAUSE_LEAST: Micros = 5_000;

impl Engine {
    /// An engine with nothing open.
    pub fn new(settings: Settings) -> Engine {
        Engine {
            turns: Turns::new(settings.quantum),
            window: Window::new(settings.at_once),
            budget: Budget::new(settings.repeat_share, settings.repeat_most),
            settings,
            batches: HashMap::new(),
            paces: HashMap::new(),
            out: 0,
            next: 0,
            times: BTreeMap::new(),
            verdicts: VecDeque::new(),
        }
    }

    /// Takes a batch, unless it has no hope.
    pub fn open(&mut self, now: Micros, opening: Opening) -> Result<BatchId, Refusal> {
        let Opening {
            flow,
            tokens,
            common,
            first,
            due,
            repeats,
        } = opening;
        let left_tokens = tokens.iter().map(|t| u64::from(*t)).sum();
        if self.batches.len() >= self.settings.open_most {
            return Err(self.refusal(now, now + self.settings.slice_target));
        }
        if let Some(takes) = self.forecast(flow, first, left_tokens, common) {
            if takes as f64 > (due - now) as f64 * DOUBT {
                return Err(self.refusal(now, now + takes - (due - now)));
            }
        }
        let id = BatchId(self.next);
        self.next += 1;
        let batch = Batch {
            flow,
            tokens,
            common,
            first,
            opened: now,
            due,
            repeats,
            served: 0,
            served_tokens: 0,
            left_tokens,
            slices: 0,
            orders: 0,
            again: None,
            state: State::Ready,
        };
        self.batches.insert(id, batch);
        self.times.insert((due, id), ());
        self.turns.push(flow, id.0);
        Ok(id)
    }

    /// How long a batch of so many tokens would take beside those that are open; `None` while too little is known.
    fn forecast(&self, flow: Flow, first: u64, tokens: u64, common: u64) -> Option<Micros> {
        let pace = self.paces.get(&flow.class).filter(|p| p.is_known())?;
        let size = self.size(pace, first).saturating_sub(common).max(1);
        let slices = tokens.div_ceil(size).max(1);
        let one = pace.forecast(tokens.min(size) + common)?;
        let alone = one.saturating_mul(i64::try_from(slices).unwrap_or(i64::MAX));
        // One slice of a batch is out at a time; where more batches run than slices may be out, they share.
        let flows = self
            .batches
            .values()
            .filter(|b| !matches!(b.state, State::Over))
            .count()
            + 1;
        let crowd = (flows as f64 / self.window.size() as f64).max(1.0);
        Some((alone as f64 * crowd) as Micros)
    }

    fn size(&self, pace: &Pace, first: u64) -> u64 {
        let s = &self.settings;
        pace.slice(s.slice_target, first, s.least_tokens, s.most_tokens)
    }

    fn refusal(&self, now: Micros, at: Micros) -> Refusal {
        let least = self.settings.slice_target.min(self.settings.come_back_most);
        Refusal {
            come_back: (at - now).clamp(least, self.settings.come_back_most),
        }
    }

    /// The next slice of a batch: from its first item that has not been served.
    fn cut(&self, batch: &Batch) -> (Range<usize>, u64) {
        let most = match self.paces.get(&batch.flow.class) {
            Some(pace) => self.size(pace, batch.first),
            None => batch.first,
        };
        let (start, mut tokens) = (batch.served, batch.common);
        // The slice that failed is asked for again as it was, or shorter, never with others.
        let last = batch.again.map_or(batch.tokens.len(), |(end, _)| end);
        let mut end = start;
        while end < last {
            let item = u64::from(batch.tokens[end]);
            if end > start && tokens + item > most {
                break;
            }
            tokens += item;
            end += 1;
        }
        (start..end, tokens)
    }

    /// The next slice to be sent, if one may be.
    pub fn next(&mut self, now: Micros) -> Option<Order> {
        if self.out >= self.window.size() {
            return None;
        }
        let mut turns = std::mem::replace(&mut self.turns, Turns::new(1));
        let batch = turns.next(|id| {
            let batch = self.batches.get(&BatchId(id))?;
            matches!(batch.state, State::Ready).then(|| self.cut(batch).1)
        });
        self.turns = turns;
        let id = BatchId(batch?);
        let (items, tokens) = self.cut(self.batches.get(&id)?);
        let batch = self.batches.get_mut(&id)?;
        let tries = batch.again.map_or(0, |(_, tries)| tries) + 1;
        batch.state = State::Out {
            items: items.clone(),
            tokens,
            since: now,
            tries,
        };
        let number = batch.orders;
        batch.orders += 1;
        self.out += 1;
        Some(Order {
            batch: id,
            items,
            tokens,
            number,
        })
    }

    /// Takes back the slice that is out; `None` if none is.
    fn back(&mut self, id: BatchId) -> Option<(&mut Batch, Range<usize>, u64, Micros, u32)> {
        let batch = self.batches.get_mut(&id)?;
        match std::mem::replace(&mut batch.state, State::Ready) {
            State::Out {
                items,
                tokens,
                since,
                tries,
            } => {
                self.out -= 1;
                Some((batch, items, tokens, since, tries))
            }
            other => {
                batch.state = other;
                None
            }
        }
    }

    /// The slice that is out has been served.
    pub fn served(&mut self, now: Micros, id: BatchId) {
        let Some((batch, items, tokens, since, _)) = self.back(id) else {
            return;
        };
        let done: u64 = batch.tokens[items.clone()]
            .iter()
            .map(|t| u64::from(*t))
            .sum();
        batch.served = items.end;
        batch.served_tokens += done;
        batch.left_tokens -= done;
        batch.slices += 1;
        batch.again = batch.again.filter(|(end, _)| *end > items.end);
        let (class, whole) = (batch.flow.class, batch.served == batch.tokens.len());
        self.paces
            .entry(class)
            .or_default()
            .served(tokens, now - since);
        self.window.served();
        self.budget.succeeded();
        if whole {
            self.end(id, Verdict::Whole);
        } else if let Some(refusal) = self.hopeless(now, id) {
            self.end(id, Verdict::Refused(refusal));
        } else {
            self.ready(id);
        }
    }

    /// Whether a batch cannot end in time by its own pace, waits between its slices included.
    fn hopeless(&self, now: Micros, id: BatchId) -> Option<Refusal> {
        let batch = self.batches.get(&id)?;
        if batch.slices < OWN_ENOUGH {
            return None;
        }
        let pace = (now - batch.opened) as f64 / batch.served_tokens.max(1) as f64;
        let takes = pace * batch.left_tokens as f64;
        let left = (batch.due - now) as f64;
        (takes > left * DOUBT).then(|| self.refusal(now, now + (takes - left) as Micros))
    }

    fn ready(&mut self, id: BatchId) {
        if let Some(batch) = self.batches.get_mut(&id) {
            batch.state = State::Ready;
            self.turns.push(batch.flow, id.0);
        }
    }

    /// The slice that is out has failed.
    pub fn failed(&mut self, now: Micros, id: BatchId, failure: Failure) {
        let Some((batch, items, _, _, tries)) = self.back(id) else {
            return;
        };
        let (class, repeats, due) = (batch.flow.class, batch.repeats, batch.due);
        let end = batch.again.map_or(items.end, |(end, _)| end.min(items.end));
        batch.again = Some((end, tries));
        let again = match failure {
            Failure::Refused(pause) | Failure::NoRoom(pause) => now + pause.max(PAUSE_LEAST),
            Failure::Failed => now,
        };
        let permitted = match failure {
            Failure::Refused(_) => {
                self.window.refused(now);
                false
            }
            Failure::NoRoom(_) => true,
            Failure::Failed => {
                self.paces.entry(class).or_default().failed();
                repeats
            }
        };
        let may = permitted && tries < self.settings.tries && again < due && self.budget.take();
        match failure {
            _ if now >= due => self.end(id, Verdict::Late),
            Failure::NoRoom(_) if may => {
                if let Some(batch) = self.batches.get_mut(&id) {
                    batch.state = State::Pausing(again);
                    self.times.insert((again, id), ());
                }
            }
            Failure::Failed if may => self.ready(id),
            Failure::Refused(_) | Failure::NoRoom(_) => {
                let refusal = self.refusal(now, again);
                self.end(id, Verdict::Refused(refusal));
            }
            Failure::Failed => self.end(id, Verdict::Failed),
        }
    }

    /// Gives a batch its one verdict.
    fn end(&mut self, id: BatchId, verdict: Verdict) {
        if let Some(batch) = self.batches.get_mut(&id) {
            self.times.remove(&(batch.due, id));
            if let State::Pausing(at) = batch.state {
                self.times.remove(&(at, id));
            }
            // A refusal says that trying again is harmless, which is untrue where slices ran that must not run twice.
            let ran = !batch.repeats && batch.served > 0;
            let verdict = if ran && matches!(verdict, Verdict::Refused(_)) {
                Verdict::Failed
            } else {
                verdict
            };
            if !matches!(batch.state, State::Over) {
                batch.state = State::Over;
                self.verdicts.push_back((id, verdict));
            }
        }
    }

    /// A batch is closed: its client has all of its answer, or is gone. Whatever of it is out has been called off.
    pub fn close(&mut self, id: BatchId) {
        self.back(id);
        if let Some(batch) = self.batches.remove(&id) {
            self.times.remove(&(batch.due, id));
            if let State::Pausing(at) = batch.state {
                self.times.remove(&(at, id));
            }
        }
        self.verdicts.retain(|(of, _)| *of != id);
        if self.batches.is_empty() {
            self.turns.settle();
        }
    }

    /// The next verdict.
    pub fn verdict(&mut self) -> Option<(BatchId, Verdict)> {
        self.verdicts.pop_front()
    }

    /// When [`Engine::tick`] should be called.
    pub fn wake(&self) -> Option<Micros> {
        self.times.keys().next().map(|(at, _)| *at)
    }

    /// Ends what is late and goes on with what has paused long enough.
    pub fn tick(&mut self, now: Micros) {
        while let Some((&(at, id), ())) = self.times.first_key_value() {
            if at > now {
                break;
            }
            self.times.pop_first();
            let Some(batch) = self.batches.get(&id) else {
                continue;
            };
            if at >= batch.due {
                self.back(id);
                self.end(id, Verdict::Late);
            } else if let State::Pausing(_) = batch.state {
                self.ready(id);
            }
        }
    }

    /// Batches that are open, and slices that are out.
    pub fn load(&self) -> (usize, usize) {
        (self.batches.len(), self.out)
    }
}
