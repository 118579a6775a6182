//! The rule that KV state and decode slots are used or released in time.

use std::time::Duration;

use super::limits::{Limits, OBSERVATION_SLACK};
use super::request::RequestRecord;
use super::violation::{Rule, Violation};

/// Leases may last this much longer than the settings say.
const LEASE_TOLERANCE: Duration = Duration::from_millis(300);

/// No lease may outlast its timeout without an attempt in flight. Reports each request once.
pub(super) fn check(
    id: &str,
    request: &mut RequestRecord,
    limits: &Limits,
    now: Duration,
) -> Option<Violation> {
    let longest = limits.kv_lease_timeout + LEASE_TOLERANCE + OBSERVATION_SLACK;
    let idle_for = now.saturating_sub(request.idle_lease_since?);
    if idle_for <= longest || request.abandoned || request.leak_reported {
        return None;
    }
    request.leak_reported = true;
    Some(Violation {
        rule: Rule::LeakedLease,
        at: now,
        detail: format!(
            "{id} has leases {:?} for over {} ms with no attempt in flight",
            request.leases,
            longest.as_millis()
        ),
    })
}
