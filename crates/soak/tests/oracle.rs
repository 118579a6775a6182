//! Tests that the oracle reports each kind of violation, and none for sequences of events that keep
//! the rules.

use std::time::Duration;

use cranetack_soak::oracle::{
    Idempotency, LeasedResource, Limits, Oracle, Outcome, ReceivedAttempt, Role, Rule,
};

const LIMITS: Limits = Limits {
    drain_grace: ms(250),
    kv_lease_timeout: ms(300),
    slow_start_attempts: 4.0,
    slow_start_window: ms(3_000),
};

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns an attempt of request `a`.
fn attempt(
    number: u64,
    endpoint: usize,
    role: Role,
    stated_time_left: Duration,
) -> ReceivedAttempt<'static> {
    ReceivedAttempt {
        request_id: "a",
        number,
        endpoint,
        role,
        stated_time_left,
    }
}

/// Returns an oracle with a non-idempotent request `a`, whose prompt was processed at endpoint 1.
/// The KV state is leased from 100 ms on.
fn prefilled_request() -> Oracle {
    let mut oracle = Oracle::new(LIMITS);
    oracle.request_sent("a", 0, Idempotency::NonIdempotent, ms(0), ms(5_000));
    oracle.attempt_received(&attempt(1, 1, Role::Prefill, ms(4_990)), ms(10));
    oracle.lease_acquired("a", 1, LeasedResource::KvState, ms(100));
    oracle.attempt_ended("a", 1, ms(100));
    oracle
}

/// Reports that request `a` is decoded at endpoint 2.
fn decode(oracle: &mut Oracle) {
    oracle.attempt_received(&attempt(2, 2, Role::Decode, ms(4_890)), ms(110));
    oracle.lease_ended("a", 1, LeasedResource::KvState, ms(120));
    oracle.attempt_ended("a", 2, ms(130));
}

fn broken_rules(oracle: &Oracle) -> Vec<Rule> {
    oracle
        .violations()
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_request_that_is_prefilled_decoded_and_served_breaks_no_rule() {
    let mut oracle = prefilled_request();
    oracle.attempt_received(&attempt(2, 2, Role::Decode, ms(4_890)), ms(110));
    oracle.lease_ended("a", 1, LeasedResource::KvState, ms(120));
    oracle.request_finished("a", Outcome::Served, ms(200));
    oracle.attempt_ended("a", 2, ms(900));
    oracle.check_overdue(ms(20_000));
    assert_eq!(broken_rules(&oracle), vec![]);
}

#[test]
fn a_non_idempotent_request_may_be_retried_and_rejected_after_rejected_attempts() {
    let mut oracle = prefilled_request();
    for number in [2, 3] {
        oracle.attempt_received(&attempt(number, 2, Role::Decode, ms(4_890)), ms(110));
        oracle.attempt_rejected("a", Role::Decode);
        oracle.attempt_ended("a", number, ms(115));
    }
    oracle.lease_ended("a", 1, LeasedResource::KvState, ms(120));
    oracle.request_finished("a", Outcome::Rejected, ms(130));
    oracle.check_overdue(ms(20_000));
    assert_eq!(broken_rules(&oracle), vec![]);
}

/// A sequence of events that breaks a rule.
struct ViolationCase {
    rule: Rule,
    /// Reports the events before the violation, which break no rule.
    before: fn(&mut Oracle),
    /// Reports the events that break the rule.
    violation: fn(&mut Oracle),
}

const VIOLATION_CASES: [ViolationCase; 11] = [
    ViolationCase {
        rule: Rule::MissingAnswer,
        before: decode,
        violation: |oracle| oracle.check_overdue(ms(5_700)),
    },
    ViolationCase {
        rule: Rule::MissingAnswer,
        before: decode,
        violation: |oracle| oracle.request_finished("a", Outcome::ConnectionClosed, ms(200)),
    },
    ViolationCase {
        rule: Rule::MissingAnswer,
        before: decode,
        violation: |oracle| oracle.request_finished("a", Outcome::Failed, ms(5_700)),
    },
    ViolationCase {
        rule: Rule::DuplicateExecution,
        before: decode,
        violation: |oracle| oracle.request_finished("a", Outcome::Rejected, ms(200)),
    },
    ViolationCase {
        rule: Rule::DuplicateExecution,
        before: decode,
        violation: |oracle| {
            oracle.attempt_received(&attempt(3, 3, Role::Decode, ms(100)), ms(200));
        },
    },
    ViolationCase {
        rule: Rule::ConcurrentAttempts,
        before: |oracle| {
            oracle.attempt_received(&attempt(2, 2, Role::Prefill, ms(100)), ms(110));
        },
        violation: |oracle| {
            oracle.attempt_received(&attempt(3, 3, Role::Prefill, ms(100)), ms(120));
        },
    },
    ViolationCase {
        rule: Rule::LeakedLease,
        before: |_| (),
        violation: |oracle| oracle.check_overdue(ms(900)),
    },
    ViolationCase {
        rule: Rule::AfterDisconnect,
        before: |oracle| oracle.client_disconnected("a", ms(110)),
        violation: |oracle| {
            oracle.attempt_received(&attempt(2, 2, Role::Decode, ms(100)), ms(400));
        },
    },
    ViolationCase {
        rule: Rule::Deadline,
        before: |_| (),
        violation: |oracle| {
            oracle.attempt_received(&attempt(2, 2, Role::Decode, ms(4_500)), ms(1_000));
        },
    },
    ViolationCase {
        rule: Rule::Drain,
        before: |oracle| oracle.router_notified(0, 2, false, ms(100)),
        violation: |oracle| oracle.attempt_started(0, 2, ms(450)),
    },
    ViolationCase {
        rule: Rule::SlowStart,
        before: |oracle| oracle.endpoint_started(2, ms(100)),
        violation: exceed_slow_start_budget,
    },
];

/// Reports attempts of fourteen requests at endpoint 2, one per millisecond.
fn exceed_slow_start_budget(oracle: &mut Oracle) {
    for index in 0..14 {
        let id = format!("s{index}");
        oracle.request_sent(&id, 0, Idempotency::Idempotent, ms(100), ms(5_000));
        let received = ReceivedAttempt {
            request_id: &id,
            ..attempt(10 + index, 2, Role::Prefill, ms(100))
        };
        oracle.attempt_received(&received, ms(100 + index));
    }
}

#[test]
fn each_kind_of_violation_is_reported() {
    for case in VIOLATION_CASES {
        let mut oracle = prefilled_request();
        (case.before)(&mut oracle);
        assert_eq!(broken_rules(&oracle), vec![], "{:?}", case.rule);
        (case.violation)(&mut oracle);
        assert_eq!(broken_rules(&oracle), vec![case.rule], "{:?}", case.rule);
    }
}

#[test]
fn requests_of_a_killed_router_need_no_response() {
    let mut oracle = prefilled_request();
    oracle.router_killed(0);
    oracle.check_overdue(ms(20_000));
    assert_eq!(broken_rules(&oracle), vec![]);
}
