//! Settings that cannot be meant are refused, naming the key; those that are missing have defaults.

use cranetack_settings::SiteSettings;
use serde_json::{json, Value};

fn settings() -> Value {
    json!({
        "balancers": 3, "me": 0, "az": "a", "zones": ["a"], "kinds": ["r", "w"], "period_us": 4000,
        "classes": [{"name": "c", "idempotency": "keyed", "key_scope": "zone", "deadline_us": 5e6,
            "goal_time_us": 1e6, "dedup_window_us": 5e6, "points": 1.0}],
        "allowed": {"connect_timeout_us": 250_000, "idle_close_us": 15e6, "max_attempts": 4, "max_retry_after_us": 1e6},
        "domain": {"pin_limit_us": 300_000, "stage_of_kind": ["read", "write"], "kv_tokens": [1e5, 1e5],
            "aim_us_per_1000_prompt_tokens": [4e4], "token_aim_us": [6e4]},
        "rules": {"answer_slack_us": 16_000, "ask_within_us": 1e7, "fall_multiple": 4.0, "fall_us": 3e6,
            "start_capacity": 0.26, "warm_up_us": 1.2e7}
    })
}

/// What the settings are refused with, if they are.
fn refused(settings: Value) -> Option<String> {
    let site: SiteSettings = serde_json::from_value(settings).unwrap();
    site.policy_settings().err().map(|error| error.to_string())
}

/// Where a figure stands, its key in errors, and values that it may not have.
struct BadFigures {
    pointer: &'static str,
    key: &'static str,
    values: &'static [f64],
}

const fn bad(pointer: &'static str, key: &'static str, values: &'static [f64]) -> BadFigures {
    BadFigures {
        pointer,
        key,
        values,
    }
}

const BAD_FIGURES: [BadFigures; 17] = [
    bad("/period_us", "period_us", &[0.0, -1.0, 1e30]),
    bad(
        "/classes/0/deadline_us",
        "classes[0].deadline_us",
        &[0.0, -5.0, 1e18],
    ),
    bad(
        "/classes/0/goal_time_us",
        "classes[0].goal_time_us",
        &[-1.0],
    ),
    bad(
        "/classes/0/dedup_window_us",
        "classes[0].dedup_window_us",
        &[-1.0, 1e19],
    ),
    bad("/classes/0/points", "classes[0].points", &[-2.0]),
    bad(
        "/allowed/connect_timeout_us",
        "allowed.connect_timeout_us",
        &[0.0, -250.0],
    ),
    bad("/allowed/idle_close_us", "allowed.idle_close_us", &[-1.0]),
    bad(
        "/allowed/max_retry_after_us",
        "allowed.max_retry_after_us",
        &[-1.0],
    ),
    bad(
        "/domain/pin_limit_us",
        "domain.pin_limit_us",
        &[0.0, -300.0],
    ),
    bad("/domain/token_aim_us/0", "domain.token_aim_us[0]", &[-1.0]),
    bad("/domain/kv_tokens/1", "domain.kv_tokens[1]", &[-1.0]),
    bad("/rules/answer_slack_us", "rules.answer_slack_us", &[-1.0]),
    bad("/rules/ask_within_us", "rules.ask_within_us", &[-1.0]),
    bad("/rules/fall_multiple", "rules.fall_multiple", &[0.0, -4.0]),
    bad("/rules/fall_us", "rules.fall_us", &[-1.0, 1e17]),
    bad(
        "/rules/start_capacity",
        "rules.start_capacity",
        &[-0.1, 1.5],
    ),
    bad("/rules/warm_up_us", "rules.warm_up_us", &[-1.0]),
];

#[test]
fn each_figure_out_of_range_is_refused_naming_its_key() {
    assert_eq!(refused(settings()), None);
    for BadFigures {
        pointer,
        key,
        values,
    } in BAD_FIGURES
    {
        for figure in values {
            let mut settings = settings();
            *settings.pointer_mut(pointer).unwrap() = json!(figure);
            let message = refused(settings).unwrap_or_else(|| panic!("{key}: {figure} is taken"));
            assert!(message.starts_with(&format!("{key}: ")), "{message}");
        }
    }
    let mut settings = settings();
    settings["allowed"]["max_attempts"] = json!(0);
    assert!(refused(settings).is_some_and(|message| message.starts_with("allowed.max_attempts: ")));
}

#[test]
fn keys_that_are_missing_have_defaults() {
    for section in [
        "period_us",
        "balancers",
        "me",
        "az",
        "allowed",
        "domain",
        "rules",
    ] {
        let mut settings = settings();
        settings.as_object_mut().unwrap().remove(section);
        assert_eq!(refused(settings), None, "without {section}");
    }
    assert_eq!(
        refused(json!({"zones": [], "kinds": [], "classes": [{"name": "c"}]})),
        None
    );
}
