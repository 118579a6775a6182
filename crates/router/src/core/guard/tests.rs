//! Tests of `guard`.

use cranetack_routing_policy::{
    CellId, Class, EndpointId, EndpointState, Idempotency, KeyScope, KindId, RejectReason,
    ResetCause, ZoneId,
};

use super::*;

fn member(zone: usize) -> EndpointSpec {
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

fn rule(effect: Idempotency) -> RetryRule {
    RetryRule::of(Some(&Class {
        idempotency: effect,
        dedup_window: Some(1_000_000),
        ..Class::default()
    }))
}

/// Guards against a wrong decision of the module that reaches the wire.
#[test]
fn what_may_have_run_is_sent_and_refused_as_its_class_permits() {
    let run = PossibleExecution::at(&member(0), 0);
    let mut record = EffectRecord::default();
    record.ended(Role::Prefill, Outcome::Cancelled, run);
    record.ended(
        Role::Decode,
        Outcome::Rejected(RejectReason::Overloaded),
        run,
    );
    assert_eq!(
        record.check_send(rule(Idempotency::NonIdempotent), &member(0), 10),
        Ok(()),
        "neither can have run"
    );
    assert_eq!(
        record.check_refusal(rule(Idempotency::NonIdempotent), true),
        Err(Breach::Refusal),
        "one is out"
    );
    record.ended(
        Role::Decode,
        Outcome::ConnectionReset(ResetCause::InUse),
        run,
    );
    let zone = rule(Idempotency::Keyed(KeyScope::Zone));
    for (rule, zone, now, sends, refuses) in [
        (rule(Idempotency::Idempotent), 1, 10, true, true),
        (rule(Idempotency::NonIdempotent), 0, 10, false, false),
        (zone, 0, 10, true, false),
        (zone, 1, 10, false, false),
        (zone, 0, 950_000, false, false),
        (rule(Idempotency::Keyed(KeyScope::All)), 1, 10, true, true),
    ] {
        assert_eq!(
            record.check_send(rule, &member(zone), now).is_ok(),
            sends,
            "{rule:?} {zone} {now}"
        );
        assert_eq!(
            record.check_refusal(rule, false).is_ok(),
            refuses,
            "{rule:?}"
        );
    }
}
