//! The flight recorder: what happened to each open request, always on and bounded. It costs some bytes a request and is
//! written to the log only when a rule is at stake: a fault that shows once in many runs can then be read from that run.

use std::fmt;
use std::rc::Rc;

use cranetack_routing_policy::{EndpointId, Micros, Outcome};

use super::messages::{SlotReservation, WireTrace};

/// Steps that are kept of one request: five attempts with a place and a release each are under half of it. What is
/// beyond that is counted.
const STEP_LIMIT: usize = 48;

/// One thing that happened to a request.
#[derive(Debug, Clone)]
pub enum Step {
    /// It was taken, with this long to go.
    Taken {
        /// Time until its client stops waiting (us).
        time_to_first_byte: Micros,
    },
    /// An attempt was begun.
    Sent {
        /// Its number.
        number: u32,
        /// The server's name.
        to: Rc<str>,
        /// The server only reads prompts: the attempt has no effect.
        reads: bool,
    },
    /// An attempt was to be made and was not.
    NotSent {
        /// Its number.
        number: u32,
        /// The server.
        to: EndpointId,
        /// Why.
        reason: NotSent,
    },
    /// An attempt has ended.
    Ended {
        /// Its number.
        number: u32,
        /// How.
        outcome: Outcome,
        /// What was seen on its connection.
        wire: WireTrace,
    },
    /// The first part of an answer has come.
    Established {
        /// The attempt's number.
        number: u32,
    },
    /// A place was asked for at a writer.
    PlaceAsked {
        /// The writer's name.
        at: Rc<str>,
    },
    /// A writer has answered that.
    PlaceAnswered {
        /// What it said.
        place: SlotReservation,
    },
    /// What is held for it is let go.
    Released,
    /// An attempt is called off.
    Cancelled {
        /// Its number.
        number: u32,
    },
    /// Its client has gone.
    ClientGone,
    /// It got its final answer.
    Answered {
        /// Which.
        answer: &'static str,
    },
}

/// Why an attempt that the module is_live was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotSent {
    /// The request has its final answer.
    Over,
    /// Another attempt is out.
    OneIsOut,
    /// There were as many as the settings allow.
    TooMany,
    /// Its client does not wait any more.
    Late,
    /// The server is not in the list.
    UnknownServer,
}

/// What happened to one request, in order.
#[derive(Debug, Default)]
pub struct Trace {
    steps: Vec<(Micros, Step)>,
    dropped: usize,
}

impl Trace {
    /// Notes a step.
    pub fn note(&mut self, at: Micros, step: Step) {
        if self.steps.len() < STEP_LIMIT {
            self.steps.push((at, step));
        } else {
            self.dropped += 1;
        }
    }

    /// Whether an attempt that could have an effect has been made, besides the one of this number.
    pub fn tried_before(&self, number: u32) -> bool {
        let tried = |step: &Step| matches!(step, Step::Sent { number: n, reads: false, .. } if *n != number);
        self.steps.iter().any(|(_, step)| tried(step))
    }
}

impl fmt::Display for Trace {
    /// One line: each step with the milliseconds since the first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let began = self.steps.first().map_or(0, |(at, _)| *at);
        for (at, step) in &self.steps {
            write!(f, "[{:.1} {step:?}] ", (at - began) as f64 / 1_000.0)?;
        }
        write!(f, "({} more)", self.dropped)
    }
}

#[cfg(test)]
mod tests;
