//! Tests of the shipped cases and of the decoder.

use super::*;

#[test]
fn the_shipped_cases_are_valid_and_complete() {
    let all = parse_cases(CASES).unwrap();
    assert!(all.len() >= 150, "{}", all.len());
    // Without an expected status, a case would accept any response.
    assert!(all.iter().all(|case| !case.expect.status.is_empty()));
}

#[test]
fn an_invalid_file_is_rejected_with_the_location_of_the_error() {
    let valid = "[[case]]\nname='a'\npath='/'\nexpect={status=[200]}\n";
    for (text, message) in [
        ("x".to_owned(), "cases: "),
        (valid.replace("path", "paths"), "cases: case[0]"),
        (
            format!("{valid}{valid}"),
            "cases: the name \"a\" is used twice",
        ),
    ] {
        let error = parse_cases(&text).unwrap_err().to_string();
        assert!(error.starts_with(message), "{error}");
    }
}
