//! Tests of `recorder`.

use super::*;

#[test]
fn a_trace_is_bounded_and_counts_what_it_leaves_out() {
    let mut trace = Trace::default();
    for at in 0..STEP_LIMIT as i64 + 3 {
        trace.note(at * 1_500, Step::StateReleased);
    }
    let text = trace.to_string();
    assert_eq!(text.matches("StateReleased").count(), STEP_LIMIT);
    assert!(
        text.starts_with("[0.0 StateReleased] [1.5 StateReleased]") && text.ends_with("(3 more)"),
        "{text}"
    );
}

#[test]
fn only_attempts_that_may_have_an_effect_count_as_tried() {
    let mut trace = Trace::default();
    trace.note(
        0,
        Step::Sent {
            attempt: 0,
            endpoint: "r".into(),
            prefill_only: true,
        },
    );
    assert!(!trace.has_tried_before(1));
    trace.note(
        0,
        Step::Sent {
            attempt: 1,
            endpoint: "w".into(),
            prefill_only: false,
        },
    );
    assert!(!trace.has_tried_before(1) && trace.has_tried_before(2));
}
