//! What all routers do together: what a cold endpoint is sent, and who is answered.

mod common;

use common::fleet::*;
use common::*;

const PREFILL_ENDPOINTS: [u64; 5] = [2, 4, 6, 8, 10];
const WRITERS: [u64; 5] = [1, 3, 5, 7, 9];
const COLD_READER: u64 = 20;
const COLD_WRITER: u64 = 21;

/// `settings`: an endpoint falls when it gets 2.5 times its present capacity for 2 s; it starts at
/// a quarter.
const FALL_MULTIPLE: f64 = 2.5;
const FALL_WINDOW: i64 = 2 * SECOND;
const START_CAPACITY: f64 = 0.25;

fn servers() -> Vec<cranetack_routing_policy::EndpointSpec> {
    PREFILL_ENDPOINTS
        .iter()
        .chain(&WRITERS)
        .map(|server| warm(*server))
        .collect()
}

/// What a cold endpoint may be sent in one window, where warm ones bear so many requests a second.
fn budget(capacity: f64) -> usize {
    let allowed = FALL_MULTIPLE * START_CAPACITY * capacity * FALL_WINDOW as f64 / SECOND as f64;
    (allowed + 2.0 * allowed.sqrt() + 2.0) as usize
}

/// The rule counts what all routers send in sum, whether they are one or hundreds, have just
/// started or get several times the mean, also during a burst.
#[test]
fn all_routers_together_keep_a_cold_endpoint_within_its_budget() {
    for routers in [1, 3, 20, 30, 300] {
        let calm = Load {
            rate: 50.0,
            load_of_first_router: 5.0,
            longest_prompt: 6_000,
        };
        let mut fleet = Fleet::new(routers, &servers(), 7);
        fleet.run(15 * SECOND, calm);
        let started = fleet.now;
        for server in [COLD_READER, COLD_WRITER] {
            fleet.list(cold(server, started));
        }
        fleet.run(2 * SECOND, calm);
        fleet.run(
            4 * SECOND,
            Load {
                rate: 2.0 * calm.rate,
                ..calm
            },
        );
        // Warm endpoints are used to four fifths.
        let capacity = 1.25 * calm.rate / PREFILL_ENDPOINTS.len() as f64;
        for server in [COLD_READER, COLD_WRITER] {
            let sent = fleet.sent.get(&server).map_or(&[][..], Vec::as_slice);
            // Its capacity has hardly grown yet.
            let early: Vec<_> = sent
                .iter()
                .copied()
                .filter(|at| *at < started + 4 * SECOND)
                .collect();
            let most = most_within(&early, FALL_WINDOW);
            assert!(
                most <= budget(capacity),
                "{most} at server {server} from {routers} routers"
            );
        }
        let prefill = fleet.sent.get(&COLD_READER).map_or(0, Vec::len);
        assert!(
            prefill > 0,
            "the cold endpoint gets nothing from {routers} routers"
        );
    }
}

/// With spare capacity neither the longest prompts nor all turns of a session are rejected, at a
/// router that gets several times the mean either.
#[test]
fn a_fleet_with_spare_capacity_rejects_nothing() {
    for routers in [3, 30] {
        // The prefill endpoints are busy for two fifths of the time.
        let quiet = Load {
            rate: 20.0,
            load_of_first_router: 5.0,
            longest_prompt: 6_000,
        };
        let mut fleet = Fleet::new(routers, &servers(), 11);
        fleet.run(40 * SECOND, quiet);
        let refused: Vec<_> = fleet
            .records
            .iter()
            .filter(|record| record.refused)
            .collect();
        assert!(
            refused.len() * 100 <= fleet.records.len(),
            "{} of {}",
            refused.len(),
            fleet.records.len()
        );
        assert_eq!(
            sessions_always_rejected(&fleet.records),
            0,
            "{routers} routers"
        );
        let long = refused
            .iter()
            .filter(|record| record.prompt_tokens > 4_000)
            .count();
        assert!(
            long <= 1,
            "{long} of the longest prompts were rejected by {routers} routers"
        );
    }
}

/// Of the tenth of requests with the longest prompts at least half as large a share is served as of
/// all.
#[test]
fn an_overloaded_fleet_serves_long_prompts_too() {
    for routers in [3, 30] {
        let overload = Load {
            rate: 110.0,
            load_of_first_router: 3.0,
            longest_prompt: 6_000,
        };
        let mut fleet = Fleet::new(routers, &servers(), 13);
        fleet.run(30 * SECOND, overload);
        let share = |records: &[Record]| {
            records.iter().filter(|record| record.answered).count() as f64 / records.len() as f64
        };
        // Those of the last seconds are still waiting.
        let asked = fleet.records.len() * 25 / 30;
        let mut records = fleet.records[..asked].to_vec();
        let all = share(&records);
        records.sort_by_key(|record| record.prompt_tokens);
        let longest = share(&records[records.len() * 9 / 10..]);
        assert!(all < 0.95, "{all}: it is no overload");
        assert!(
            longest >= all / 2.0,
            "{longest} of the longest, {all} of all, {routers} routers"
        );
    }
}
