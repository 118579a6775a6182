//! Tests the names of the injected violations on the command line.

use clap::ValueEnum;
use cranetack_soak::injected_violation::InjectedViolation;

#[test]
fn injected_violations_have_these_names_on_the_command_line() {
    let names: Vec<String> = InjectedViolation::value_variants()
        .iter()
        .filter_map(ValueEnum::to_possible_value)
        .map(|value| value.get_name().to_owned())
        .collect();
    let expected = [
        "lost",
        "duplicate",
        "second-copy",
        "held",
        "after-client-left",
        "deadline",
        "drain",
        "crash",
    ];
    assert_eq!(names, expected);
}
