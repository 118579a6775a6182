//! Identifiers and the unit of time that events, actions and settings share.

/// A point on the driver's clock, or a span, in microseconds. The clock may start anywhere and only
/// advances.
pub type Micros = i64;

/// A request, numbered by the driver; never reused within the life of a [`crate::Policy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u32);

/// A model server. Every router uses the same number for it (a hash of its name, say), also after
/// it restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// A session of prompts that build on one another. Every router uses the same number for it.
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

/// A cell: endpoints close to one another, between which KV state moves fast.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub i64);

/// What a timer is for. The driver gives it back in [`crate::Event::TimerFired`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerKey {
    /// The periodic check of everything that waits.
    Tick,
    /// The next poll of the endpoint list.
    PollEndpoints,
    /// A deadline of one request.
    Request(RequestId),
}

impl TimerKey {
    const TICK: u64 = 0;
    const POLL_ENDPOINTS: u64 = 1;
    const FIRST_REQUEST: u64 = 2;

    /// The number that stands for the key on a wire.
    pub fn encode(self) -> u64 {
        match self {
            TimerKey::Tick => Self::TICK,
            TimerKey::PollEndpoints => Self::POLL_ENDPOINTS,
            TimerKey::Request(id) => Self::FIRST_REQUEST + u64::from(id.0),
        }
    }

    /// The key that a number stands for; `None` if it is no key of this module.
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
