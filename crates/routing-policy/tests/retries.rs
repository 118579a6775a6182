//! A request that may have been executed is sent again only to endpoints that discard repetitions,
//! and only within the window in which they do.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: usize = 0;
const DECODE: usize = 1;

/// A driver with two groups of a prefill endpoint and a decode endpoint each. Endpoint `n` is in
/// group `n / 10`, whether a group is a zone or a cell.
fn two_groups(scope: KeyScope) -> Driver {
    let spec = |endpoint: u64, kind| {
        let group = endpoint / 10;
        EndpointSpec {
            zone: ZoneId(group as usize),
            ..endpoint_spec(endpoint, kind, group as i64)
        }
    };
    let specs = vec![
        spec(10, PREFILL),
        spec(11, DECODE),
        spec(20, PREFILL),
        spec(21, DECODE),
    ];
    Driver::new(settings(Idempotency::Keyed(scope)), specs).0
}

/// Has a request prefilled and then sent to a decode endpoint whose connection breaks, so that it
/// may have been executed. Returns the group of that decode endpoint.
fn break_decode_attempt(driver: &mut Driver) -> u64 {
    let prefill = routes(&driver.arrive(request_spec(1, driver.now)))[0].1;
    let decode = routes(&driver.deliver(attempt_ended(1, 0, prefill, PREFILLED)))[0].1;
    let actions = driver.deliver(attempt_ended(1, 1, decode, CONNECTION_RESET));
    assert!(
        routes(&actions)
            .iter()
            .all(|(_, endpoint)| endpoint / 10 == decode / 10),
        "{actions:?}"
    );
    decode / 10
}

/// The prefill of a retry is bound to the group as well. Both endpoints of the group are ejected
/// for a while after the reset, and meanwhile the retry must not go to the other group.
#[test]
fn a_retry_is_prefilled_and_decoded_in_the_group_where_it_may_have_been_executed() {
    for scope in [KeyScope::Zone, KeyScope::Cell] {
        let mut driver = two_groups(scope);
        let group = break_decode_attempt(&mut driver);
        let later: Vec<Action> = driver
            .advance(2 * SECOND)
            .into_iter()
            .map(|(_, action)| action)
            .collect();
        assert!(
            routes(&later)
                .iter()
                .all(|(_, endpoint)| endpoint / 10 == group),
            "{scope:?}: {later:?}"
        );
        assert!(
            !routes(&later).is_empty(),
            "{scope:?}: the request was not retried, though its group accepts requests again"
        );
    }
}

/// A retry may be sent in time and then wait for a connection until the deduplication window has
/// ended.
#[test]
fn a_retry_is_abandoned_if_its_connection_comes_up_after_the_window() {
    let mut driver = two_groups(KeyScope::Zone);
    let prefill = routes(&driver.arrive(request_spec(1, driver.now)))[0].1;
    let decode_sent_at = driver.now;
    let decode = routes(&driver.deliver(attempt_ended(1, 0, prefill, PREFILLED)))[0].1;
    driver.advance(2 * SECOND);
    let mut actions = driver.deliver(attempt_ended(1, 1, decode, CONNECTION_RESET));
    actions.extend(driver.advance(SECOND).into_iter().map(|(_, action)| action));
    let write_by = actions.iter().filter_map(|action| match action {
        Action::Send { write_by, .. } => Some(*write_by),
        _ => None,
    });
    let write_by: Vec<Micros> = write_by.collect();
    assert!(!write_by.is_empty());
    assert!(
        write_by
            .iter()
            .all(|at| *at > 0 && *at < decode_sent_at + 3 * SECOND - SECOND / 20),
        "{write_by:?}"
    );
}

/// A decode or mixed endpoint that responds as only a prefill endpoint may does not prove that a
/// non-idempotent request was not executed, so the request must be neither retried nor rejected.
#[test]
fn a_prefill_outcome_from_a_decode_or_mixed_endpoint_counts_as_executed() {
    for (specs, decode) in [
        (vec![endpoint_spec(1, 0, 0), endpoint_spec(2, 1, 0)], 2),
        (vec![endpoint_spec(3, 2, 0)], 3),
    ] {
        let mut driver = Driver::new(settings(Idempotency::NonIdempotent), specs).0;
        let first = routes(&driver.arrive(request_spec(1, driver.now)))[0].1;
        let mut attempt = 0;
        if first != decode {
            driver.deliver(attempt_ended(1, 0, first, PREFILLED));
            attempt = 1;
        }
        let mut actions = driver.deliver(attempt_ended(1, attempt, decode, PREFILLED));
        actions.extend(
            driver
                .advance(5 * SECOND)
                .into_iter()
                .map(|(_, action)| action),
        );
        assert_eq!(
            routes(&actions),
            vec![],
            "the request was retried: {actions:?}"
        );
        assert!(actions.contains(&Action::Fail(RequestId(1))), "{actions:?}");
    }
}
