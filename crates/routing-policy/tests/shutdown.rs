//! What becomes of open requests when the router is about to end.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;
const FROM: Micros = SECOND / 2;
const BY: Micros = 3 * SECOND;

/// A router among so many, with so many streams running and one request being read.
fn driver(router_count: u32, streams: u32) -> Driver {
    let settings = Settings {
        router_count: Some(router_count),
        router_index: Some(0),
        resumable_streams: true,
        gossip: true,
        ..settings(Idempotency::NonIdempotent)
    };
    let mut driver = Driver::new(
        settings,
        vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)],
    )
    .0;
    for id in 0..streams {
        driver.arrive(request_spec(id, driver.now));
        driver.deliver(attempt_ended(id, 0, PREFILL, PREFILLED));
        driver.deliver(Event::StreamStarted {
            id: RequestId(id),
            attempt: 1,
            endpoint: EndpointId(DECODE),
            elapsed: 1,
        });
    }
    assert_eq!(
        routes(&driver.arrive(request_spec(streams, driver.now))),
        [(streams, PREFILL)]
    );
    driver.deliver(Event::ShutdownStarted {
        migrate_from: driver.now + FROM,
        answer_by: driver.now + BY,
    });
    driver
}

/// Lets time pass; who is moved, in order. Each ends at once.
fn migrated(driver: &mut Driver, span: Micros) -> Vec<u32> {
    let mut migrated = Vec::new();
    let end = driver.now + span;
    while driver.now < end {
        for (_, action) in driver.advance(SECOND / 100) {
            if let Action::Migrate(id) = action {
                migrated.push(id.0);
                driver.deliver(Event::AttemptEnded {
                    id,
                    attempt: 1,
                    endpoint: EndpointId(DECODE),
                    outcome: Outcome::Cancelled,
                    client_done: true,
                    elapsed: 1,
                    load: None,
                });
            }
        }
    }
    migrated
}

#[test]
fn streams_are_migrated_newest_first_while_another_router_serves() {
    let mut driver = driver(2, 7);
    assert_eq!(
        migrated(&mut driver, FROM - SECOND / 10),
        [0; 0],
        "clients may still be sent to this router"
    );
    let all = migrated(&mut driver, SECOND / 2);
    assert_eq!(
        all,
        [6, 5, 4, 3, 2, 1, 0],
        "well before the end, and a few at a time"
    );
}

/// Clients must not be sent where nobody serves: the only other router began its shutdown shortly
/// before.
#[test]
fn streams_are_not_migrated_while_all_peers_are_shutting_down() {
    let mut driver = driver(2, 3);
    driver.deliver(Event::GossipReceived {
        from: 1,
        payload: vec![1],
    });
    assert_eq!(migrated(&mut driver, BY - SECOND / 10), [0; 0]);
    assert_eq!(
        migrated(&mut driver, SECOND / 5).len(),
        3,
        "at the end they are"
    );
}

#[test]
fn a_peer_that_shut_down_long_ago_serves_again() {
    let mut driver = driver(2, 3);
    driver.deliver(Event::GossipReceived {
        from: 1,
        payload: vec![1],
    });
    driver.deliver(Event::ShutdownStarted {
        migrate_from: driver.now + 6 * SECOND,
        answer_by: driver.now + 9 * SECOND,
    });
    assert_eq!(migrated(&mut driver, 7 * SECOND).len(), 3);
}

/// A request whose prompt is being processed at the end is rejected, and its attempt cancelled.
#[test]
fn requests_without_a_response_get_their_final_one_by_the_end() {
    let mut driver = driver(1, 0);
    let before = driver.advance(BY - SECOND / 10);
    assert!(before
        .iter()
        .all(|(_, a)| !matches!(a, Action::Reject { .. } | Action::CancelAttempt { .. })));
    let end: Vec<_> = driver
        .advance(SECOND / 5)
        .into_iter()
        .map(|(_, a)| a)
        .collect();
    let id = RequestId(0);
    assert!(end.contains(&Action::CancelAttempt { id, attempt: 0 }));
    assert_eq!(
        end.iter()
            .filter(|a| matches!(
                a,
                Action::Reject {
                    id: RequestId(0),
                    ..
                }
            ))
            .count(),
        1
    );
    let late = driver.arrive(request_spec(9, driver.now));
    let after = late
        .into_iter()
        .chain(driver.advance(SECOND / 10).into_iter().map(|(_, a)| a));
    assert!(
        after.into_iter().any(|a| matches!(
            a,
            Action::Reject {
                id: RequestId(9),
                ..
            }
        )),
        "nor later"
    );
}

/// Messages from all to all would cost more than the requests: 300 routers that are restarted in
/// turn notified each of the others 46 times each.
#[test]
fn shutdown_gossip_grows_linearly_with_the_fleet_and_is_spread_evenly() {
    for (all, each) in [(2, 1), (3, 2), (4, 3), (5, 3), (30, 3), (100, 3), (300, 3)] {
        let mut heard = vec![0; all as usize];
        for router_index in 0..all {
            let settings = Settings {
                router_count: Some(all),
                router_index: Some(router_index),
                resumable_streams: true,
                gossip: true,
                ..settings(Idempotency::Idempotent)
            };
            let (mut driver, _) = Driver::with_seed(
                settings,
                vec![endpoint_spec(PREFILL, 0, 0)],
                router_index.into(),
            );
            driver.deliver(Event::ShutdownStarted {
                migrate_from: driver.now + FROM,
                answer_by: driver.now + BY,
            });
            let mut notified: Vec<u32> = Vec::new();
            for (_, action) in driver.advance(BY) {
                match action {
                    Action::Gossip { to: Some(to), .. } => notified.push(to),
                    Action::Gossip { to: None, .. } => panic!("all are notified"),
                    _ => {}
                }
            }
            assert_eq!(notified.len(), 2 * each, "twice, as any may be lost");
            notified.sort_unstable();
            notified.dedup();
            assert!(
                notified.len() == each && !notified.contains(&router_index),
                "{all}: {router_index} notified {notified:?}"
            );
            notified.iter().for_each(|to| heard[*to as usize] += 1);
        }
        assert!(heard.iter().all(|n| *n == each), "{all}: {heard:?}");
    }
}
