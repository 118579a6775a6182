//! Wire lines through the real binary.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cranetack-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("a pipe");
    for line in lines {
        // The adapter may have stopped at an earlier line already.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn replies(lines: &[String]) -> Vec<Value> {
    let output = run(lines);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    text.lines()
        .map(|l| serde_json::from_str(l).expect("JSON"))
        .collect()
}

fn site() -> Value {
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

fn part(id: u64, inbox: Vec<Value>) -> Value {
    json!({"dispatcher_id": id, "inbox": inbox})
}

fn catalog(page: u64, reader: &str) -> Value {
    json!([
        "catalog",
        page,
        [
            [reader, null, "r", "U", 0, 1, "east"],
            ["w:1", null, "w", "U", 0, 1, "east"]
        ]
    ])
}

fn start(page: u64, reader: &str) -> Vec<Value> {
    vec![
        json!(["attach", 7, site()]),
        catalog(page, reader),
        json!(["directory_update", "stale_copy", 1, page]),
    ]
}

fn ask(id: &str, until: i64) -> Value {
    json!(["ask", id, "chat", null, "s1", until, null, "tpl/a", 900, 300, 200, false, false])
}

fn routes(reply: &Value, dispatcher: u64) -> Vec<(String, String)> {
    let parts = reply["parts"].as_array().expect("parts");
    let mine = parts.iter().filter(|p| p["dispatcher_id"] == dispatcher);
    let decisions = mine.flat_map(|p| p["decisions"].as_array().cloned().unwrap_or_default());
    let word = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    decisions
        .filter(|d| d[0] == "route")
        .map(|d| (word(&d[1]), word(&d[2])))
        .collect()
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_ends_well() {
    assert_eq!(replies(&[batch(5, json!([]))]), vec![json!({"parts": []})]);
    assert!(replies(&[]).is_empty());
}

#[test]
fn a_request_is_read_and_then_answered_with_instances_kept_apart() {
    let first = batch(
        1_000_000,
        json!([
            part(0, [start(0, "r:1"), vec![ask("t/a", 7_000_000)]].concat()),
            part(3, [start(1, "r:2"), vec![ask("t/b", 7_000_000)]].concat())
        ]),
    );
    let read = json!(["result", "t/a", 300, "r:1", 0, "half_done", false, 9000, {"x0": 0.25, "other": null}]);
    let second = batch(1_010_000, json!([part(0, vec![read])]));
    let replies = replies(&[first, second]);
    assert_eq!(routes(&replies[0], 0), vec![("t/a".into(), "r:1".into())]);
    assert_eq!(routes(&replies[0], 3), vec![("t/b".into(), "r:2".into())]);
    assert_eq!(routes(&replies[1], 0), vec![("t/a".into(), "w:1".into())]);
}

#[test]
fn a_restart_within_one_batch_forgets_everything() {
    let first = batch(
        1_000_000,
        json!([part(
            0,
            [start(0, "r:1"), vec![ask("t/a", 7_000_000)]].concat()
        )]),
    );
    let inbox = [
        vec![json!(["killed"])],
        start(0, "r:9"),
        vec![ask("t/c", 8_000_000)],
    ]
    .concat();
    let late = json!(["result", "t/a", 0, "r:1", 0, "half_done", false, 9000, null]);
    let second = batch(1_010_000, json!([part(0, [inbox, vec![late]].concat())]));
    let replies = replies(&[first, second]);
    assert_eq!(routes(&replies[1], 0), vec![("t/c".into(), "r:9".into())]);
}

#[test]
fn a_reused_catalog_number_counts_from_where_it_stands() {
    let inbox = [
        start(4, "r:1"),
        vec![
            catalog(4, "r:2"),
            json!(["directory_update", "whole", 2, 4]),
        ],
    ]
    .concat();
    let first = batch(
        1_000_000,
        json!([part(0, [inbox, vec![ask("t/a", 7_000_000)]].concat())]),
    );
    assert_eq!(
        routes(&replies(&[first])[0], 0),
        vec![("t/a".into(), "r:2".into())]
    );
}

#[test]
fn the_same_events_give_the_same_bytes() {
    let lines: Vec<String> = (0..40)
        .map(|i| {
            let inbox = if i == 0 {
                start(0, "r:1")
            } else {
                vec![ask(&format!("t/{i}"), 9_000_000 + i)]
            };
            batch(1_000_000 + i * 5_000, json!([part(0, inbox)]))
        })
        .collect();
    assert_eq!(run(&lines).stdout, run(&lines).stdout);
}

/// Malformed lines, and what the error about each says.
fn malformed_lines() -> Vec<(String, &'static str)> {
    let bad = |message: Value| batch(1_010_000, json!([part(0, vec![message])]));
    vec![
        ("{\"at_time_us\":".to_owned(), "not a batch"),
        ("[]".to_owned(), "not a batch"),
        (bad(json!([])), "begin with its name"),
        (bad(json!(["surprise", 1])), "unknown message"),
        (
            bad(json!([
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
            bad(json!([
                "ask", "t/a", "chat", null, "s", "soon", null, null, 1, 1, 1, false, false
            ])),
            "whole number",
        ),
        (
            bad(json!([
                "result", "t/a", 0, "r:1", 0, "MAYBE", false, 1, null
            ])),
            "outcome",
        ),
        (
            bad(json!(["result", "t/a", 0, "r:1", 0, "GOOD", false, 1, 7])),
            "object",
        ),
        (bad(json!(["directory_update", "whole", 1, 9])), "catalog"),
        (
            bad(json!([
                "catalog",
                0,
                [["r:1", null, "r", "X", 0, 1, "east"]]
            ])),
            "U, L or D",
        ),
        (bad(json!(["peer_data", 1, "abc"])), "hex"),
        (bad(json!(["peer_data", 1, "ä!"])), "hex"),
    ]
}

#[test]
fn malformed_input_is_reported_by_line_and_ends_the_program() {
    let good = batch(1_000_000, json!([part(0, start(0, "r:1"))]));
    for (line, wanted) in malformed_lines() {
        let output = run(&[good.clone(), line.clone()]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{line}");
        assert!(
            error.contains("line 2") && error.contains(wanted),
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
fn events_for_an_instance_that_never_started_are_malformed() {
    let output = run(&[batch(1, json!([part(0, vec![json!(["reminder", 0])])]))]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("before any"));
}
