//! The settings of the routers under test, and the limits that the oracle derives from them.

use std::time::Duration;

use serde_json::{json, Value};

use crate::options::ClassDeadlines;
use crate::oracle::{Idempotency, Limits, Role};

/// Duration within which KV state and decode slots must be used or released.
const KV_LEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// Duration after the notification of a drain in which new attempts may still start.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Duration of the slow start of a prefill endpoint, which is `fall_us` in the settings.
const SLOW_START_WINDOW: Duration = Duration::from_millis(3_000);
/// Expected number of attempts at a prefill endpoint within its slow start of 3,000 ms: 4 times
/// (`fall_multiple`) the 26 % (`start_capacity`) of its 4 slots that are available then, with 80 ms
/// per attempt.
const SLOW_START_ATTEMPTS: f64 = 156.0;

/// Limits that the oracle checks.
pub const LIMITS: Limits = Limits {
    drain_grace: DRAIN_GRACE,
    kv_lease_timeout: KV_LEASE_TIMEOUT,
    slow_start_attempts: SLOW_START_ATTEMPTS,
    slow_start_window: SLOW_START_WINDOW,
};

/// Returns the name of the request class with this idempotency.
pub fn class_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "chat",
        Idempotency::NonIdempotent => "order",
    }
}

/// Returns the maximum deadline of the request class with this idempotency.
pub fn class_deadline(deadlines: ClassDeadlines, idempotency: Idempotency) -> Duration {
    match idempotency {
        Idempotency::Idempotent => deadlines.idempotent,
        Idempotency::NonIdempotent => deadlines.non_idempotent,
    }
}

/// Returns the name of the endpoint kind with this role in the settings and in the endpoint list.
pub fn endpoint_kind(role: Role) -> &'static str {
    match role {
        Role::Prefill => "reader",
        Role::Decode => "writer",
    }
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

fn class(deadlines: ClassDeadlines, idempotency: Idempotency) -> Value {
    let idempotency_name = match idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::NonIdempotent => "unsafe",
    };
    json!({
        "name": class_name(idempotency),
        "idempotency": idempotency_name,
        "goal_time_us": 1_000_000,
        "deadline_us": micros(class_deadline(deadlines, idempotency)),
        "points": 1.0,
        "stream": true,
    })
}

/// Returns the settings of one router, in the format of its configuration file.
pub fn router_settings(
    router_index: usize,
    router_count: usize,
    deadlines: ClassDeadlines,
) -> Value {
    json!({
        "az": "here",
        "period_us": 4_000,
        "zones": ["here"],
        "kinds": [endpoint_kind(Role::Prefill), endpoint_kind(Role::Decode)],
        "balancers": router_count,
        "me": router_index,
        "classes": [
            class(deadlines, Idempotency::Idempotent),
            class(deadlines, Idempotency::NonIdempotent),
        ],
        "allowed": {
            "cancelling": true,
            "probing": true,
            "retry_after": true,
            "max_retry_after_us": 1_000_000,
            "max_attempts": 5,
            "connect_timeout_us": 250_000,
            "idle_close_us": 15_000_000,
            "peers": true,
        },
        "domain": {
            "ahead": true,
            "pin_limit_us": micros(KV_LEASE_TIMEOUT),
            "stage_of_kind": ["read", "write"],
            "resume": true,
            "report_x0": "share of memory that is held",
            "report_x1": "thousands of prompt tokens waiting to be read or fetched",
        },
        "rules": {
            "answer_slack_us": 16_000,
            "drain_grace_us": micros(DRAIN_GRACE),
            "fall_multiple": 4.0,
            "fall_us": micros(SLOW_START_WINDOW),
            "start_capacity": 0.26,
            "warm_up_us": 12_000_000,
        },
        "report": {"how": "pull", "columns": ["latency_ms", "x0", "x1"]},
    })
}
