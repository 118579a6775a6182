//! What may have been executed is sent again only where endpoints discard retries, and in time for
//! that.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: usize = 0;
const DECODE: usize = 1;

/// Two groups of a prefill endpoint and a decode endpoint each. Server `n` is in the group `n /
/// 10`, for both scopes.
fn two_groups(scope: KeyScope) -> Driver {
    let server = |endpoint: u64, kind| {
        let group = endpoint / 10;
        EndpointSpec {
            zone: ZoneId(group as usize),
            ..endpoint_spec(endpoint, kind, group as i64)
        }
    };
    let servers = vec![
        server(10, PREFILL),
        server(11, DECODE),
        server(20, PREFILL),
        server(21, DECODE),
    ];
    Driver::new(settings(Idempotency::Keyed(scope)), servers).0
}

/// Has a request read and then written by an endpoint whose connection breaks; returns that
/// endpoint's group.
fn may_have_executed(driver: &mut Driver) -> u64 {
    let read = routes(&driver.arrive(request_spec(1, driver.now)))[0].1;
    let written = routes(&driver.deliver(attempt_ended(1, 0, read, PREFILLED)))[0].1;
    let actions = driver.deliver(attempt_ended(1, 1, written, CONNECTION_RESET));
    assert!(
        routes(&actions)
            .iter()
            .all(|(_, endpoint)| endpoint / 10 == written / 10),
        "{actions:?}"
    );
    written / 10
}

/// The prefill of a retry counts too. Both endpoints of the group are ejected for a while after the
/// reset, and those of the other group take no part of it meanwhile.
#[test]
fn a_retry_is_prefilled_and_decoded_in_the_group_where_it_may_have_been_executed() {
    for scope in [KeyScope::Zone, KeyScope::Cell] {
        let mut driver = two_groups(scope);
        let group = may_have_executed(&mut driver);
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
            "{scope:?}: it is retried once the group accepts it"
        );
    }
}

/// A retry may be sent in time and held up by its connection until its window has ended.
#[test]
fn a_retry_is_abandoned_if_its_connection_comes_up_after_the_window() {
    let mut driver = two_groups(KeyScope::Zone);
    let read = routes(&driver.arrive(request_spec(1, driver.now)))[0].1;
    let written_at = driver.now;
    let written = routes(&driver.deliver(attempt_ended(1, 0, read, PREFILLED)))[0].1;
    driver.advance(2 * SECOND);
    let mut actions = driver.deliver(attempt_ended(1, 1, written, CONNECTION_RESET));
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
            .all(|at| *at > 0 && *at < written_at + 3 * SECOND - SECOND / 20),
        "{write_by:?}"
    );
}

/// A decode or mixed endpoint that responds to a non-idempotent request as a prefill endpoint would
/// proves nothing, so the request must be neither retried nor rejected.
#[test]
fn a_prefill_outcome_from_a_decode_or_mixed_endpoint_counts_as_executed() {
    for (servers, written) in [
        (vec![endpoint_spec(1, 0, 0), endpoint_spec(2, 1, 0)], 2),
        (vec![endpoint_spec(3, 2, 0)], 3),
    ] {
        let mut driver = Driver::new(settings(Idempotency::NonIdempotent), servers).0;
        let first = routes(&driver.arrive(request_spec(1, driver.now)))[0].1;
        let mut attempt = 0;
        if first != written {
            driver.deliver(attempt_ended(1, 0, first, PREFILLED));
            attempt = 1;
        }
        let mut actions = driver.deliver(attempt_ended(1, attempt, written, PREFILLED));
        actions.extend(
            driver
                .advance(5 * SECOND)
                .into_iter()
                .map(|(_, action)| action),
        );
        assert_eq!(routes(&actions), vec![], "retried: {actions:?}");
        assert!(actions.contains(&Action::Fail(RequestId(1))), "{actions:?}");
    }
}
