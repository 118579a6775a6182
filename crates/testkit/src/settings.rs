//! The router settings that tests use.

use serde_json::{json, Value};

fn class(name: &str, idempotency: &str, points: f64) -> Value {
    json!({
        "name": name,
        "idempotency": idempotency,
        "goal_time_us": 1_000_000,
        "deadline_us": 5_000_000,
        "points": points,
        "stream": true,
    })
}

/// Returns the router settings that tests use, in the form that a configuration file has.
pub fn test_settings() -> Value {
    json!({
        "az": "here",
        "period_us": 4_000,
        "zones": ["here"],
        "kinds": ["reader", "writer", "mixed"],
        "balancers": 1,
        "me": 0,
        "classes": [
            class("chat", "safe", 4.0),
            class("embeddings", "safe", 1.0),
            class("rerank", "safe", 1.0),
            class("order", "unsafe", 4.0),
        ],
        "allowed": {
            "cancelling": true,
            "probing": false,
            "retry_after": true,
            "max_retry_after_us": 1_000_000,
            "max_attempts": 4,
            "connect_timeout_us": 250_000,
            "idle_close_us": 15_000_000,
        },
        "domain": {
            "ahead": true,
            "pin_limit_us": 300_000,
            "stage_of_kind": ["read", "write", "both"],
        },
        "rules": {"answer_slack_us": 16_000},
        "report": {"how": "silent", "columns": []},
    })
}
