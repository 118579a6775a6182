//! The decision module stays small enough to be read.

#[test]
fn policy_keeps_to_1010_lines_of_110_columns() {
    let text = include_str!("../src/policy.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1010, "{lines} non-blank lines");
    let widest = text.lines().map(|l| l.chars().count()).max().unwrap_or(0);
    assert!(widest <= 110, "a line of {widest} columns");
}
