//! Values out of range give an error that names the key; missing keys have defaults.

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

/// The error of `policy_settings`; `None` if the settings are valid.
fn settings_error(settings: Value) -> Option<String> {
    let site: SiteSettings = serde_json::from_value(settings).unwrap();
    site.policy_settings().err().map(|error| error.to_string())
}

/// The JSON pointer of a number, its key in error messages, and values out of its range.
struct OutOfRangeCase {
    pointer: &'static str,
    key: &'static str,
    values: &'static [f64],
}

const fn out_of_range(
    pointer: &'static str,
    key: &'static str,
    values: &'static [f64],
) -> OutOfRangeCase {
    OutOfRangeCase {
        pointer,
        key,
        values,
    }
}

const OUT_OF_RANGE_CASES: [OutOfRangeCase; 17] = [
    out_of_range("/period_us", "period_us", &[0.0, -1.0, 1e30]),
    out_of_range(
        "/classes/0/deadline_us",
        "classes[0].deadline_us",
        &[0.0, -5.0, 1e18],
    ),
    out_of_range(
        "/classes/0/goal_time_us",
        "classes[0].goal_time_us",
        &[-1.0],
    ),
    out_of_range(
        "/classes/0/dedup_window_us",
        "classes[0].dedup_window_us",
        &[-1.0, 1e19],
    ),
    out_of_range("/classes/0/points", "classes[0].points", &[-2.0]),
    out_of_range(
        "/allowed/connect_timeout_us",
        "allowed.connect_timeout_us",
        &[0.0, -250.0],
    ),
    out_of_range("/allowed/idle_close_us", "allowed.idle_close_us", &[-1.0]),
    out_of_range(
        "/allowed/max_retry_after_us",
        "allowed.max_retry_after_us",
        &[-1.0],
    ),
    out_of_range(
        "/domain/pin_limit_us",
        "domain.pin_limit_us",
        &[0.0, -300.0],
    ),
    out_of_range("/domain/token_aim_us/0", "domain.token_aim_us[0]", &[-1.0]),
    out_of_range("/domain/kv_tokens/1", "domain.kv_tokens[1]", &[-1.0]),
    out_of_range("/rules/answer_slack_us", "rules.answer_slack_us", &[-1.0]),
    out_of_range("/rules/ask_within_us", "rules.ask_within_us", &[-1.0]),
    out_of_range("/rules/fall_multiple", "rules.fall_multiple", &[0.0, -4.0]),
    out_of_range("/rules/fall_us", "rules.fall_us", &[-1.0, 1e17]),
    out_of_range(
        "/rules/start_capacity",
        "rules.start_capacity",
        &[-0.1, 1.5],
    ),
    out_of_range("/rules/warm_up_us", "rules.warm_up_us", &[-1.0]),
];

#[test]
fn each_value_out_of_range_gives_an_error_that_names_its_key() {
    assert_eq!(settings_error(settings()), None);
    for OutOfRangeCase {
        pointer,
        key,
        values,
    } in OUT_OF_RANGE_CASES
    {
        for value in values {
            let mut settings = settings();
            *settings.pointer_mut(pointer).unwrap() = json!(value);
            let message =
                settings_error(settings).unwrap_or_else(|| panic!("{key}: {value} was accepted"));
            assert!(message.starts_with(&format!("{key}: ")), "{message}");
        }
    }
    let mut settings = settings();
    settings["allowed"]["max_attempts"] = json!(0);
    assert!(settings_error(settings)
        .is_some_and(|message| message.starts_with("allowed.max_attempts: ")));
}

#[test]
fn missing_keys_have_defaults() {
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
        assert_eq!(settings_error(settings), None, "without {section}");
    }
    assert_eq!(
        settings_error(json!({"zones": [], "kinds": [], "classes": [{"name": "c"}]})),
        None
    );
}
