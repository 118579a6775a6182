//! The attempts of a request, the release of its KV state, and events that are unexpected or
//! malformed.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;

fn one_lane() -> Vec<EndpointSpec> {
    vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)]
}

#[test]
fn few_health_checks_are_sent_where_few_requests_arrive() {
    let with_health_checks = Settings {
        health_checks: true,
        load_reporting: LoadReporting::OnHealthCheck,
        ..settings(Idempotency::Idempotent)
    };
    let (mut driver, _) = Driver::new(
        with_health_checks,
        (0..40)
            .map(|endpoint| endpoint_spec(endpoint, 1, 0))
            .collect(),
    );
    let mut sent_checks = 0;
    for id in 0..20 {
        driver.arrive(request_spec(id, driver.now));
        sent_checks += driver
            .advance(SECOND)
            .iter()
            .filter(|(_, a)| matches!(a, Action::HealthCheck(_)))
            .count();
    }
    assert!(
        (1..=40).contains(&sent_checks),
        "{sent_checks} health checks were sent for 20 requests"
    );
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_fails_without_a_retry() {
    let (mut driver, _) = Driver::new(settings(Idempotency::NonIdempotent), one_lane());
    driver.arrive(request_spec(1, START));
    driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED));
    let actions = driver.deliver(attempt_ended(1, 1, DECODE, CONNECTION_RESET));
    assert_eq!(routes(&actions), vec![]);
    assert!(actions.contains(&Action::Fail(RequestId(1))), "{actions:?}");
    assert!(
        actions.contains(&Action::ReleaseState(RequestId(1))),
        "{actions:?}"
    );
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried_elsewhere() {
    let (mut driver, _) = Driver::new(
        settings(Idempotency::NonIdempotent),
        [one_lane(), vec![endpoint_spec(3, 1, 0)]].concat(),
    );
    driver.arrive(request_spec(1, START));
    let first = routes(&driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED)))[0].1;
    let actions = driver.deliver(attempt_ended(1, 1, first, UNREACHABLE));
    assert_eq!(routes(&actions), vec![(1, DECODE + 3 - first)]);
}

#[test]
fn a_keyed_request_is_retried_in_the_cell_where_it_may_have_been_executed() {
    let specs = vec![
        endpoint_spec(PREFILL, 0, 0),
        endpoint_spec(DECODE, 1, 0),
        endpoint_spec(3, 1, 1),
    ];
    let (mut driver, _) = Driver::new(settings(Idempotency::Keyed(KeyScope::Cell)), specs);
    driver.arrive(request_spec(1, START));
    driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED));
    let actions = driver.deliver(attempt_ended(1, 1, DECODE, CONNECTION_RESET));
    assert!(
        routes(&actions)
            .iter()
            .all(|(_, endpoint)| *endpoint == DECODE),
        "{actions:?}"
    );
}

#[test]
fn no_more_attempts_than_the_settings_allow() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    let mut all = driver.arrive(RequestSpec {
        deadline: START + 90 * SECOND,
        ..request_spec(1, START)
    });
    for attempt in 0..4 {
        all.extend(driver.deliver(attempt_ended(1, attempt, PREFILL, Outcome::ServerError)));
        all.extend(driver.advance(10 * SECOND).into_iter().map(|(_, a)| a));
    }
    assert_eq!(
        routes(&all).len(),
        3,
        "a fourth prefill would leave no attempt for the decode"
    );
    assert!(all.contains(&Action::Reject {
        id: RequestId(1),
        retry_after: 0
    }));
}

#[test]
fn kv_state_that_no_endpoint_fetches_is_released_within_its_lease() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    driver.arrive(request_spec(1, START));
    let specs = vec![EndpointSpec {
        state: EndpointState::Draining,
        ..endpoint_spec(DECODE, 1, 0)
    }];
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(specs)));
    assert_eq!(
        routes(&driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED))),
        vec![]
    );
    let before_expiry = driver.advance(SECOND / 2 - 1);
    assert!(
        before_expiry
            .iter()
            .any(|(_, a)| *a == Action::ReleaseState(RequestId(1))),
        "{before_expiry:?}"
    );
}

#[test]
fn a_timed_out_attempt_at_a_decode_endpoint_that_prefills_releases_its_state() {
    let settings = Settings {
        decode_can_prefill: true,
        ..settings(Idempotency::Idempotent)
    };
    let (mut driver, _) = Driver::new(settings, vec![endpoint_spec(DECODE, 1, 0)]);
    assert_eq!(
        routes(&driver.arrive(request_spec(1, START))),
        vec![(1, DECODE)]
    );
    let actions = driver.deliver(attempt_ended(1, 0, DECODE, Outcome::TimedOut));
    assert!(
        actions.contains(&Action::ReleaseState(RequestId(1))),
        "{actions:?}"
    );
}

#[test]
fn kv_state_of_a_disconnected_client_is_released() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    driver.arrive(request_spec(1, START));
    driver.deliver(Event::ClientDisconnected(RequestId(1)));
    let actions = driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED));
    assert_eq!(routes(&actions), vec![]);
    assert!(
        actions.contains(&Action::ReleaseState(RequestId(1))),
        "{actions:?}"
    );
}

#[test]
fn a_request_without_endpoints_is_rejected_by_its_deadline() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), vec![]);
    driver.arrive(request_spec(1, START));
    let taken = driver.advance(5 * SECOND);
    let rejections: Vec<_> = taken
        .iter()
        .filter(|(_, a)| matches!(a, Action::Reject { .. }))
        .collect();
    assert_eq!(rejections.len(), 1);
    assert!(rejections[0].0 <= START + 4 * SECOND + 8_000);
}

#[test]
fn a_prompt_whose_kv_state_is_gone_is_prefilled_again() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    driver.arrive(request_spec(1, START));
    driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED));
    let actions = driver.deliver(attempt_ended(1, 1, DECODE, NO_KV_STATE));
    assert_eq!(routes(&actions), vec![(1, PREFILL)]);
}

#[test]
fn actions_that_the_settings_forbid_are_never_taken() {
    let forbidden = Settings {
        slot_reservations: false,
        cancellation: false,
        ..settings(Idempotency::Idempotent)
    };
    let (mut driver, first) = Driver::new(forbidden, one_lane());
    let mut all = first;
    all.extend(driver.arrive(request_spec(1, START)));
    all.extend(driver.advance(3 * SECOND).into_iter().map(|(_, a)| a));
    assert!(!routes(&all).is_empty());
    let is_forbidden = |a: &Action| {
        matches!(
            a,
            Action::ReserveSlot { .. }
                | Action::HealthCheck(_)
                | Action::CancelAttempt { .. }
                | Action::Gossip { .. }
        ) || matches!(a, Action::Migrate(_) | Action::SubscribeEndpoints(_))
    };
    assert!(!all.iter().any(is_forbidden), "{all:?}");
}

#[test]
fn events_for_unknown_requests_and_endpoints_are_ignored() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    driver.arrive(request_spec(1, START));
    driver.arrive(request_spec(1, START));
    for outcome in [Outcome::Completed, PREFILLED, Outcome::TimedOut] {
        assert_eq!(
            routes(&driver.deliver(attempt_ended(9, 0, PREFILL, outcome))),
            vec![],
            "unknown request"
        );
        assert_eq!(
            routes(&driver.deliver(attempt_ended(1, 5, PREFILL, outcome))),
            vec![],
            "unknown attempt"
        );
    }
    let load = LoadReport {
        memory_utilization: Some(f64::NAN),
        slot_utilization: Some(-4.0),
        queued: Some(1e30),
        ..LoadReport::default()
    };
    for endpoint in [DECODE, 77] {
        driver.deliver(Event::HealthChecked {
            endpoint: EndpointId(endpoint),
            outcome: Outcome::Completed,
            elapsed: -1,
            load: Some(load),
        });
    }
    driver.deliver(Event::GossipReceived {
        from: 99,
        payload: vec![0xff; 300],
    });
    driver.deliver(Event::TimerFired(TimerKey::Request(RequestId(u32::MAX))));
    driver.deliver(Event::SlotReservationCompleted {
        id: RequestId(4),
        endpoint: EndpointId(77),
        granted: false,
    });
    assert_eq!(
        routes(&driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED))),
        vec![(1, DECODE)]
    );
    assert_eq!(
        routes(&driver.deliver(attempt_ended(1, 0, PREFILL, PREFILLED))),
        vec![],
        "the attempt ended twice"
    );
}

#[test]
fn malformed_load_reports_and_those_of_endpoints_not_on_the_list_change_nothing() {
    let specs = vec![
        endpoint_spec(PREFILL, 0, 0),
        endpoint_spec(DECODE, 1, 0),
        endpoint_spec(3, 0, 1),
        endpoint_spec(4, 1, 1),
    ];
    let lane_after = |reports: &[(u64, f64)]| {
        let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs.clone());
        for (endpoint, value) in reports {
            let load = Some(LoadReport {
                memory_utilization: Some(*value),
                slot_utilization: Some(*value),
                pending_kilotokens: Some(*value),
                ..LoadReport::default()
            });
            driver.deliver(Event::HealthChecked {
                endpoint: EndpointId(*endpoint),
                outcome: Outcome::Completed,
                elapsed: 1_000,
                load,
            });
        }
        routes(&driver.arrive(request_spec(1, START)))
    };
    let without_reports = lane_after(&[]);
    assert_eq!(without_reports.len(), 1);
    let malformed = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY];
    for value in malformed {
        let all: Vec<(u64, f64)> = [PREFILL, DECODE, 3, 4]
            .map(|endpoint| (endpoint, value))
            .to_vec();
        assert_eq!(lane_after(&all), without_reports, "reports of {value}");
    }
    assert_eq!(
        lane_after(&[(99, 0.5)]),
        without_reports,
        "an endpoint that is not on the endpoint list"
    );
}
