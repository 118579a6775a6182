//! Runs the adapter binary with lines of input and checks its replies and errors.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

fn run_adapter(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cranetack-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter cannot be started");
    let mut input = child.stdin.take().expect("standard input is not a pipe");
    for line in lines {
        // Writing fails if the adapter has already stopped at an earlier line.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    child
        .wait_with_output()
        .expect("waiting for the adapter failed")
}

fn replies(lines: &[String]) -> Vec<Value> {
    let output = run_adapter(lines);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).expect("a reply is not UTF-8");
    text.lines()
        .map(|l| serde_json::from_str(l).expect("a reply is not JSON"))
        .collect()
}

fn settings() -> Value {
    json!({
        "az": "east", "balancers": 2, "me": 0, "period_us": 2000, "membership_mode": "push", "newer_key": [1],
        "classes": [{"name": "chat", "goal_time_us": 1500000, "deadline_us": 6000000, "idempotency": "safe",
            "key_scope": "all", "dedup_window_us": 5000000, "points": 1.0, "late_share": 0.1, "stream": true}],
        "kinds": ["r", "w"], "zones": ["east"], "tenants": [],
        "allowed": {"max_attempts": 4, "cancelling": true, "probing": false},
        "domain": {"ahead": true, "pin_limit_us": 500000, "stage_of_kind": ["read", "write"],
            "report_x0": "share of memory that is held"},
        "report": {"how": "piggyback", "columns": ["x0"]},
        "rules": {"answer_slack_us": 8000}
    })
}

fn batch(at: i64, parts: Value) -> String {
    json!({"at_time_us": at, "parts": parts}).to_string()
}

fn inbox_part(id: u64, inbox: Vec<Value>) -> Value {
    json!({"dispatcher_id": id, "inbox": inbox})
}

fn catalog(catalog_number: u64, prefill_endpoint: &str) -> Value {
    json!([
        "catalog",
        catalog_number,
        [
            [prefill_endpoint, null, "r", "U", 0, 1, "east"],
            ["w:1", null, "w", "U", 0, 1, "east"]
        ]
    ])
}

fn start_messages(catalog_number: u64, prefill_endpoint: &str) -> Vec<Value> {
    vec![
        json!(["attach", 7, settings()]),
        catalog(catalog_number, prefill_endpoint),
        json!(["directory_update", "stale_copy", 1, catalog_number]),
    ]
}

fn request_message(id: &str, deadline: i64) -> Value {
    json!(["ask", id, "chat", null, "s1", deadline, null, "tpl/a", 900, 300, 200, false, false])
}

fn routes(reply: &Value, router: u64) -> Vec<(String, String)> {
    let parts = reply["parts"].as_array().expect("a reply has no parts");
    let parts_of_router = parts.iter().filter(|p| p["dispatcher_id"] == router);
    let decisions =
        parts_of_router.flat_map(|p| p["decisions"].as_array().cloned().unwrap_or_default());
    let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    decisions
        .filter(|d| d[0] == "route")
        .map(|d| (text(&d[1]), text(&d[2])))
        .collect()
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_end_of_input_is_a_success() {
    assert_eq!(replies(&[batch(5, json!([]))]), vec![json!({"parts": []})]);
    assert!(replies(&[]).is_empty());
}

#[test]
fn a_request_is_sent_to_prefill_then_to_decode_and_routers_share_no_state() {
    let first = batch(
        1_000_000,
        json!([
            inbox_part(
                0,
                [
                    start_messages(0, "r:1"),
                    vec![request_message("t/a", 7_000_000)]
                ]
                .concat()
            ),
            inbox_part(
                3,
                [
                    start_messages(1, "r:2"),
                    vec![request_message("t/b", 7_000_000)]
                ]
                .concat()
            )
        ]),
    );
    let prefilled = json!(["result", "t/a", 300, "r:1", 0, "half_done", false, 9000, {"x0": 0.25, "other": null}]);
    let second = batch(1_010_000, json!([inbox_part(0, vec![prefilled])]));
    let replies = replies(&[first, second]);
    assert_eq!(routes(&replies[0], 0), vec![("t/a".into(), "r:1".into())]);
    assert_eq!(routes(&replies[0], 3), vec![("t/b".into(), "r:2".into())]);
    assert_eq!(routes(&replies[1], 0), vec![("t/a".into(), "w:1".into())]);
}

#[test]
fn a_router_that_restarts_within_a_batch_has_no_state_from_before() {
    let first = batch(
        1_000_000,
        json!([inbox_part(
            0,
            [
                start_messages(0, "r:1"),
                vec![request_message("t/a", 7_000_000)]
            ]
            .concat()
        )]),
    );
    let inbox = [
        vec![json!(["killed"])],
        start_messages(0, "r:9"),
        vec![request_message("t/c", 8_000_000)],
    ]
    .concat();
    let late_result = json!(["result", "t/a", 0, "r:1", 0, "half_done", false, 9000, null]);
    let second = batch(
        1_010_000,
        json!([inbox_part(0, [inbox, vec![late_result]].concat())]),
    );
    let replies = replies(&[first, second]);
    assert_eq!(routes(&replies[1], 0), vec![("t/c".into(), "r:9".into())]);
}

#[test]
fn a_reused_catalog_number_refers_to_the_latest_catalog_before_the_message() {
    let inbox = [
        start_messages(4, "r:1"),
        vec![
            catalog(4, "r:2"),
            json!(["directory_update", "whole", 2, 4]),
        ],
    ]
    .concat();
    let first = batch(
        1_000_000,
        json!([inbox_part(
            0,
            [inbox, vec![request_message("t/a", 7_000_000)]].concat()
        )]),
    );
    assert_eq!(
        routes(&replies(&[first])[0], 0),
        vec![("t/a".into(), "r:2".into())]
    );
}

#[test]
fn the_same_events_give_the_same_output_bytes() {
    let lines: Vec<String> = (0..40)
        .map(|i| {
            let inbox = if i == 0 {
                start_messages(0, "r:1")
            } else {
                vec![request_message(&format!("t/{i}"), 9_000_000 + i)]
            };
            batch(1_000_000 + i * 5_000, json!([inbox_part(0, inbox)]))
        })
        .collect();
    assert_eq!(run_adapter(&lines).stdout, run_adapter(&lines).stdout);
}

/// Malformed lines, each with a text that its error message contains.
fn malformed_lines() -> Vec<(String, &'static str)> {
    let batch_with = |message: Value| batch(1_010_000, json!([inbox_part(0, vec![message])]));
    vec![
        ("{\"at_time_us\":".to_owned(), "not a batch"),
        ("[]".to_owned(), "not a batch"),
        (batch_with(json!([])), "begin with its name"),
        (batch_with(json!(["surprise", 1])), "unknown message"),
        (
            batch_with(json!([
                "ask",
                "t/a",
                "no-such-class",
                null,
                "s",
                1,
                null,
                null,
                1,
                1,
                1,
                false,
                false
            ])),
            "class",
        ),
        (
            batch_with(json!([
                "ask", "t/a", "chat", null, "s", "soon", null, null, 1, 1, 1, false, false
            ])),
            "whole number",
        ),
        (
            batch_with(json!([
                "result", "t/a", 0, "r:1", 0, "MAYBE", false, 1, null
            ])),
            "outcome",
        ),
        (
            batch_with(json!(["result", "t/a", 0, "r:1", 0, "GOOD", false, 1, 7])),
            "object",
        ),
        (
            batch_with(json!(["directory_update", "whole", 1, 9])),
            "catalog",
        ),
        (
            batch_with(json!([
                "catalog",
                0,
                [["r:1", null, "r", "X", 0, 1, "east"]]
            ])),
            "U, L or D",
        ),
        (batch_with(json!(["peer_data", 1, "abc"])), "hex"),
        (batch_with(json!(["peer_data", 1, "ä!"])), "hex"),
    ]
}

#[test]
fn malformed_input_is_reported_with_its_line_number_and_exit_status_1() {
    let good = batch(1_000_000, json!([inbox_part(0, start_messages(0, "r:1"))]));
    for (line, expected) in malformed_lines() {
        let output = run_adapter(&[good.clone(), line.clone()]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{line}");
        assert!(
            error.contains("line 2") && error.contains(expected),
            "{line}: {error}"
        );
        assert_eq!(
            String::from_utf8_lossy(&output.stdout).lines().count(),
            1,
            "{line}"
        );
    }
}

#[test]
fn an_event_for_a_router_that_was_not_attached_is_an_error() {
    let output = run_adapter(&[batch(
        1,
        json!([inbox_part(0, vec![json!(["reminder", 0])])]),
    )]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("before any"));
}
