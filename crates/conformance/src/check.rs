//! Whether an answer is as expected. No I/O.

use serde_json::Value;

use crate::answer::Answer;
use crate::case::Expect;

/// The most characters of a body that a problem shows.
const SHOWN_LENGTH: usize = 200;

/// All that is not as expected.
pub fn check(expect: &Expect, answer: &Answer) -> Vec<String> {
    let body = String::from_utf8_lossy(&answer.body);
    let shown: String = body.chars().take(SHOWN_LENGTH).collect();
    let mut problems = Vec::new();
    if !expect.status.contains(&answer.status) {
        let status = answer.status;
        problems.push(format!("status {status}, not {:?}: {shown}", expect.status));
    }
    check_headers(expect, answer, &mut problems);
    check_json(expect, &body, &shown, &mut problems);
    check_texts(expect, &body, &shown, &mut problems);
    if expect.truncated != answer.truncated {
        let end = if answer.truncated {
            "broke off"
        } else {
            "ended as if whole"
        };
        problems.push(format!("the answer {end}"));
    }
    problems
}

fn check_headers(expect: &Expect, answer: &Answer, problems: &mut Vec<String>) {
    for (name, expected) in &expect.headers {
        let Some(value) = answer.headers.get(name) else {
            problems.push(format!("no header {name}"));
            continue;
        };
        let value = String::from_utf8_lossy(value.as_bytes());
        if expected != "*" && value != expected.as_str() {
            problems.push(format!("header {name} is {value:?}, not {expected:?}"));
        }
    }
}

fn check_json(expect: &Expect, body: &str, shown: &str, problems: &mut Vec<String>) {
    if expect.json.is_empty() {
        return;
    }
    let json: Value = match serde_json::from_str(body) {
        Ok(json) => json,
        Err(error) => {
            problems.push(format!("not JSON ({error}): {shown}"));
            return;
        }
    };
    for (pointer, expected) in &expect.json {
        let found = look_up(&json, pointer);
        if !is_expected(found.as_ref(), expected) {
            let found = found.map_or("nothing".to_owned(), |value| value.to_string());
            problems.push(format!("{pointer} is {found}, not {expected}"));
        }
    }
}

fn check_texts(expect: &Expect, body: &str, shown: &str, problems: &mut Vec<String>) {
    for text in &expect.contains {
        if !body.contains(text.as_str()) {
            problems.push(format!("{text:?} is not in it: {shown}"));
        }
    }
    for text in &expect.excludes {
        if body.contains(text.as_str()) {
            problems.push(format!("{text:?} is in it"));
        }
    }
}

/// The value at a JSON pointer or, where the pointer ends in `/#`, the length of the list there.
fn look_up(json: &Value, pointer: &str) -> Option<Value> {
    match pointer.strip_suffix("/#") {
        Some(list) => {
            let list = json.pointer(list)?.as_array()?;
            Some(Value::from(list.len()))
        }
        None => json.pointer(pointer).cloned(),
    }
}

fn is_expected(found: Option<&Value>, expected: &Value) -> bool {
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

/// Whether two values are equal. Numbers are equal whichever way they are written.
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
