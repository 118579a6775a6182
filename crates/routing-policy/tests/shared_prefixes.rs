//! Prefixes that many sessions share are prefilled at few endpoints, on which the routers agree
//! without messages.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use cranetack_routing_policy::*;

const PREFILL_ENDPOINTS: u64 = 20;
const PREFIX_TOKENS: u64 = 4_000;
const TURN_TOKENS: u64 = 1_000;

/// The routers of one fleet, each with a seed of its own, and prefill endpoints that cache all
/// prefixes that they have processed.
struct Fleet {
    drivers: Vec<Driver>,
    /// The shared prefixes that each prefill endpoint has cached.
    cached: BTreeMap<u64, BTreeSet<u64>>,
    request_count: u32,
    /// The number of tokens that were processed.
    processed_tokens: u64,
    /// The number of processed tokens that belong to shared prefixes.
    processed_prefix_tokens: u64,
}

impl Fleet {
    fn new(routers: u32) -> Fleet {
        Fleet::with(routers, PREFILL_ENDPOINTS)
    }

    fn with(routers: u32, prefill_endpoints: u64) -> Fleet {
        let prefill_endpoints =
            (1..=prefill_endpoints).map(|endpoint| endpoint_spec(endpoint, 0, 0));
        let specs: Vec<EndpointSpec> = prefill_endpoints
            .chain([endpoint_spec(100, 1, 0)])
            .collect();
        let driver = |router_index: u32| {
            let settings = Settings {
                router_count: Some(routers),
                router_index: Some(router_index),
                ..settings(Idempotency::Idempotent)
            };
            Driver::with_seed(settings, specs.clone(), u64::from(router_index) + 1).0
        };
        Fleet {
            drivers: (0..routers).map(driver).collect(),
            cached: BTreeMap::new(),
            request_count: 0,
            processed_tokens: 0,
            processed_prefix_tokens: 0,
        }
    }

    /// Serves the first request of a new session with this shared prefix, at the next router in
    /// turn. Returns its prefill endpoint.
    fn arrive(&mut self, prefix: u64) -> u64 {
        let id = self.request_count;
        let turn = id as usize % self.drivers.len();
        let driver = &mut self.drivers[turn];
        self.request_count += 1;
        let request = RequestSpec {
            session: Some(SessionId(u64::from(id) * 7_919 + 1)),
            shared_prefix: Some(PrefixId(prefix * 104_729 + 5)),
            prompt_tokens: PREFIX_TOKENS + TURN_TOKENS,
            shared_prefix_tokens: PREFIX_TOKENS,
            ..request_spec(id, driver.now)
        };
        let sent = routes(&driver.arrive(request));
        let prefill = sent[0].1;
        let is_cached = !self.cached.entry(prefill).or_default().insert(prefix);
        self.processed_prefix_tokens += if is_cached { 0 } else { PREFIX_TOKENS };
        self.processed_tokens += TURN_TOKENS + if is_cached { 0 } else { PREFIX_TOKENS };
        driver.advance(10_000);
        let decodes = routes(&driver.deliver(attempt_ended(id, 0, prefill, PREFILLED)));
        assert_eq!(decodes, vec![(id, 100)]);
        driver.deliver(Event::StreamStarted {
            id: RequestId(id),
            attempt: 1,
            endpoint: EndpointId(100),
            elapsed: 1,
        });
        driver.deliver(attempt_ended(id, 1, 100, Outcome::Completed));
        driver.advance(SECOND);
        prefill
    }

    fn endpoints_with(&self, prefix: u64) -> usize {
        self.cached
            .values()
            .filter(|prefixes| prefixes.contains(&prefix))
            .count()
    }
}

/// With hundreds of routers, each sees a shared prefix once or never, and affinity targets drawn by
/// session alone would spread it over all prefill endpoints.
#[test]
fn an_unpopular_prefix_is_prefilled_at_few_endpoints_by_all_routers() {
    let mut fleet = Fleet::new(100);
    for turn in 0..2_000 {
        // Each shared prefix arrives at all routers in turn.
        fleet.arrive((turn + turn / 100) % 100);
    }
    let most = (0..100).map(|prefix| fleet.endpoints_with(prefix)).max();
    assert!(
        most <= Some(3),
        "an unpopular prefix was prefilled at {most:?} endpoints"
    );
    // Each shared prefix is requested 20 times. If it were processed at every prefill endpoint that
    // its sessions reach, it would be most of the work.
    let share = fleet.processed_prefix_tokens as f64 / fleet.processed_tokens as f64;
    assert!(
        share < 0.25,
        "a share of {share} of the processed tokens belongs to shared prefixes"
    );
}

/// A shared prefix that half of all requests have must not be left to a single endpoint.
#[test]
fn a_popular_prefix_is_spread_over_many_endpoints() {
    let mut fleet = Fleet::new(3);
    for turn in 0..200 {
        fleet.arrive(1 + turn % 50);
    }
    assert_eq!(fleet.endpoints_with(0), 0);
    let mut sends = BTreeMap::new();
    for turn in 0..600 {
        let prefill = fleet.arrive(if turn % 2 == 0 { 0 } else { 1 + turn % 50 });
        *sends.entry(prefill).or_insert(0) += u32::from(turn >= 300);
    }
    let prefill_endpoints = fleet.endpoints_with(0);
    assert!(
        prefill_endpoints >= PREFILL_ENDPOINTS as usize / 2,
        "the popular prefix was prefilled at {prefill_endpoints} endpoints"
    );
    let most = sends.values().max().copied().unwrap_or(0);
    assert!(
        most < 3 * 300 / PREFILL_ENDPOINTS as u32,
        "{most} of 300 requests at one endpoint"
    );
}

/// With few prefill endpoints, the rounding of the number of affinity targets matters: one target
/// instead of two is a difference of a large part of the endpoints.
#[test]
fn a_prefix_has_as_many_targets_as_are_nearest_to_its_share_of_few_endpoints() {
    let mut fleet = Fleet::with(1, 4);
    for turn in 0..400 {
        // The prefix has a share of 0.2 of the requests, which is 0.8 of 4 prefill endpoints. Twice
        // as many affinity targets are 1.6, which is rounded to 2.
        fleet.arrive(if turn % 5 == 0 { 0 } else { 1 + turn });
    }
    assert_eq!(fleet.endpoints_with(0), 2);
}

/// Affinity targets must not leave endpoints idle, even where more prefixes arrive than a router
/// counts.
#[test]
fn prefixes_that_are_requested_once_are_spread_evenly() {
    let mut fleet = Fleet::new(1);
    let mut sends = BTreeMap::new();
    for turn in 0..2_400 {
        *sends.entry(fleet.arrive(turn)).or_insert(0) += 1;
    }
    let (least, most) = (sends.values().min(), sends.values().max());
    assert!(
        sends.len() == PREFILL_ENDPOINTS as usize && least > Some(&60) && most < Some(&240),
        "sends to each prefill endpoint: {sends:?}"
    );
}
