//! The flight recorder: a bounded trace of what happened to each open request.
//!
//! It is always on, so that a fault that occurs once in many runs can be diagnosed from the log of
//! that run. It takes a small amount of memory per request, and a trace is logged only when a rule
//! is violated, or when a request that is not idempotent is retried or rejected after an attempt.

use std::fmt;
use std::rc::Rc;

use cranetack_routing_policy::{EndpointId, Micros, Outcome};

use super::messages::{SlotReservation, WireTrace};

/// The maximum number of steps that are kept for one request; further steps are only counted. Five
/// attempts with a slot reservation and a release each take 27 steps, with the request's arrival
/// and end.
const STEP_LIMIT: usize = 48;
const MICROS_PER_MILLISECOND: f64 = 1_000.0;

/// A step in the processing of a request.
#[derive(Debug, Clone)]
pub enum Step {
    /// The request arrived.
    Arrived {
        /// How long the client waits for the first byte of the response, in microseconds.
        time_to_first_byte: Micros,
    },
    /// An attempt was sent.
    Sent {
        /// The attempt's number.
        attempt: u32,
        /// The endpoint's name.
        endpoint: Rc<str>,
        /// Whether the endpoint only processes the prompt, so that the attempt has no effect.
        prefill_only: bool,
    },
    /// The policy decided to send an attempt, but the core did not send it.
    NotSent {
        /// The attempt's number.
        attempt: u32,
        /// The endpoint to which the attempt was to be sent.
        endpoint: EndpointId,
        /// Why the attempt was not sent.
        reason: NotSentReason,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt's number.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// What was observed on the attempt's connection.
        wire: WireTrace,
    },
    /// The response to an attempt has begun to stream.
    StreamStarted {
        /// The attempt's number.
        attempt: u32,
    },
    /// A slot reservation was sent to a decode endpoint.
    SlotReservationSent {
        /// The endpoint's name.
        endpoint: Rc<str>,
    },
    /// A slot reservation ended.
    SlotReservationAnswered {
        /// The outcome of the reservation.
        reservation: SlotReservation,
    },
    /// The state held for the request was released.
    StateReleased,
    /// An attempt was cancelled.
    Cancelled {
        /// The attempt's number.
        attempt: u32,
    },
    /// The client disconnected.
    ClientDisconnected,
    /// The request ended.
    Responded {
        /// The name of the final response, or "none".
        response: &'static str,
    },
}

/// Why an attempt that the policy decided on was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotSentReason {
    /// The request has ended.
    RequestOver,
    /// Another attempt is in flight.
    AttemptInFlight,
    /// The request has had the maximum number of attempts that the settings allow.
    TooManyAttempts,
    /// The deadline of the request has passed.
    PastDeadline,
    /// The endpoint is not in the endpoint list.
    UnknownEndpoint,
}

/// The steps of one request, in order.
#[derive(Debug, Default)]
pub struct Trace {
    steps: Vec<(Micros, Step)>,
    dropped_steps: usize,
}

impl Trace {
    /// Adds a step, or only counts it if the trace is full.
    pub fn record(&mut self, at: Micros, step: Step) {
        if self.steps.len() < STEP_LIMIT {
            self.steps.push((at, step));
        } else {
            self.dropped_steps += 1;
        }
    }

    /// Whether an attempt that could have an effect has been sent.
    pub fn has_effective_attempt(&self) -> bool {
        self.effective_attempts().next().is_some()
    }

    /// Whether an attempt that could have an effect has been sent, other than the one with this
    /// number.
    pub fn has_other_effective_attempt(&self, number: u32) -> bool {
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
    /// Writes one line: each step with the time since the first one in milliseconds, then the
    /// number of steps that were not kept.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first_at = self.steps.first().map_or(0, |(at, _)| *at);
        for (at, step) in &self.steps {
            let elapsed_ms = (at - first_at) as f64 / MICROS_PER_MILLISECOND;
            write!(f, "[{elapsed_ms:.1} {step:?}] ")?;
        }
        write!(f, "({} more)", self.dropped_steps)
    }
}

#[cfg(test)]
mod tests;
