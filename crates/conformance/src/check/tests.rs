//! Tests of comparing a response with the expected one.

use http::HeaderMap;
use serde_json::{json, Value};

use super::*;

/// Checks a response with status 503 and the header `Retry-After: 1`, and returns the problems.
fn problems(expect: Value, body: &str, truncated: bool) -> Vec<String> {
    let expect: Expect = serde_json::from_value(expect).unwrap();
    let mut headers = HeaderMap::new();
    headers.insert("retry-after", "1".parse().unwrap());
    let response = Response {
        status: 503,
        headers,
        body: body.into(),
        truncated,
    };
    check(&expect, &response)
}

#[test]
fn an_expected_response_has_no_problems_and_each_difference_is_one_problem() {
    let body = r#"{"a": [1, {"b": "x"}], "n": null}"#;
    let expected = json!({
        "status": [503],
        "headers": {"Retry-After": "*"},
        "holds": ["\"b\""],
        "lacks": ["c"],
        "json": {"/a/#": 2, "/a/0": 1.0, "/a/1/b": "<text>", "/n": "<null>", "/z": "<absent>",
            "/a": "<list>"},
    });
    assert_eq!(problems(expected, body, false), Vec::<String>::new());
    let headers = json!({"x": "*", "Retry-After": "2"});
    let pointers = json!({"/a/#": 1, "/a/0": "1", "/n": "<absent>", "/q": 1});
    for (expect, count) in [
        (json!({"status": [200]}), 1),
        (json!({"status": [503], "headers": headers}), 2),
        (json!({"status": [503], "json": pointers}), 4),
        (json!({"status": [503], "holds": ["zz"], "lacks": ["a"]}), 2),
        (json!({"status": [503], "broken": true}), 1),
    ] {
        let found = problems(expect.clone(), body, false);
        assert_eq!(found.len(), count, "{expect}");
    }
    let not_json = problems(json!({"status": [503], "json": {"/a": 1}}), "<html>", true);
    assert_eq!(not_json.len(), 2);
}
