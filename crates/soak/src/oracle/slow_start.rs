//! The rule that an endpoint in slow start gets no more attempts than its budget.

use std::collections::HashMap;
use std::time::Duration;

use super::limits::Limits;
use super::violation::{Rule, Violation};

/// Number of expected attempts below which the budget is wider, as random variation is larger
/// relative to a small number.
const FEW_ATTEMPTS: f64 = 30.0;

/// The slow start of one endpoint.
#[derive(Debug)]
struct SlowStart {
    started_at: Duration,
    attempts: usize,
}

/// The endpoints in slow start, by index.
#[derive(Debug, Default)]
pub(super) struct SlowStartWindows(HashMap<usize, SlowStart>);

impl SlowStartWindows {
    pub(super) fn endpoint_started(&mut self, endpoint: usize, at: Duration) {
        let slow_start = SlowStart {
            started_at: at,
            attempts: 0,
        };
        self.0.insert(endpoint, slow_start);
    }

    /// Counts an attempt and returns a violation if it exceeds the budget. Each slow start is
    /// reported at most once.
    pub(super) fn count_attempt(
        &mut self,
        limits: &Limits,
        endpoint: usize,
        at: Duration,
    ) -> Option<Violation> {
        let slow_start = self.0.get_mut(&endpoint)?;
        if at > slow_start.started_at + limits.slow_start_window {
            self.0.remove(&endpoint);
            return None;
        }
        slow_start.attempts += 1;
        let attempts = slow_start.attempts;
        let budget = budget(limits.slow_start_attempts);
        if attempts as f64 <= budget {
            return None;
        }
        self.0.remove(&endpoint);
        Some(Violation {
            rule: Rule::SlowStart,
            at,
            detail: format!(
                "endpoint {endpoint} got {attempts} attempts in slow start, with a budget of {budget:.0}"
            ),
        })
    }
}

/// Returns the maximum number of attempts: the expected number, plus a multiple of the standard
/// deviation of a random count with this expectation, plus a constant.
fn budget(expected: f64) -> f64 {
    if expected < FEW_ATTEMPTS {
        expected + 3.0 * expected.sqrt() + 3.0
    } else {
        expected + 2.0 * expected.sqrt() + 2.0
    }
}
