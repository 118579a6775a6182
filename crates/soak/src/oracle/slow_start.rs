//! The rule that a server in slow start gets no more attempts than its budget.

use std::collections::HashMap;
use std::time::Duration;

use super::limits::Limits;
use super::violation::{Rule, Violation};

/// Below this many expected attempts chance weighs more, and the budget is wider.
const FEW_ATTEMPTS: f64 = 30.0;

/// The slow start of one server.
#[derive(Debug)]
struct SlowStart {
    started_at: Duration,
    attempts: usize,
}

/// The servers in slow start.
#[derive(Debug, Default)]
pub(super) struct SlowStartWindows(HashMap<usize, SlowStart>);

impl SlowStartWindows {
    pub(super) fn server_started(&mut self, server: usize, at: Duration) {
        let slow_start = SlowStart {
            started_at: at,
            attempts: 0,
        };
        self.0.insert(server, slow_start);
    }

    /// Counts an attempt. A server that exceeds its budget is reported once.
    pub(super) fn count_attempt(
        &mut self,
        limits: &Limits,
        server: usize,
        at: Duration,
    ) -> Option<Violation> {
        let slow_start = self.0.get_mut(&server)?;
        if at > slow_start.started_at + limits.slow_start_window {
            self.0.remove(&server);
            return None;
        }
        slow_start.attempts += 1;
        let attempts = slow_start.attempts;
        let budget = budget(limits.slow_start_calls);
        if attempts as f64 <= budget {
            return None;
        }
        self.0.remove(&server);
        Some(Violation {
            rule: Rule::SlowStart,
            at,
            detail: format!(
                "server {server} got {attempts} attempts in slow start, its budget is {budget:.0}"
            ),
        })
    }
}

/// The expected attempts, and so many standard deviations of their number more.
fn budget(expected: f64) -> f64 {
    if expected < FEW_ATTEMPTS {
        expected + 3.0 * expected.sqrt() + 3.0
    } else {
        expected + 2.0 * expected.sqrt() + 2.0
    }
}
