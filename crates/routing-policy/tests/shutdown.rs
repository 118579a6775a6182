//! What becomes of open requests during the graceful shutdown of a router.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;
/// The time from the start of a shutdown until streams may be migrated.
const MIGRATE_FROM: Micros = SECOND / 2;
/// The time from the start of a shutdown until all requests must have their final response.
const RESPOND_BY: Micros = 3 * SECOND;

/// Returns one of `router_count` routers, which has just begun its shutdown with `streams` running
/// streams and one request whose prompt is being processed.
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
        let request = request_spec(id, driver.now);
        start_stream(&mut driver, request);
    }
    assert_eq!(
        routes(&driver.arrive(request_spec(streams, driver.now))),
        [(streams, PREFILL)]
    );
    driver.deliver(Event::ShutdownStarted {
        migrate_from: driver.now + MIGRATE_FROM,
        respond_by: driver.now + RESPOND_BY,
    });
    driver
}

/// Delivers a request, and the events up to the beginning of its stream.
fn start_stream(driver: &mut Driver, request: RequestSpec) {
    let id = request.id;
    driver.arrive(request);
    driver.deliver(attempt_ended(id.0, 0, PREFILL, PREFILLED));
    driver.deliver(Event::StreamStarted {
        id,
        attempt: 1,
        endpoint: EndpointId(DECODE),
        elapsed: 1,
    });
}

/// Advances the clock by `duration`. Returns the requests whose streams are migrated, in order;
/// each stream ends at once.
fn migrated(driver: &mut Driver, duration: Micros) -> Vec<u32> {
    let mut migrated = Vec::new();
    let end = driver.now + duration;
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
        migrated(&mut driver, MIGRATE_FROM - SECOND / 10),
        [0; 0],
        "clients that ask again may still be sent to this router"
    );
    let migrated_streams = migrated(&mut driver, SECOND / 2);
    assert_eq!(
        migrated_streams,
        [6, 5, 4, 3, 2, 1, 0],
        "all streams are migrated well before the end, a few at a time and the newest first"
    );
}

/// Guards against streams that are broken off although their clients cannot request the rest.
#[test]
fn streams_whose_clients_cannot_resume_them_are_not_migrated() {
    let mut driver = driver(2, 3);
    let unresumable = RequestSpec {
        client_can_resume: false,
        ..request_spec(9, driver.now)
    };
    start_stream(&mut driver, unresumable);
    assert_eq!(migrated(&mut driver, 2 * RESPOND_BY), [2, 1, 0]);
}

/// Clients must not be sent to routers that serve no requests. Here the only other router began its
/// shutdown shortly before.
#[test]
fn streams_are_not_migrated_while_all_peers_are_shutting_down() {
    let mut driver = driver(2, 3);
    driver.deliver(Event::GossipReceived {
        from: 1,
        payload: vec![1],
    });
    assert_eq!(migrated(&mut driver, RESPOND_BY - SECOND / 10), [0; 0]);
    assert_eq!(
        migrated(&mut driver, SECOND / 5).len(),
        3,
        "at the end of the shutdown all streams are migrated"
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
        respond_by: driver.now + 9 * SECOND,
    });
    assert_eq!(migrated(&mut driver, 7 * SECOND).len(), 3);
}

/// A request whose prompt is still being processed at the end of the shutdown is rejected, and its
/// attempt is cancelled.
#[test]
fn requests_without_a_response_get_a_final_response_by_the_end() {
    let mut driver = driver(1, 0);
    let before = driver.advance(RESPOND_BY - SECOND / 10);
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
        "a request that arrives after the end is rejected"
    );
}

/// Guards against streams broken off, and peers notified, where streams are not resumable.
#[test]
fn only_requests_without_a_stream_are_ended_where_streams_are_not_resumable() {
    let settings = Settings {
        router_count: Some(2),
        router_index: Some(0),
        gossip: true,
        ..settings(Idempotency::NonIdempotent)
    };
    let endpoints = vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)];
    let mut driver = Driver::new(settings, endpoints).0;
    let request = request_spec(0, driver.now);
    start_stream(&mut driver, request);
    driver.arrive(request_spec(1, driver.now));
    driver.deliver(Event::ShutdownStarted {
        migrate_from: driver.now + MIGRATE_FROM,
        respond_by: driver.now + RESPOND_BY,
    });
    let actions = driver.advance(2 * RESPOND_BY);
    let is_notification = |action: &Action| matches!(action, Action::Gossip { .. });
    assert!(!actions.iter().any(|(_, action)| is_notification(action)));
    let ended: Vec<u32> = actions
        .iter()
        .filter_map(|(_, action)| ended(action))
        .collect();
    assert_eq!(ended, [1]);
}

/// The request that an action ends.
fn ended(action: &Action) -> Option<u32> {
    match action {
        Action::Migrate(id) | Action::Reject { id, .. } | Action::Fail(id) => Some(id.0),
        _ => None,
    }
}

/// If every router notified all others, the number of messages would grow with the square of the
/// number of routers. When 300 routers are restarted one after another, each would notify each of
/// the others 46 times, which would cost more than the requests.
#[test]
fn shutdown_gossip_grows_linearly_with_the_fleet_and_is_spread_evenly() {
    for (router_count, peer_count) in [(2, 1), (3, 2), (4, 3), (5, 3), (30, 3), (100, 3), (300, 3)]
    {
        let mut notifications = vec![0; router_count as usize];
        for router_index in 0..router_count {
            let settings = Settings {
                router_count: Some(router_count),
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
                migrate_from: driver.now + MIGRATE_FROM,
                respond_by: driver.now + RESPOND_BY,
            });
            let mut notified: Vec<u32> = Vec::new();
            for (_, action) in driver.advance(RESPOND_BY) {
                match action {
                    Action::Gossip { to: Some(to), .. } => notified.push(to),
                    Action::Gossip { to: None, .. } => panic!("gossip was sent to all routers"),
                    _ => {}
                }
            }
            assert_eq!(
                notified.len(),
                2 * peer_count,
                "each peer is notified twice, as any message may be lost"
            );
            notified.sort_unstable();
            notified.dedup();
            assert!(
                notified.len() == peer_count && !notified.contains(&router_index),
                "router {router_index} of {router_count} notified {notified:?}"
            );
            notified
                .iter()
                .for_each(|to| notifications[*to as usize] += 1);
        }
        assert!(
            notifications.iter().all(|n| *n == peer_count),
            "notifications of each of {router_count} routers: {notifications:?}"
        );
    }
}
