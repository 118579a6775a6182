//! The flight recorder: what happened to each open request, always on and bounded.
//!
//! It costs some bytes for each request and is logged only when a rule is at stake: a fault that
//! shows once in many runs can then be read from that run.

use std::fmt;
use std::rc::Rc;

use cranetack_routing_policy::{EndpointId, Micros, Outcome};

use super::messages::{SlotReservation, WireTrace};

/// The steps that are kept of one request: five attempts with a slot reservation and a release each
/// are under half of it. Those beyond it are counted.
const STEP_LIMIT: usize = 48;
const MICROS_IN_MILLISECOND: f64 = 1_000.0;

/// One thing that happened to a request.
#[derive(Debug, Clone)]
pub enum Step {
    /// It arrived.
    Arrived {
        /// The time until its client stops waiting (us).
        time_to_first_byte: Micros,
    },
    /// An attempt was made.
    Sent {
        /// Its number.
        attempt: u32,
        /// The endpoint's name.
        endpoint: Rc<str>,
        /// The endpoint only processes the prompt: the attempt has no effect.
        prefill_only: bool,
    },
    /// An attempt was to be made and was not.
    NotSent {
        /// Its number.
        attempt: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// Why.
        reason: NotSentReason,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Its number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// What was seen on its connection.
        wire: WireTrace,
    },
    /// The response to an attempt has begun to stream.
    StreamStarted {
        /// The attempt's number.
        attempt: u32,
    },
    /// A slot was asked for at a decode endpoint.
    SlotReservationSent {
        /// The endpoint's name.
        endpoint: Rc<str>,
    },
    /// The decode endpoint has responded to that.
    SlotReservationAnswered {
        /// The outcome.
        reservation: SlotReservation,
    },
    /// What is held for it is released.
    StateReleased,
    /// An attempt was cancelled.
    Cancelled {
        /// Its number.
        attempt: u32,
    },
    /// Its client has disconnected.
    ClientDisconnected,
    /// It got its final response.
    Responded {
        /// Which.
        response: &'static str,
    },
}

/// Why an attempt that the policy wanted was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotSentReason {
    /// The request has its final response.
    RequestOver,
    /// Another attempt is in flight.
    AttemptInFlight,
    /// There were as many as the settings allow.
    TooManyAttempts,
    /// Its client waits no more.
    PastDeadline,
    /// The endpoint is not in the list.
    UnknownEndpoint,
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

    /// Whether an attempt that could have an effect has been made.
    pub fn has_tried(&self) -> bool {
        self.effective_attempts().next().is_some()
    }

    /// Whether an attempt that could have an effect has been made, besides the one of this number.
    pub fn has_tried_before(&self, number: u32) -> bool {
        self.effective_attempts().any(|attempt| attempt != number)
    }

    fn effective_attempts(&self) -> impl Iterator<Item = u32> + '_ {
        self.steps.iter().filter_map(|(_, step)| match step {
            Step::Sent {
                attempt,
                prefill_only: false,
                ..
            } => Some(*attempt),
            _ => None,
        })
    }
}

impl fmt::Display for Trace {
    /// One line: each step with the milliseconds since the first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let began = self.steps.first().map_or(0, |(at, _)| *at);
        for (at, step) in &self.steps {
            let elapsed_ms = (at - began) as f64 / MICROS_IN_MILLISECOND;
            write!(f, "[{elapsed_ms:.1} {step:?}] ")?;
        }
        write!(f, "({} more)", self.dropped)
    }
}

#[cfg(test)]
mod tests;
