//! The choice of a request's lane by cells, slots, affinity, prompt lengths and kinds of endpoints.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;

#[test]
fn decode_endpoints_of_a_skewed_cell_do_not_stand_idle() {
    // One cell has two prefill endpoints and one decode endpoint, the other one prefill endpoint
    // and three decode endpoints.
    let cells = [
        (1, 0, 0),
        (2, 0, 0),
        (3, 1, 0),
        (4, 0, 1),
        (5, 1, 1),
        (6, 1, 1),
        (7, 1, 1),
    ];
    let specs: Vec<EndpointSpec> = cells
        .iter()
        .map(|(endpoint, kind, cell)| endpoint_spec(*endpoint, *kind, *cell))
        .collect();
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs);
    let mut served = [0; 8];
    for id in 0..240 {
        let session = Some(SessionId(u64::from(id)));
        for (id, prefill) in routes(&driver.arrive(RequestSpec {
            session,
            ..request_spec(id, driver.now)
        })) {
            for (id, decode) in routes(&driver.deliver(attempt_ended(id, 0, prefill, PREFILLED))) {
                served[decode as usize] += 1;
                driver.deliver(Event::StreamStarted {
                    id: RequestId(id),
                    attempt: 1,
                    endpoint: EndpointId(decode),
                    elapsed: 1,
                });
                driver.deliver(attempt_ended(id, 1, decode, Outcome::Completed));
            }
        }
        driver.advance(SECOND / 10);
    }
    assert!(
        served[3] < 120,
        "one of four decode endpoints serves half of all requests: {served:?}"
    );
    assert!(served[5..].iter().all(|n| *n > 30), "{served:?}");
}

#[test]
fn a_refused_slot_reservation_is_followed_by_one_elsewhere() {
    let specs = vec![
        endpoint_spec(PREFILL, 0, 0),
        endpoint_spec(DECODE, 1, 0),
        endpoint_spec(3, 1, 0),
    ];
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs);
    let reserved_at = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::ReserveSlot { endpoint, .. } => Some(endpoint.0),
            _ => None,
        })
    };
    let first = reserved_at(&driver.arrive(request_spec(1, START))).expect("a slot is reserved");
    let not_granted = Event::SlotReservationCompleted {
        id: RequestId(1),
        endpoint: EndpointId(PREFILL),
        granted: false,
    };
    let second = reserved_at(&driver.deliver(not_granted)).expect("another slot is reserved");
    assert_eq!(second, DECODE + 3 - first);
    assert_eq!(
        routes(&driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED))),
        vec![(1, second)]
    );
}

#[test]
fn a_session_returns_to_the_endpoint_with_its_cached_prompt() {
    let specs = vec![
        endpoint_spec(1, 0, 0),
        endpoint_spec(2, 1, 0),
        endpoint_spec(3, 0, 0),
    ];
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs);
    for session in 0..8 {
        let turn = |id| RequestSpec {
            session: Some(SessionId(session)),
            ..request_spec(id, START)
        };
        let first = session as u32 * 2;
        let prefill = routes(&driver.arrive(turn(first)))[0].1;
        driver.deliver(attempt_ended(first, 0, prefill, PREFILLED));
        driver.deliver(attempt_ended(first, 1, 2, Outcome::Completed));
        assert_eq!(
            routes(&driver.arrive(turn(first + 1))),
            vec![(first + 1, prefill)]
        );
        driver.deliver(attempt_ended(first + 1, 0, prefill, PREFILLED));
        driver.deliver(attempt_ended(first + 1, 1, 2, Outcome::Completed));
    }
}

#[test]
fn new_routers_agree_on_the_affinity_target_of_a_session() {
    let specs = || {
        vec![
            endpoint_spec(1, 0, 0),
            endpoint_spec(2, 1, 0),
            endpoint_spec(3, 0, 0),
        ]
    };
    let target = |seed: u64, session: u64| {
        let mut policy = Policy::new(settings(Idempotency::Idempotent), seed, START);
        let mut out = Vec::new();
        policy.handle(
            START,
            Event::EndpointsUpdated(EndpointUpdate::Restored(specs())),
            &mut out,
        );
        let spec = RequestSpec {
            session: Some(SessionId(session)),
            ..request_spec(1, START)
        };
        policy.handle(START, Event::RequestArrived(spec), &mut out);
        routes(&out)[0].1
    };
    let targets: Vec<u64> = (0..32).map(|s| target(1, s * 7919)).collect();
    assert_eq!(
        targets,
        (0..32).map(|s| target(2, s * 7919)).collect::<Vec<_>>()
    );
    assert!(
        targets.contains(&1) && targets.contains(&3),
        "sessions are spread over both prefill endpoints"
    );
}

#[test]
fn a_restart_voids_the_prefix_cache_of_an_endpoint() {
    let specs = vec![
        endpoint_spec(1, 0, 0),
        endpoint_spec(2, 1, 0),
        endpoint_spec(3, 0, 0),
    ];
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs);
    let prefix = |id| RequestSpec {
        shared_prefix: Some(PrefixId(9)),
        shared_prefix_tokens: 900,
        ..request_spec(id, START)
    };
    let prefill = routes(&driver.arrive(prefix(0)))[0].1;
    driver.deliver(attempt_ended(0, 0, prefill, PREFILLED));
    driver.deliver(attempt_ended(0, 1, 2, Outcome::Completed));
    let restarted = EndpointSpec {
        started_at: Some(START - 60 * SECOND),
        ..endpoint_spec(prefill, 0, 0)
    };
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![
        restarted,
    ])));
    // Nothing is cached any more, so the prefill endpoints have equal scores and requests with the
    // same shared prefix go to both.
    let mut seen = std::collections::BTreeSet::new();
    for id in 1..30 {
        let at = routes(&driver.arrive(RequestSpec {
            shared_prefix_tokens: 0,
            ..prefix(id)
        }))[0]
            .1;
        seen.insert(at);
        driver.deliver(attempt_ended(id, 0, at, PREFILLED));
        driver.deliver(attempt_ended(id, 1, 2, Outcome::Completed));
    }
    assert_eq!(seen.len(), 2);
}

#[test]
fn a_huge_prompt_weighs_more_than_a_small_one() {
    let specs = vec![
        endpoint_spec(1, 0, 0),
        endpoint_spec(2, 1, 0),
        endpoint_spec(3, 0, 0),
    ];
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs);
    let first = routes(&driver.arrive(request_spec(0, START)))[0].1;
    driver.deliver(attempt_ended(0, 0, first, PREFILLED));
    driver.deliver(attempt_ended(0, 1, 2, Outcome::Completed));
    let huge = routes(&driver.arrive(RequestSpec {
        prompt_tokens: 30_000,
        ..request_spec(1, START)
    }))[0]
        .1;
    let small: Vec<u64> = (2..5)
        .map(|id| routes(&driver.arrive(request_spec(id, START)))[0].1)
        .collect();
    assert!(
        small.iter().all(|prefill| *prefill != huge),
        "small prompts went to endpoints {small:?}, the huge one to {huge}"
    );
}

#[test]
fn prefill_endpoints_of_a_cell_without_decode_endpoints_are_used_under_load() {
    let specs = vec![
        endpoint_spec(1, 0, 0),
        endpoint_spec(2, 1, 0),
        endpoint_spec(3, 0, 1),
    ];
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs);
    let at: Vec<u64> = (0..6)
        .map(|id| routes(&driver.arrive(request_spec(id, START)))[0].1)
        .collect();
    assert!(at.contains(&1) && at.contains(&3), "{at:?}");
}

#[test]
fn balanced_cells_keep_lanes_within_them() {
    let specs = vec![
        endpoint_spec(1, 0, 0),
        endpoint_spec(2, 1, 0),
        endpoint_spec(3, 0, 1),
        endpoint_spec(4, 1, 1),
    ];
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs);
    for id in 0..40 {
        let actions = driver.arrive(request_spec(id, driver.now));
        let prefill = routes(&actions)[0].1;
        assert!(
            actions.contains(&Action::ReserveSlot {
                id: RequestId(id),
                endpoint: EndpointId(prefill + 1)
            }),
            "{actions:?}"
        );
        driver.deliver(attempt_ended(id, 0, prefill, PREFILLED));
        driver.deliver(Event::StreamStarted {
            id: RequestId(id),
            attempt: 1,
            endpoint: EndpointId(prefill + 1),
            elapsed: 1,
        });
        driver.deliver(attempt_ended(id, 1, prefill + 1, Outcome::Completed));
    }
}

/// Endpoints of other kinds do not have the model of the request, so it does not go there even if
/// all endpoints that have the model are ejected.
#[test]
fn a_request_goes_only_to_the_kinds_that_it_allows() {
    let specs = vec![
        endpoint_spec(1, 2, 0),
        endpoint_spec(2, 0, 0),
        endpoint_spec(3, 1, 0),
        endpoint_spec(4, 2, 0),
    ];
    let only_mixed = |id, now| RequestSpec {
        allowed_kinds: Some(1 << 2),
        ..request_spec(id, now)
    };
    let sent = |allowed_kinds: Option<u64>| {
        let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs.clone());
        let mut endpoints = Vec::new();
        // No attempt ends, so each request goes to the endpoint with the most spare capacity.
        for id in 0..40 {
            let now = driver.now;
            endpoints.extend(
                routes(&driver.arrive(RequestSpec {
                    allowed_kinds,
                    ..request_spec(id, now)
                }))
                .iter()
                .map(|(_, endpoint)| *endpoint),
            );
            driver.advance(SECOND / 50);
        }
        endpoints.sort_unstable();
        endpoints.dedup();
        endpoints
    };
    assert_eq!(
        (sent(None), sent(Some(1 << 2))),
        (vec![1, 2, 4], vec![1, 4])
    );
    // No endpoint of the allowed kind is on the endpoint list: the request waits and is rejected by
    // its deadline.
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs[1..3].to_vec());
    let now = driver.now;
    let mut actions = driver.arrive(only_mixed(1, now));
    actions.extend(
        driver
            .advance(4 * SECOND)
            .into_iter()
            .map(|(_, action)| action),
    );
    assert_eq!(routes(&actions), vec![]);
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { .. })));
}
