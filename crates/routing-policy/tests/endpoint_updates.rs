//! The effects of updates of the endpoint list.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;

fn one_lane() -> Vec<EndpointSpec> {
    vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)]
}

#[test]
fn a_draining_or_removed_endpoint_gets_no_requests_after_the_update() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
        let specs = vec![EndpointSpec {
            state,
            ..endpoint_spec(PREFILL, 0, 0)
        }];
        driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(specs)));
        assert_eq!(routes(&driver.arrive(request_spec(1, START))), vec![]);
    }
}

#[test]
fn an_endpoint_missing_from_a_snapshot_is_removed() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Snapshot(vec![
        endpoint_spec(DECODE, 1, 0),
    ])));
    assert_eq!(routes(&driver.arrive(request_spec(1, START))), vec![]);
}

#[test]
fn a_failed_poll_leaves_the_list_unchanged() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::PollFailed));
    assert_eq!(
        routes(&driver.arrive(request_spec(1, START))),
        vec![(1, PREFILL)]
    );
}

#[test]
fn the_endpoint_list_is_polled_where_changes_are_not_pushed() {
    let polled = Settings {
        endpoints_are_polled: true,
        poll_interval: Some(10 * SECOND),
        ..settings(Idempotency::Idempotent)
    };
    let (mut driver, first) = Driver::new(polled, one_lane());
    assert!(first.contains(&Action::SubscribeEndpoints(true)));
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::PollFailed));
    let second_poll = driver.advance(SECOND);
    assert!(second_poll
        .iter()
        .any(|(_, a)| *a == Action::SubscribeEndpoints(true)));
}

/// Machines are replaced for as long as a router runs, so its tables must not grow with each
/// replacement.
#[test]
fn removed_endpoints_are_forgotten_once_nothing_is_in_flight_there() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    assert_eq!(
        routes(&driver.arrive(request_spec(1, START))),
        [(1, PREFILL)]
    );
    for endpoint in 10..30 {
        let removed = EndpointSpec {
            state: EndpointState::Removed,
            ..endpoint_spec(endpoint - 1, 0, 0)
        };
        let specs = vec![endpoint_spec(endpoint, 0, 0), removed];
        driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(specs)));
    }
    assert_eq!(driver.policy.endpoint_statuses(driver.now).len(), 3);
    let specs = vec![endpoint_spec(DECODE, 1, 0), endpoint_spec(29, 0, 0)];
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Snapshot(specs)));
    assert_eq!(
        driver.policy.endpoint_statuses(driver.now).len(),
        3,
        "an attempt is in flight at the prefill endpoint"
    );
    assert_eq!(
        routes(&driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED))),
        [(1, DECODE)]
    );
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![])));
    assert_eq!(driver.policy.endpoint_statuses(driver.now).len(), 2);
}
