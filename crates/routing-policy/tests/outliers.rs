//! Ejection of endpoints that fail.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;

fn one_lane() -> Vec<EndpointSpec> {
    vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)]
}

#[test]
fn an_endpoint_that_fails_for_one_class_is_not_ejected_for_others() {
    let base = settings(Idempotency::Idempotent);
    let settings = Settings {
        classes: vec![base.classes[0].clone(), base.classes[0].clone()],
        ..base
    };
    let (mut driver, _) = Driver::new(settings, one_lane());
    driver.arrive(request_spec(1, START));
    driver.deliver(attempt_ended(1, 0, PREFILL, Outcome::ServerError));
    assert_eq!(
        routes(&driver.arrive(request_spec(2, START))),
        vec![],
        "the endpoint is ejected for the class that failed"
    );
    let other = RequestSpec {
        class: ClassId(1),
        ..request_spec(3, START)
    };
    assert_eq!(routes(&driver.arrive(other)), vec![(3, PREFILL)]);
}

#[test]
fn an_overloaded_endpoint_is_not_retried_at_once() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    driver.arrive(request_spec(1, START));
    assert_eq!(
        routes(&driver.deliver(attempt_ended(1, 0, PREFILL, OVERLOADED))),
        vec![]
    );
    let later: Vec<Action> = driver.advance(SECOND).into_iter().map(|(_, a)| a).collect();
    assert_eq!(
        routes(&later),
        vec![(1, PREFILL)],
        "the overloaded endpoint is retried later"
    );
}

#[test]
fn a_refused_connection_ejects_an_endpoint_at_once() {
    let specs = vec![
        endpoint_spec(1, 0, 0),
        endpoint_spec(2, 1, 0),
        endpoint_spec(3, 0, 0),
    ];
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs);
    let first = routes(&driver.arrive(request_spec(0, START)))[0].1;
    let second = routes(&driver.deliver(attempt_ended(0, 0, first, UNREACHABLE)))[0].1;
    assert_ne!(first, second);
    assert!((1..6).all(|id| routes(&driver.arrive(request_spec(id, START)))[0].1 == second));
}

/// An endpoint that fails at once looks idle and attracts all queued requests, so one success among
/// its errors does not end its ejection.
#[test]
fn a_success_among_errors_does_not_end_an_ejection() {
    let specs = vec![
        endpoint_spec(PREFILL, 0, 0),
        endpoint_spec(DECODE, 1, 0),
        endpoint_spec(3, 0, 0),
    ];
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), specs);
    let mut at_prefill = Vec::new();
    for id in 0..8 {
        let sends = routes(&driver.arrive(request_spec(id, driver.now)));
        at_prefill.extend(
            sends
                .iter()
                .filter(|(_, endpoint)| *endpoint == PREFILL)
                .map(|(id, _)| *id),
        );
    }
    assert!(at_prefill.len() >= 3, "{at_prefill:?}");
    let successful = at_prefill.pop().unwrap();
    at_prefill
        .iter()
        .for_each(|id| drop(driver.deliver(attempt_ended(*id, 0, PREFILL, Outcome::ServerError))));
    driver.deliver(attempt_ended(successful, 0, PREFILL, PREFILLED));
    assert_eq!(
        routes(&driver.arrive(request_spec(20, driver.now))),
        [(20, 3)]
    );
}

/// Guards against a client whose invalid requests make endpoints unavailable for all others.
#[test]
fn an_invalid_request_fails_at_once_and_does_not_eject_its_endpoint() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    driver.arrive(request_spec(1, START));
    let actions = driver.deliver(attempt_ended(1, 0, PREFILL, Outcome::InvalidRequest));
    assert!(actions.contains(&Action::Fail(RequestId(1))), "{actions:?}");
    assert_eq!(routes(&actions), vec![]);
    assert_eq!(
        routes(&driver.arrive(request_spec(2, START))),
        vec![(2, PREFILL)]
    );
}

/// Guards against a client whose short deadlines make endpoints unavailable for all others.
#[test]
fn a_deadline_that_is_too_short_does_not_eject_the_endpoint() {
    for outcome in [Outcome::TimedOut, UNREACHABLE] {
        let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
        driver.arrive(RequestSpec {
            deadline: START + 10_000,
            ..request_spec(1, START)
        });
        driver.advance(10_000);
        driver.deliver(attempt_ended(1, 0, PREFILL, outcome));
        let sends = routes(&driver.arrive(request_spec(2, driver.now)));
        assert!(sends.contains(&(2, PREFILL)), "{outcome:?}: {sends:?}");
    }
}

#[test]
fn an_endpoint_that_does_not_respond_in_the_usual_time_is_ejected() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    driver.arrive(request_spec(1, START));
    driver.advance(SECOND);
    driver.deliver(attempt_ended(1, 0, PREFILL, Outcome::TimedOut));
    let sends = routes(&driver.arrive(request_spec(2, driver.now)));
    assert_eq!(sends, vec![]);
}
