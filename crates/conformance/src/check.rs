//! Comparison of a response with the expected one, without I/O.

use serde_json::Value;

use crate::case::Expect;
use crate::response::Response;

/// Maximum number of characters of the body that a problem description shows.
const MAX_EXCERPT_LENGTH: usize = 200;

/// Returns a description of each difference between `response` and what is expected.
pub fn check(expect: &Expect, response: &Response) -> Vec<String> {
    let body = String::from_utf8_lossy(&response.body);
    let excerpt: String = body.chars().take(MAX_EXCERPT_LENGTH).collect();
    let mut problems = Vec::new();
    if !expect.status.contains(&response.status) {
        let status = response.status;
        problems.push(format!(
            "status is {status}, expected one of {:?}: {excerpt}",
            expect.status
        ));
    }
    check_headers(expect, response, &mut problems);
    check_json(expect, &body, &excerpt, &mut problems);
    check_texts(expect, &body, &excerpt, &mut problems);
    if expect.truncated != response.truncated {
        let state = if response.truncated {
            "is truncated, expected a complete one"
        } else {
            "is complete, expected a truncated one"
        };
        problems.push(format!("the response {state}"));
    }
    problems
}

fn check_headers(expect: &Expect, response: &Response, problems: &mut Vec<String>) {
    for (name, expected) in &expect.headers {
        let Some(value) = response.headers.get(name) else {
            problems.push(format!("the header {name} is missing"));
            continue;
        };
        let value = String::from_utf8_lossy(value.as_bytes());
        if expected != "*" && value != expected.as_str() {
            problems.push(format!(
                "the header {name} is {value:?}, expected {expected:?}"
            ));
        }
    }
}

fn check_json(expect: &Expect, body: &str, excerpt: &str, problems: &mut Vec<String>) {
    if expect.json.is_empty() {
        return;
    }
    let json: Value = match serde_json::from_str(body) {
        Ok(json) => json,
        Err(error) => {
            problems.push(format!("the body is not JSON ({error}): {excerpt}"));
            return;
        }
    };
    for (pointer, expected) in &expect.json {
        let found = look_up(&json, pointer);
        if !matches_expected(found.as_ref(), expected) {
            let found = found.map_or("absent".to_owned(), |value| value.to_string());
            problems.push(format!("{pointer} is {found}, expected {expected}"));
        }
    }
}

fn check_texts(expect: &Expect, body: &str, excerpt: &str, problems: &mut Vec<String>) {
    for text in &expect.contains {
        if !body.contains(text.as_str()) {
            problems.push(format!("the body does not contain {text:?}: {excerpt}"));
        }
    }
    for text in &expect.excludes {
        if body.contains(text.as_str()) {
            problems.push(format!("the body contains {text:?}"));
        }
    }
}

/// Returns the value at a JSON pointer or, if the pointer ends in `/#`, the length of the list
/// there.
fn look_up(json: &Value, pointer: &str) -> Option<Value> {
    match pointer.strip_suffix("/#") {
        Some(list) => {
            let list = json.pointer(list)?.as_array()?;
            Some(Value::from(list.len()))
        }
        None => json.pointer(pointer).cloned(),
    }
}

fn matches_expected(found: Option<&Value>, expected: &Value) -> bool {
    if expected == "<absent>" {
        return found.is_none();
    }
    let Some(found) = found else {
        return false;
    };
    match expected.as_str() {
        Some("<text>") => found.is_string(),
        Some("<number>") => found.is_number(),
        Some("<list>") => found.is_array(),
        Some("<object>") => found.is_object(),
        Some("<null>") => found.is_null(),
        _ => are_equal(found, expected),
    }
}

/// Returns whether two values are equal. Numbers are compared by value, so 1 equals 1.0.
fn are_equal(found: &Value, expected: &Value) -> bool {
    if let (Some(found), Some(expected)) = (found.as_f64(), expected.as_f64()) {
        return found == expected;
    }
    if let (Value::Array(found), Value::Array(expected)) = (found, expected) {
        return found.len() == expected.len()
            && found
                .iter()
                .zip(expected)
                .all(|(found, expected)| are_equal(found, expected));
    }
    found == expected
}

#[cfg(test)]
mod tests;
