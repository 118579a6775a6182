//! Tests of `guard`.

use cranetack_routing_policy::{
    CellId, Class, EndpointId, EndpointState, Idempotency, KeyScope, KindId, RejectReason,
    ResetCause, ZoneId,
};

use super::*;

fn endpoint(zone: usize) -> EndpointSpec {
    EndpointSpec {
        id: EndpointId(1),
        started_at: None,
        kind: KindId(0),
        state: EndpointState::Active,
        cell: CellId(0),
        weight: 1.0,
        zone: ZoneId(zone),
    }
}

fn rule(idempotency: Idempotency) -> RetryRule {
    RetryRule::of(Some(&Class {
        idempotency,
        dedup_window: Some(1_000_000),
        ..Class::default()
    }))
}

/// Guards against a wrong decision of the policy that leads to a duplicate execution: the core must
/// not carry it out.
#[test]
fn a_request_that_may_have_been_executed_is_retried_and_rejected_only_as_its_class_permits() {
    let execution = PossibleExecution::at(&endpoint(0), 0);
    let mut record = ExecutionRecord::default();
    record.attempt_ended(Role::Prefill, Outcome::Cancelled, execution);
    record.attempt_ended(
        Role::Decode,
        Outcome::Rejected(RejectReason::Overloaded),
        execution,
    );
    assert_eq!(
        record.check_send(rule(Idempotency::NonIdempotent), &endpoint(0), 10),
        Ok(()),
        "neither of the two attempts can have been executed"
    );
    assert_eq!(
        record.check_rejection(rule(Idempotency::NonIdempotent), true),
        Err(Violation::Rejection),
        "an attempt that can have an effect is in flight"
    );
    record.attempt_ended(
        Role::Decode,
        Outcome::ConnectionReset(ResetCause::InUse),
        execution,
    );
    let zone = rule(Idempotency::Keyed(KeyScope::Zone));
    for (rule, zone, now, may_send, may_reject) in [
        (rule(Idempotency::Idempotent), 1, 10, true, true),
        (rule(Idempotency::NonIdempotent), 0, 10, false, false),
        (zone, 0, 10, true, false),
        (zone, 1, 10, false, false),
        (zone, 0, 950_000, false, false),
        (rule(Idempotency::Keyed(KeyScope::All)), 1, 10, true, true),
    ] {
        assert_eq!(
            record.check_send(rule, &endpoint(zone), now).is_ok(),
            may_send,
            "send with {rule:?} to zone {zone} at {now}"
        );
        assert_eq!(
            record.check_rejection(rule, false).is_ok(),
            may_reject,
            "rejection with {rule:?}"
        );
    }
}
