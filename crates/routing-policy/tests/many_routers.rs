//! Decisions that are harmless in one router and harmful when a hundred routers take them.

mod common;

use common::*;
use cranetack_routing_policy::*;

fn cold(endpoint: u64, kind: usize, cell: i64) -> EndpointSpec {
    EndpointSpec {
        started_at: Some(START - SECOND / 2),
        ..endpoint_spec(endpoint, kind, cell)
    }
}

/// Where the decode endpoints of a cell have just been replaced, most of them do not yet accept
/// requests of any given router. Without lanes across cells, the warm prefill endpoints of the cell
/// would stand idle while those of other cells are overloaded.
#[test]
fn prefill_endpoints_whose_decode_endpoints_are_not_open_are_paired_across_cells() {
    let specs = vec![
        endpoint_spec(1, 0, 0),
        cold(2, 1, 0),
        endpoint_spec(3, 0, 1),
        endpoint_spec(4, 1, 1),
    ];
    let mut sent = [0; 2];
    for seed in 0..100 {
        let settings = Settings {
            router_count: Some(100),
            ..settings(Idempotency::Idempotent)
        };
        let (mut driver, _) = Driver::with_seed(settings, specs.clone(), seed);
        for (_, endpoint) in routes(&driver.arrive(request_spec(1, driver.now))) {
            sent[usize::from(endpoint == 3)] += 1;
        }
    }
    assert!(
        sent[0] > 15 && sent[1] > 15,
        "sends to the two prefill endpoints: {sent:?}"
    );
}

/// With as many routers as sessions, the turns of a session arrive at different routers. These
/// choose the same affinity target only if the choice does not depend on which router may send next
/// to an endpoint in slow start.
#[test]
fn routers_agree_on_affinity_targets_while_an_endpoint_is_in_slow_start() {
    let specs = vec![
        cold(1, 0, 0),
        endpoint_spec(3, 0, 0),
        endpoint_spec(5, 0, 0),
        endpoint_spec(9, 1, 0),
    ];
    let targets = |seed| {
        let settings = Settings {
            router_count: Some(100),
            ..settings(Idempotency::Idempotent)
        };
        let (mut driver, _) = Driver::with_seed(settings, specs.clone(), seed);
        let mut target = |session: u32| {
            let turn = request_spec(session, driver.now);
            let sent = routes(&driver.arrive(RequestSpec {
                session: Some(SessionId(u64::from(session))),
                ..turn
            }));
            driver.deliver(attempt_ended(session, 0, sent[0].1, PREFILLED));
            driver.deliver(Event::ClientDisconnected(RequestId(session)));
            sent[0].1
        };
        (0..40).map(&mut target).collect::<Vec<u64>>()
    };
    let first = targets(1);
    assert!(
        [3, 5].iter().all(|target| first.contains(target)),
        "{first:?}"
    );
    for seed in 2..20 {
        let others = targets(seed);
        let different_targets = first
            .iter()
            .zip(&others)
            .filter(|(a, b)| **a != 1 && **b != 1 && a != b)
            .count();
        assert_eq!(
            different_targets, 0,
            "routers choose different targets: {first:?} and {others:?}"
        );
    }
}

/// Where each router has few requests, most endpoints have not reported their load to it. They must
/// not attract all requests.
#[test]
fn an_endpoint_without_a_load_report_is_no_better_than_the_mean() {
    let specs = vec![
        endpoint_spec(1, 0, 0),
        endpoint_spec(2, 0, 0),
        endpoint_spec(3, 0, 0),
        endpoint_spec(9, 1, 0),
    ];
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs);
    for (endpoint, pending) in [(1, 8.0), (2, 1.0)] {
        let load = Some(LoadReport {
            pending_kilotokens: Some(pending),
            ..LoadReport::default()
        });
        driver.deliver(Event::HealthChecked {
            endpoint: EndpointId(endpoint),
            outcome: Outcome::Completed,
            elapsed: 1_000,
            load,
        });
    }
    assert_eq!(routes(&driver.arrive(request_spec(1, START))), vec![(1, 2)]);
}

/// Has each of 200 routers that have just started send one request, and returns how many of them
/// go to prefill endpoint 1, which is cold. Each request has a session of its own, numbered from
/// `session` on, or none if that is `None`.
fn first_sends_to_a_cold_endpoint(session: Option<u64>) -> usize {
    let specs = vec![
        cold(1, 0, 0),
        endpoint_spec(3, 0, 0),
        endpoint_spec(5, 0, 0),
        endpoint_spec(9, 1, 0),
    ];
    let to_cold = |seed: u64| {
        let settings = Settings {
            router_count: Some(200),
            ..settings(Idempotency::Idempotent)
        };
        let (mut driver, _) = Driver::with_seed(settings, specs.clone(), seed);
        let session = session.map(|s| SessionId(s + seed));
        let sent = routes(&driver.arrive(RequestSpec {
            session,
            ..request_spec(1, driver.now)
        }));
        sent.iter().filter(|(_, endpoint)| *endpoint == 1).count()
    };
    (0..200).map(to_cold).sum()
}

/// If each of many routers waited for a turn of its own before its first send, an endpoint in slow
/// start would get nothing for as long as it takes to warm up.
#[test]
fn a_cold_endpoint_gets_the_sessions_whose_target_it_is_from_new_routers() {
    // The weight of the cold endpoint as an affinity target is its warm fraction, 0.28 of a total
    // of 2.28, so that it is the target of about 25 of 200 sessions. It can bear 2.5 times that.
    let targets = first_sends_to_a_cold_endpoint(Some(1_000));
    assert!(
        (12..50).contains(&targets),
        "{targets} of 200 sessions were sent to the cold endpoint"
    );
    let others = first_sends_to_a_cold_endpoint(None);
    assert!(
        others <= 2,
        "{others} requests without an affinity target were sent to the cold endpoint"
    );
}

/// Routers that have all just started must not take their endpoints for idle. From the first
/// seconds on they know how much the warm ones complete, so that they send a cold endpoint no
/// smaller share than routers do that have run for longer.
#[test]
fn a_new_router_gives_a_cold_endpoint_as_much_as_an_old_one() {
    let sent_after = |age_s: u32| -> usize {
        let sent = |seed: u64| {
            let specs = vec![
                endpoint_spec(1, 0, 0),
                endpoint_spec(3, 0, 0),
                endpoint_spec(9, 1, 0),
            ];
            let settings = Settings {
                router_count: Some(100),
                ..settings(Idempotency::Idempotent)
            };
            let (mut driver, _) = Driver::with_seed(settings, specs, seed);
            let serve = |driver: &mut Driver, id: u32| {
                let sent = routes(&driver.arrive(request_spec(id, driver.now)));
                for (id, endpoint) in &sent {
                    driver.deliver(attempt_ended(*id, 0, *endpoint, PREFILLED));
                    let (id, attempt, endpoint) = (RequestId(*id), 1, EndpointId(9));
                    driver.deliver(Event::StreamStarted {
                        id,
                        attempt,
                        endpoint,
                        elapsed: 1,
                    });
                    driver.deliver(attempt_ended(id.0, 1, 9, Outcome::Completed));
                }
                driver.advance(SECOND / 2);
                sent.iter().filter(|(_, endpoint)| *endpoint == 5).count()
            };
            let before: usize = (0..2 * age_s).map(|id| serve(&mut driver, id)).sum();
            assert_eq!(
                before, 0,
                "the cold endpoint is not on the endpoint list yet"
            );
            let cold = EndpointSpec {
                started_at: Some(driver.now),
                ..endpoint_spec(5, 0, 0)
            };
            driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![cold])));
            (1_000..1_020)
                .map(|id| serve(&mut driver, id))
                .sum::<usize>()
        };
        (0..40).map(sent).sum()
    };
    let (by_new_routers, by_old_routers) = (sent_after(3), sent_after(60));
    assert!(
        by_old_routers > 40 && by_new_routers * 10 >= by_old_routers * 9,
        "sends to the cold endpoint: {by_new_routers} after 3 s, {by_old_routers} after 60 s"
    );
}
