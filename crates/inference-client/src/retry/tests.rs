//! Tests of retry decisions.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

const AMPLE_TIME: Duration = Duration::from_secs(60);

fn responded(status: u16, retry_after: Option<Duration>) -> AttemptOutcome {
    AttemptOutcome::Responded {
        status,
        retry_after,
    }
}

fn first_delay(outcome: AttemptOutcome, idempotency: Idempotency) -> Option<Duration> {
    RetryBudget::new(RetryPolicy::default()).next_delay(outcome, idempotency, 1, AMPLE_TIME, 0.0)
}

#[test]
fn a_request_that_may_have_been_executed_is_retried_only_if_idempotent() {
    for (outcome, if_idempotent, if_non_idempotent) in [
        (AttemptOutcome::NotSent, true, true),
        (AttemptOutcome::ConnectionLost, true, false),
        (responded(503, None), true, true),
        (responded(429, None), true, true),
        (responded(502, None), true, false),
        (responded(504, None), false, false),
        (responded(400, None), false, false),
        (responded(409, None), false, false),
        (AttemptOutcome::NotRetryable, false, false),
    ] {
        assert_eq!(
            first_delay(outcome, Idempotency::Idempotent).is_some(),
            if_idempotent,
            "{outcome:?}"
        );
        assert_eq!(
            first_delay(outcome, Idempotency::NonIdempotent).is_some(),
            if_non_idempotent,
            "{outcome:?}"
        );
    }
}

#[test]
fn retry_after_is_obeyed_unless_it_exceeds_the_deadline_or_the_policy() {
    let rejected = |delay| responded(503, Some(delay));
    let (short, long) = (Duration::from_millis(700), Duration::from_secs(6));
    assert_eq!(
        first_delay(rejected(short), Idempotency::NonIdempotent),
        Some(short)
    );
    assert_eq!(first_delay(rejected(long), Idempotency::Idempotent), None);
    let mut budget = RetryBudget::new(RetryPolicy::default());
    assert_eq!(
        budget.next_delay(rejected(short), Idempotency::Idempotent, 1, short, 0.5),
        None
    );
    let jittered = budget
        .next_delay(rejected(short), Idempotency::Idempotent, 1, AMPLE_TIME, 1.0)
        .unwrap();
    assert!(jittered > short);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]
    #[test]
    fn retries_stay_within_the_budget(steps in proptest::collection::vec(any::<bool>(), 0..400)) {
        let policy = RetryPolicy { budget_ratio: 0.25, max_saved: 4.0, ..RetryPolicy::default() };
        let mut budget = RetryBudget::new(policy);
        let (mut successes, mut retries) = (0_u32, 0_u32);
        for success in steps {
            if success {
                budget.record_success();
                successes += 1;
            } else {
                let outcome = AttemptOutcome::NotSent;
                let delay = budget.next_delay(outcome, Idempotency::Idempotent, 1, AMPLE_TIME, 0.5);
                retries += u32::from(delay.is_some());
            }
            prop_assert!(f64::from(retries) <= 4.0 + 0.25 * f64::from(successes));
        }
    }
}
