//! Tests of the shipped suite and of the decoder.

use super::*;

#[test]
fn the_shipped_suite_is_valid_and_complete() {
    let all = cases(CASES).unwrap();
    assert!(all.len() >= 150, "{}", all.len());
    // Every case expects something that not any answer has.
    assert!(all.iter().all(|case| !case.expect.status.is_empty()));
}

#[test]
fn an_invalid_file_is_refused_with_the_location_of_the_error() {
    let valid = "[[case]]\nname='a'\npath='/'\nexpect={status=[200]}\n";
    for (text, message) in [
        ("x".to_owned(), "cases: "),
        (valid.replace("path", "paths"), "cases: case[0]"),
        (format!("{valid}{valid}"), "cases: \"a\" stands twice"),
    ] {
        let error = cases(&text).unwrap_err().to_string();
        assert!(error.starts_with(message), "{error}");
    }
}
