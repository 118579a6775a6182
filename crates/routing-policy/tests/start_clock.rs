//! Starts of endpoints are told as points on a clock that all machines share; the router's own may
//! have been stepped before its process began. A start that a watch brings as news is known to be
//! recent, whatever the two clocks say.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL_ENDPOINTS: std::ops::Range<u64> = 1..5;
const NEW: u64 = 9;
const HOUR: Micros = 3_600 * SECOND;

/// How many reads a prefill endpoint is sent in the two seconds after the list has told that it is
/// new, by a router whose own clock is `ahead` of the one on which starts are told, and which has
/// served for a while.
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
    driver.advance(HOUR + HOUR / 10); // so that a start an hour before it is a point on the clock
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Snapshot(specs)));
    let mut next = 0;
    let mut sent = 0;
    let mut serve = |driver: &mut Driver, spans: usize, counts: bool| {
        for _ in 0..spans {
            driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![])));
            next += 1;
            for (id, prefill) in routes(&driver.arrive(request_spec(next, driver.now))) {
                sent += usize::from(counts && prefill == NEW);
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
        ..endpoint_spec(NEW, 0, 0)
    };
    driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![new])));
    serve(&mut driver, 100, true);
    sent
}

/// An endpoint in slow start must not count as warm (own clock ahead), or as not yet started for an
/// hour (own clock behind).
#[test]
fn a_start_received_through_a_watch_is_recent_whatever_the_own_clock_says() {
    let right = prefills_at_a_new_endpoint(0);
    assert!(right > 0, "a cold endpoint gets its part");
    for ahead in [HOUR, 5 * SECOND, -5 * SECOND, -HOUR] {
        assert_eq!(
            prefills_at_a_new_endpoint(ahead),
            right,
            "own clock ahead by {} s",
            ahead / SECOND
        );
    }
}
