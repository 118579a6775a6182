//! The rule that KV state and decode slots are used or released in time.

use std::time::Duration;

use super::limits::{Limits, OBSERVATION_SLACK};
use super::request::RequestRecord;
use super::violation::{Rule, Violation};

/// Time after the KV lease timeout in which a lease may still be used or released.
const LEASE_TOLERANCE: Duration = Duration::from_millis(300);

/// Returns a violation if the request has had leases without an attempt in flight for longer than
/// the KV lease timeout plus [`LEASE_TOLERANCE`] and [`OBSERVATION_SLACK`]. Each request is
/// reported at most once.
pub(super) fn check(
    id: &str,
    request: &mut RequestRecord,
    limits: &Limits,
    now: Duration,
) -> Option<Violation> {
    let timeout = limits.kv_lease_timeout + LEASE_TOLERANCE + OBSERVATION_SLACK;
    let idle_for = now.saturating_sub(request.idle_lease_since?);
    if idle_for <= timeout || request.exempt || request.leak_reported {
        return None;
    }
    request.leak_reported = true;
    Some(Violation {
        rule: Rule::LeakedLease,
        at: now,
        detail: format!(
            "request {id} has had leases {:?} for over {} ms with no attempt in flight",
            request.leases,
            timeout.as_millis()
        ),
    })
}
