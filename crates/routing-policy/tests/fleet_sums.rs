//! The effect of all routers together: what they send to a cold endpoint, and which requests are
//! served.

mod common;

use common::fleet::*;
use common::*;

const PREFILL_ENDPOINTS: [u64; 5] = [2, 4, 6, 8, 10];
const DECODE_ENDPOINTS: [u64; 5] = [1, 3, 5, 7, 9];
const COLD_PREFILL_ENDPOINT: u64 = 20;
const COLD_DECODE_ENDPOINT: u64 = 21;

/// The values in `settings`: an endpoint is overloaded when it is sent 2.5 times its present
/// capacity for 2 s, and it starts with a quarter of its capacity.
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_WINDOW: i64 = 2 * SECOND;
const COLD_CAPACITY: f64 = 0.25;

fn endpoints() -> Vec<cranetack_routing_policy::EndpointSpec> {
    PREFILL_ENDPOINTS
        .iter()
        .chain(&DECODE_ENDPOINTS)
        .map(|endpoint_id| warm(*endpoint_id))
        .collect()
}

/// The number of requests that a cold endpoint may be sent in one overload window, where a warm one
/// has a capacity of `capacity` requests per second. Two standard deviations allow for chance.
fn budget(capacity: f64) -> usize {
    let allowed =
        OVERLOAD_MULTIPLE * COLD_CAPACITY * capacity * OVERLOAD_WINDOW as f64 / SECOND as f64;
    (allowed + 2.0 * allowed.sqrt() + 2.0) as usize
}

/// The limit applies to the sum over all routers, whether there is one router or hundreds, whether
/// they have just started or one gets several times the load of each other, and during a burst.
#[test]
fn all_routers_together_keep_a_cold_endpoint_within_its_budget() {
    for routers in [1, 3, 20, 30, 300] {
        let normal_load = Load {
            rate: 50.0,
            load_of_first_router: 5.0,
            longest_prompt: 6_000,
        };
        let mut fleet = Fleet::new(routers, &endpoints(), 7);
        fleet.run(15 * SECOND, normal_load);
        let started = fleet.now;
        for endpoint_id in [COLD_PREFILL_ENDPOINT, COLD_DECODE_ENDPOINT] {
            fleet.update_endpoint(cold(endpoint_id, started));
        }
        fleet.run(2 * SECOND, normal_load);
        fleet.run(
            4 * SECOND,
            Load {
                rate: 2.0 * normal_load.rate,
                ..normal_load
            },
        );
        // Warm endpoints are used to four fifths of their capacity.
        let capacity = 1.25 * normal_load.rate / PREFILL_ENDPOINTS.len() as f64;
        for endpoint_id in [COLD_PREFILL_ENDPOINT, COLD_DECODE_ENDPOINT] {
            let sent = fleet.sent.get(&endpoint_id).map_or(&[][..], Vec::as_slice);
            // In the first 4 s the capacity of the endpoint has hardly grown.
            let early: Vec<_> = sent
                .iter()
                .copied()
                .filter(|at| *at < started + 4 * SECOND)
                .collect();
            let most = max_count_within(&early, OVERLOAD_WINDOW);
            assert!(
                most <= budget(capacity),
                "{most} sends to endpoint {endpoint_id} within a window from {routers} routers"
            );
        }
        let prefills = fleet.sent.get(&COLD_PREFILL_ENDPOINT).map_or(0, Vec::len);
        assert!(
            prefills > 0,
            "{routers} routers sent nothing to the cold prefill endpoint"
        );
    }
}

/// With spare capacity, at most one request in a hundred is rejected, at most one of the longest
/// prompts, and never all requests of a session, even if one router gets several times the load of
/// each other.
#[test]
fn a_fleet_with_spare_capacity_rejects_hardly_any_request() {
    for routers in [3, 30] {
        // At this rate the prefill endpoints are busy for two fifths of the time.
        let light_load = Load {
            rate: 20.0,
            load_of_first_router: 5.0,
            longest_prompt: 6_000,
        };
        let mut fleet = Fleet::new(routers, &endpoints(), 11);
        fleet.run(40 * SECOND, light_load);
        let rejected: Vec<_> = fleet
            .records
            .iter()
            .filter(|record| record.rejected)
            .collect();
        assert!(
            rejected.len() * 100 <= fleet.records.len(),
            "{} of {} requests were rejected",
            rejected.len(),
            fleet.records.len()
        );
        assert_eq!(
            sessions_always_rejected(&fleet.records),
            0,
            "all requests of some sessions were rejected by {routers} routers"
        );
        let long = rejected
            .iter()
            .filter(|record| record.prompt_tokens > 4_000)
            .count();
        assert!(
            long <= 1,
            "{long} of the longest prompts were rejected by {routers} routers"
        );
    }
}

/// Of the tenth of the requests with the longest prompts, the share that is served is at least half
/// of the share of all requests that is served.
#[test]
fn an_overloaded_fleet_serves_long_prompts_too() {
    for routers in [3, 30] {
        let overload = Load {
            rate: 110.0,
            load_of_first_router: 3.0,
            longest_prompt: 6_000,
        };
        let mut fleet = Fleet::new(routers, &endpoints(), 13);
        fleet.run(30 * SECOND, overload);
        let share = |records: &[Record]| {
            records.iter().filter(|record| record.has_response).count() as f64
                / records.len() as f64
        };
        // Requests of the last 5 s may still be waiting, so they are not counted.
        let settled = fleet.records.len() * 25 / 30;
        let mut records = fleet.records[..settled].to_vec();
        let all = share(&records);
        records.sort_by_key(|record| record.prompt_tokens);
        let longest = share(&records[records.len() * 9 / 10..]);
        assert!(
            all < 0.95,
            "a share of {all} was served: the fleet is not overloaded"
        );
        assert!(
            longest >= all / 2.0,
            "served by {routers} routers: {longest} of the longest prompts, {all} of all"
        );
    }
}
