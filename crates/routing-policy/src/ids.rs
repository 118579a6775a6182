//! Identifiers and the unit of time in events, actions and settings.

/// A point in time on the driver's clock, or a duration, in microseconds. The clock may start at
/// any value and never goes back.
pub type Micros = i64;

/// A request, numbered by the driver. A number is not reused within the life of a
/// [`crate::Policy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u32);

/// An endpoint, which is a model server. Every router uses the same number for it, such as a hash
/// of its name, and the number stays the same after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// A session, whose prompts each extend the one before. Every router uses the same number for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// A prompt prefix that several sessions share. Every router uses the same number for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixId(pub u64);

/// A request class, an index into [`crate::Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassId(pub usize);

/// A kind of endpoint, an index into [`crate::Settings::kinds`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// A zone, numbered by the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// A cell: a group of endpoints that transfer KV state to one another quickly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub i64);

/// The purpose of a timer. The driver returns it in [`crate::Event::TimerFired`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerKey {
    /// The policy's periodic work: overdue attempts, the queue, a shutdown and health checks.
    Tick,
    /// The next poll of the endpoint list.
    PollEndpoints,
    /// A point in time at which one request may need an action.
    Request(RequestId),
}

impl TimerKey {
    const TICK: u64 = 0;
    const POLL_ENDPOINTS: u64 = 1;
    const FIRST_REQUEST: u64 = 2;

    /// Encodes the key as a number for a wire format.
    pub fn encode(self) -> u64 {
        match self {
            TimerKey::Tick => Self::TICK,
            TimerKey::PollEndpoints => Self::POLL_ENDPOINTS,
            TimerKey::Request(id) => Self::FIRST_REQUEST + u64::from(id.0),
        }
    }

    /// Decodes a number to a key; `None` if no key has that number.
    pub fn decode(number: u64) -> Option<TimerKey> {
        match number {
            Self::TICK => Some(TimerKey::Tick),
            Self::POLL_ENDPOINTS => Some(TimerKey::PollEndpoints),
            _ => {
                let id = u32::try_from(number - Self::FIRST_REQUEST).ok()?;
                Some(TimerKey::Request(RequestId(id)))
            }
        }
    }
}
