//! Habits that are harmless in one router and harmful when a hundred have them.

mod common;

use common::*;
use cranetack_routing_policy::*;

fn cold(endpoint: u64, kind: usize, cell: i64) -> EndpointSpec {
    EndpointSpec {
        started_at: Some(START - SECOND / 2),
        ..endpoint_spec(endpoint, kind, cell)
    }
}

/// Where a cell's decode endpoints have just been replaced, most of them are not open yet at each
/// router, and the cell's warm prefill endpoints would stand idle while those of other cells are
/// overloaded.
#[test]
fn prefill_endpoints_whose_decode_endpoints_are_not_open_pair_across_cells() {
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
        "{sent:?} at the two endpoints"
    );
}

/// With as many routers as sessions, a session's turns come through different ones, and their
/// choices agree only if none depends on whose turn it is at an endpoint in slow start.
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
        let differ = first
            .iter()
            .zip(&others)
            .filter(|(a, b)| **a != 1 && **b != 1 && a != b)
            .count();
        assert_eq!(differ, 0, "{first:?} {others:?}");
    }
}

/// With few requests at each router, most endpoints have not reported their load: they must not
/// draw all work.
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

/// Sends by each of 200 routers, which know nothing yet, of one request of a session of its own.
/// Reader 1 is cold.
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

/// Where each of many routers waits for a turn of its own before its first send, an endpoint in
/// slow start would get nothing for as long as it takes to warm up.
#[test]
fn a_cold_endpoint_gets_the_sessions_whose_target_it_is_from_new_routers() {
    // Its weight as an affinity target is the part of its capacity that it has, 0.28 of 2.28: 25 of
    // 200. It bears 2.5 times that.
    let targets = first_sends_to_a_cold_endpoint(Some(1_000));
    assert!((12..50).contains(&targets), "{targets} of 200 sessions");
    let others = first_sends_to_a_cold_endpoint(None);
    assert!(others <= 2, "{others} requests that have no target there");
}

/// Routers that have all just started must not take their endpoints for idle: what the warm ones
/// complete is known from the first seconds, so that the part of a cold one is no smaller than at
/// old routers.
#[test]
fn a_new_router_gives_a_cold_endpoint_as_much_as_an_old_one() {
    let sent_after = |lived: u32| -> usize {
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
            let served = |driver: &mut Driver, id: u32| {
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
            let before: usize = (0..2 * lived).map(|id| served(&mut driver, id)).sum();
            assert_eq!(before, 0, "it is not listed yet");
            let cold = EndpointSpec {
                started_at: Some(driver.now),
                ..endpoint_spec(5, 0, 0)
            };
            driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![cold])));
            (1_000..1_020)
                .map(|id| served(&mut driver, id))
                .sum::<usize>()
        };
        (0..40).map(sent).sum()
    };
    let (young, old) = (sent_after(3), sent_after(60));
    assert!(
        old > 40 && young * 10 >= old * 9,
        "{young} sends after 3 s, {old} after 60 s"
    );
}
