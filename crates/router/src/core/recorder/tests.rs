//! Tests of `recorder`.

use super::*;

#[test]
fn a_trace_is_bounded_and_counts_the_steps_that_are_not_kept() {
    let mut trace = Trace::default();
    for at in 0..STEP_LIMIT as i64 + 3 {
        trace.record(at * 1_500, Step::StateReleased);
    }
    let text = trace.to_string();
    assert_eq!(text.matches("StateReleased").count(), STEP_LIMIT);
    assert!(
        text.starts_with("[0.0 StateReleased] [1.5 StateReleased]") && text.ends_with("(3 more)"),
        "{text}"
    );
}

#[test]
fn only_attempts_that_can_have_an_effect_are_effective_attempts() {
    let mut trace = Trace::default();
    trace.record(
        0,
        Step::Sent {
            attempt: 0,
            endpoint: "r".into(),
            prefill_only: true,
        },
    );
    assert!(!trace.has_other_effective_attempt(1));
    trace.record(
        0,
        Step::Sent {
            attempt: 1,
            endpoint: "w".into(),
            prefill_only: false,
        },
    );
    assert!(!trace.has_other_effective_attempt(1) && trace.has_other_effective_attempt(2));
}
