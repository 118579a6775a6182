//! Concurrency limits, and the cancellation of attempts that are taken for lost.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;

fn one_lane() -> Vec<EndpointSpec> {
    vec![endpoint_spec(PREFILL, 0, 0), endpoint_spec(DECODE, 1, 0)]
}

#[test]
fn overdue_prefills_lower_the_concurrency_limit() {
    let (mut driver, _) = Driver::new(settings(Idempotency::Idempotent), one_lane());
    let sent = |driver: &mut Driver, ids: std::ops::Range<u32>| -> usize {
        let now = driver.now;
        ids.map(|id| routes(&driver.arrive(request_spec(id, now))).len())
            .sum()
    };
    assert_eq!(sent(&mut driver, 0..6), 6);
    driver.advance(SECOND);
    assert_eq!(
        sent(&mut driver, 6..12),
        0,
        "its six overdue prefills exceed the lowered limit"
    );
}

#[test]
fn overdue_requests_lower_the_concurrency_limit_of_a_mixed_endpoint() {
    let (mut driver, _) = Driver::new(
        settings(Idempotency::Idempotent),
        vec![endpoint_spec(5, 2, 0)],
    );
    let sent = |driver: &mut Driver, ids: std::ops::Range<u32>| -> usize {
        let now = driver.now;
        ids.map(|id| routes(&driver.arrive(request_spec(id, now))).len())
            .sum()
    };
    assert_eq!(sent(&mut driver, 0..5), 5);
    driver.advance(SECOND);
    for id in 0..5 {
        driver.deliver(Event::StreamStarted {
            id: RequestId(id),
            attempt: 0,
            endpoint: EndpointId(5),
            elapsed: SECOND,
        });
    }
    assert_eq!(
        sent(&mut driver, 5..9),
        0,
        "its five streams exceed the limit, which fell as they began late"
    );
}

/// The requests whose attempts were cancelled, in order.
fn cancellations(actions: impl IntoIterator<Item = (Micros, Action)>) -> Vec<u32> {
    let cancelled_request = |(_, action): (Micros, Action)| match action {
        Action::CancelAttempt { id, .. } => Some(id.0),
        _ => None,
    };
    actions.into_iter().filter_map(cancelled_request).collect()
}

/// A connection can fall silent without an error. A prefill is therefore cancelled and retried once
/// its endpoint has responded to a request that was sent well after it. A prefill that no later
/// request has overtaken may just be slow, and is not cancelled.
#[test]
fn a_prefill_that_later_ones_have_overtaken_is_cancelled() {
    for is_overtaken in [true, false] {
        let (mut driver, _) = Driver::new(settings(Idempotency::NonIdempotent), one_lane());
        assert_eq!(
            routes(&driver.arrive(request_spec(1, START))),
            [(1, PREFILL)]
        );
        driver.advance(SECOND / 2);
        driver.arrive(request_spec(2, driver.now));
        if is_overtaken {
            driver.deliver(attempt_ended(2, 0, PREFILL, PREFILLED));
            driver.deliver(Event::StreamStarted {
                id: RequestId(2),
                attempt: 1,
                endpoint: EndpointId(DECODE),
                elapsed: 1,
            });
        }
        assert_eq!(
            cancellations(driver.advance(2 * SECOND)),
            if is_overtaken { vec![1] } else { vec![] }
        );
        let retry = routes(&driver.deliver(attempt_ended(1, 0, PREFILL, Outcome::Cancelled)));
        assert!(!is_overtaken || retry == [(1, PREFILL)]);
    }
}

/// An overtaken attempt at a decode endpoint is cancelled as well, but only if its request may be
/// executed twice.
#[test]
fn a_decode_that_later_ones_have_overtaken_is_cancelled_if_idempotent() {
    for (idempotency, cancelled) in [
        (Idempotency::Idempotent, vec![1]),
        (Idempotency::NonIdempotent, vec![]),
    ] {
        let (mut driver, _) = Driver::new(settings(idempotency), one_lane());
        driver.arrive(request_spec(1, START));
        driver.arrive(request_spec(2, START));
        for id in [1, 2] {
            driver.deliver(attempt_ended(id, 0, PREFILL, PREFILLED));
            driver.advance(SECOND / 3);
        }
        driver.deliver(Event::StreamStarted {
            id: RequestId(2),
            attempt: 1,
            endpoint: EndpointId(DECODE),
            elapsed: 1,
        });
        assert_eq!(cancellations(driver.advance(2 * SECOND)), cancelled);
    }
}

/// A machine may have failed without closing its connections: it responds neither to health checks
/// nor to requests.
#[test]
fn prefills_at_an_unresponsive_endpoint_are_cancelled() {
    let with_health_checks = Settings {
        health_checks: true,
        load_reporting: LoadReporting::OnHealthCheck,
        ..settings(Idempotency::Idempotent)
    };
    let (mut driver, _) = Driver::new(with_health_checks, one_lane());
    assert!(driver
        .arrive(request_spec(1, START))
        .contains(&Action::HealthCheck(EndpointId(PREFILL))));
    let health_checked = Event::HealthChecked {
        endpoint: EndpointId(PREFILL),
        outcome: Outcome::TimedOut,
        elapsed: 1,
        load: None,
    };
    driver.deliver(health_checked);
    assert_eq!(cancellations(driver.advance(SECOND)), [0; 0]);
    assert_eq!(cancellations(driver.advance(SECOND)), [1]);
}
