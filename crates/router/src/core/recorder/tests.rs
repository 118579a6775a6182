//! Tests of `recorder`.

use super::*;

#[test]
fn a_trace_is_bounded_and_counts_what_it_leaves_out() {
    let mut trace = Trace::default();
    (0..STEP_LIMIT as i64 + 3).for_each(|at| trace.note(at * 1_500, Step::Released));
    let text = trace.to_string();
    assert_eq!(text.matches("Released").count(), STEP_LIMIT);
    assert!(
        text.starts_with("[0.0 Released] [1.5 Released]") && text.ends_with("(3 more)"),
        "{text}"
    );
}

#[test]
fn only_attempts_that_may_have_an_effect_count_as_tries() {
    let mut trace = Trace::default();
    trace.note(
        0,
        Step::Sent {
            number: 0,
            to: "r".into(),
            reads: true,
        },
    );
    assert!(!trace.tried_before(1));
    trace.note(
        0,
        Step::Sent {
            number: 1,
            to: "w".into(),
            reads: false,
        },
    );
    assert!(!trace.tried_before(1) && trace.tried_before(2));
}
