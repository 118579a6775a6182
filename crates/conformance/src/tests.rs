//! Tests of `lib`.

use super::*;

#[test]
fn the_suite_can_be_read_and_is_whole() {
    let all = cases(CASES).unwrap();
    assert!(all.len() >= 150, "{}", all.len());
    // Every case says something that not any answer fits.
    assert!(all.iter().all(|c| !c.expect.status.is_empty()));
}

#[test]
fn a_file_that_is_wrong_names_the_place() {
    let good = "[[case]]\nname='a'\npath='/'\nexpect={status=[200]}\n";
    for (text, message) in [
        ("x".to_owned(), "cases: "),
        (good.replace("path", "paths"), "cases: case[0]"),
        (format!("{good}{good}"), "cases: \"a\" stands twice"),
    ] {
        let error = cases(&text).unwrap_err().to_string();
        assert!(error.starts_with(message), "{error}");
    }
}
