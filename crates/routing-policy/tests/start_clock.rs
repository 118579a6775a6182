//! The starts of endpoints are given on a clock that all machines share; the router's own clock may
//! have been stepped before its process began. A start that a watch reports as new is known to be
//! recent, whatever the difference between the two clocks.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL_ENDPOINTS: std::ops::Range<u64> = 1..5;
const NEW_ENDPOINT: u64 = 9;
const HOUR: Micros = 3_600 * SECOND;

/// Returns the number of prefills that a router sends to an endpoint in the two seconds after the
/// list has reported it as new. The router has served for a while, and its own clock is ahead of
/// the one on which starts are given, by `ahead`.
fn prefills_at_a_new_endpoint(ahead: Micros) -> usize {
    let settings = Settings {
        router_count: Some(1),
        ..settings(Idempotency::Idempotent)
    };
    let mut specs: Vec<EndpointSpec> = PREFILL_ENDPOINTS
        .map(|endpoint| endpoint_spec(endpoint, 0, 0))
        .collect();
    specs.push(endpoint_spec(20, 1, 0));
    let (mut driver, _) = Driver::new(settings, specs.clone());
    driver.advance(HOUR + HOUR / 10); // a start an hour earlier must be a positive time
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Snapshot(specs)));
    let mut last_id = 0;
    let mut sent = 0;
    let mut serve = |driver: &mut Driver, steps: usize, is_counted: bool| {
        for _ in 0..steps {
            driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![])));
            last_id += 1;
            for (id, prefill) in routes(&driver.arrive(request_spec(last_id, driver.now))) {
                sent += usize::from(is_counted && prefill == NEW_ENDPOINT);
                for (id, decode) in
                    routes(&driver.deliver(attempt_ended(id, 0, prefill, PREFILLED)))
                {
                    let (id, endpoint) = (RequestId(id), EndpointId(decode));
                    driver.deliver(Event::StreamStarted {
                        id,
                        attempt: 1,
                        endpoint,
                        elapsed: 1,
                    });
                    driver.deliver(attempt_ended(id.0, 1, decode, Outcome::Completed));
                }
            }
            driver.advance(SECOND / 50);
        }
    };
    serve(&mut driver, 500, false);
    let started = driver.now - ahead - SECOND / 10;
    let new = EndpointSpec {
        started_at: Some(started),
        ..endpoint_spec(NEW_ENDPOINT, 0, 0)
    };
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![new])));
    serve(&mut driver, 100, true);
    sent
}

/// An endpoint in slow start must not count as warm where the router's own clock is ahead, or as
/// not yet started for an hour where it is behind.
#[test]
fn a_start_received_through_a_watch_is_recent_whatever_the_routers_clock_says() {
    let right = prefills_at_a_new_endpoint(0);
    assert!(right > 0, "a cold endpoint is sent some requests");
    for ahead in [HOUR, 5 * SECOND, -5 * SECOND, -HOUR] {
        assert_eq!(
            prefills_at_a_new_endpoint(ahead),
            right,
            "number of prefills with the router's own clock ahead by {} s",
            ahead / SECOND
        );
    }
}
