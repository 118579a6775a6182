//! How many requests endpoints in slow start are sent.

mod common;

use common::*;
use cranetack_routing_policy::*;

const PREFILL: u64 = 1;
const DECODE: u64 = 2;

/// Returns the number of sends to a restarted prefill endpoint during 12 s of its warm-up, and the
/// largest ratio of its sends within two seconds to what it can bear. The sends are those of all
/// `router_count` routers together, each of which sends one request per second, before the restart
/// and after it. Two further prefill endpoints stay warm.
fn most_sends_to_a_cold_endpoint(router_count: u32) -> (usize, f64) {
    let mut times = Vec::new();
    for router_index in 0..router_count {
        let settings = Settings {
            router_count: Some(router_count),
            router_index: Some(router_index),
            ..settings(Idempotency::Idempotent)
        };
        let specs = vec![
            endpoint_spec(PREFILL, 0, 0),
            endpoint_spec(3, 0, 0),
            endpoint_spec(4, 0, 0),
            endpoint_spec(DECODE, 1, 0),
        ];
        let (mut driver, _) = Driver::with_seed(settings, specs, u64::from(router_index) + 1);
        let serve = |driver: &mut Driver, id: u32| {
            let sent = routes(&driver.arrive(request_spec(id, driver.now)));
            for (id, endpoint) in &sent {
                driver.deliver(attempt_ended(*id, 0, *endpoint, PREFILLED));
                driver.deliver(Event::StreamStarted {
                    id: RequestId(*id),
                    attempt: 1,
                    endpoint: EndpointId(DECODE),
                    elapsed: 1,
                });
                driver.deliver(attempt_ended(*id, 1, DECODE, Outcome::Completed));
            }
            driver.advance(SECOND);
            sent
        };
        (0..10).for_each(|id| drop(serve(&mut driver, id)));
        let cold = EndpointSpec {
            started_at: Some(driver.now),
            ..endpoint_spec(PREFILL, 0, 0)
        };
        driver.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![cold])));
        for id in 10..22 {
            let at = driver.now;
            let to_cold = serve(&mut driver, id)
                .iter()
                .filter(|(_, endpoint)| *endpoint == PREFILL)
                .count();
            times.extend(vec![at; to_cold]);
        }
    }
    let bearable_sends = |t: Micros| {
        let warm_fraction = 0.25 + 0.75 * (t - START - 10 * SECOND) as f64 / (13 * SECOND) as f64;
        (2.0 * f64::from(router_count) / 2.0 * 2.5 * warm_fraction).max(1.0)
    };
    let sent = |t: Micros| {
        times
            .iter()
            .filter(|u| (t..t + 2 * SECOND).contains(u))
            .count()
    };
    let worst = times
        .iter()
        .map(|t| sent(*t) as f64 / bearable_sends(*t))
        .fold(0.0, f64::max);
    (times.len(), worst)
}

#[test]
fn many_routers_together_do_not_overload_a_restarted_endpoint() {
    // Each of the two warm prefill endpoints carries half of all requests meanwhile. In two
    // seconds, the cold one can bear 2.5 times what a warm one carries, times its warm fraction.
    // That fraction is 0.25 at first and 1 after 13 s.
    for router_count in [3, 120] {
        let (sent, worst) = most_sends_to_a_cold_endpoint(router_count);
        assert!(
            worst <= 1.0,
            "{router_count} routers made {sent} sends, up to {worst} of what it can bear"
        );
    }
    // The restarted endpoint gets a good part of what it can bear, else the warm ones would carry
    // all requests.
    let (sent, _) = most_sends_to_a_cold_endpoint(120);
    assert!(
        sent > 120,
        "only {sent} sends to the restarted endpoint in 12 s"
    );
}

#[test]
fn a_new_router_sends_no_burst_to_a_restarted_endpoint() {
    for router_count in [None, Some(0), Some(3), Some(300)] {
        let cold = EndpointSpec {
            started_at: Some(START - 1),
            ..endpoint_spec(PREFILL, 0, 0)
        };
        let settings = Settings {
            router_count,
            ..settings(Idempotency::Idempotent)
        };
        let (mut driver, _) = Driver::new(settings, vec![cold, endpoint_spec(DECODE, 1, 0)]);
        let sent: usize = (0..20)
            .map(|id| routes(&driver.arrive(request_spec(id, START))).len())
            .sum();
        assert!(
            sent <= 1,
            "{sent} sends at once by one of {router_count:?} routers"
        );
    }
}
