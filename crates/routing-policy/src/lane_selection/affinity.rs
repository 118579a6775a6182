//! Affinity targets: the endpoint that new turns of a session go to, on which the routers of a zone
//! agree without messages, by rendezvous hashing.
//!
//! A shared prefix has few targets, more the more it is asked for, and its sessions are spread over
//! these: else it would be processed at each prefill endpoint.

use std::collections::BTreeMap;

use super::prefix_cache::{CACHED_FOR, MAX_ENTRIES};
use super::FleetView;
use crate::concurrency::LATE_SHARE_STEP;
use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::estimators::{indicator, move_toward, DecayingSum};
use crate::events::RequestSpec;
use crate::ids::{EndpointId, Micros, PrefixId, SessionId};
use crate::policy::Policy;
use crate::random::{mix, uniform};
use crate::slow_start::SendKind;

/// The share of sessions that leave their zone, for each late share of the zone above that of
/// others ...
const SPREAD_GAIN: f64 = 3.0;
/// ... beyond this difference, as crossing zones has its price.
const SPREAD_MARGIN: f64 = 0.05;
/// The part of a late share that fades with each prefill elsewhere: it may be old.
const LATE_SHARE_FADE: f64 = 0.02;
/// The weight of a mixed endpoint as an affinity target, where a decode endpoint for each prefill
/// endpoint would give 1.
const MIXED_WEIGHT: f64 = 0.6;
/// The targets of a shared prefix for each prefill endpoint that its share of all requests would
/// fill.
const TARGETS_FOR_EACH_FILLED: f64 = 2.0;
/// The requests of which that share is taken, at least: one of a few tells little.
const MIN_REQUESTS_FOR_SHARE: f64 = 45.0;

/// Shares of late prefills here and elsewhere, of which the router sees only a few.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LateShares {
    local_zone: f64,
    other_zones: f64,
    prefill_endpoints: f64,
    mixed_endpoints: f64,
}

fn observe(observed: &mut f64, other: &mut f64, is_late: bool) {
    move_toward(observed, indicator(is_late), LATE_SHARE_STEP);
    *other *= 1.0 - LATE_SHARE_FADE;
}

impl LateShares {
    fn observe_zone(&mut self, is_local: bool, is_late: bool) {
        let (local, others) = (&mut self.local_zone, &mut self.other_zones);
        if is_local {
            observe(local, others, is_late);
        } else {
            observe(others, local, is_late);
        }
    }

    fn observe_role(&mut self, role: Role, is_late: bool) {
        let (prefill, mixed) = (&mut self.prefill_endpoints, &mut self.mixed_endpoints);
        if role == Role::Prefill {
            observe(prefill, mixed, is_late);
        } else {
            observe(mixed, prefill, is_late);
        }
    }
}

/// How often each shared prefix, and any request, arrived lately.
#[derive(Debug, Default)]
pub(crate) struct PrefixPopularity {
    all: DecayingSum,
    by_prefix: BTreeMap<PrefixId, DecayingSum>,
}

impl PrefixPopularity {
    pub(crate) fn record(&mut self, prefix: Option<PrefixId>, now: Micros) {
        if self.by_prefix.len() >= MAX_ENTRIES {
            self.by_prefix.clear();
            self.all = DecayingSum::default();
        }
        self.all.add(1.0, now, CACHED_FOR);
        if let Some(prefix) = prefix {
            let of_prefix = self.by_prefix.entry(prefix).or_default();
            of_prefix.add(1.0, now, CACHED_FOR);
        }
    }

    /// The share of other requests that have a prefix.
    fn share_of(&self, prefix: PrefixId, now: Micros) -> f64 {
        let others = |sum: &DecayingSum| sum.at(now, CACHED_FOR) - 1.0;
        let of_prefix = self.by_prefix.get(&prefix).map_or(0.0, others);
        of_prefix.max(0.0) / others(&self.all).max(MIN_REQUESTS_FOR_SHARE)
    }
}

/// An endpoint as a target, with its draws for the prefix and for the session.
#[derive(Debug, Clone, Copy)]
struct Target {
    is_near: bool,
    prefix_draw: f64,
    session_draw: f64,
    id: EndpointId,
}

impl Policy {
    /// Records whether a prefill was late, by zone and kind. Targets then lie where fewer are: a
    /// zone may be given more than it bears, which none of many routers sees in its few prefills.
    /// Huge prompts can mislead it.
    pub(crate) fn record_late_share(&mut self, id: EndpointId, is_late: bool) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let is_local = self.is_local(endpoint);
        let role = self.role_of(endpoint);
        self.late_shares.observe_zone(is_local, is_late);
        self.late_shares.observe_role(role, is_late);
    }

    fn is_local(&self, endpoint: &Endpoint) -> bool {
        self.parameters.zone == Some(endpoint.spec.zone)
    }

    /// The affinity target of a session that no endpoint is known to have cached.
    pub(crate) fn affinity_target(
        &self,
        spec: &RequestSpec,
        fleet: &FleetView,
    ) -> Option<EndpointId> {
        let session = spec.session?;
        if self.is_cached_somewhere(session) {
            return None;
        }
        let anywhere = self.leaves_its_zone(session);
        let mut targets: Vec<Target> = self
            .open_targets()
            .map(|(id, endpoint)| {
                let weight = self.target_weight(endpoint, fleet);
                let draw = |key: u64| uniform(key ^ mix(id.0)).ln() / weight;
                Target {
                    is_near: anywhere || self.is_local(endpoint),
                    prefix_draw: draw(spec.shared_prefix.map_or(0, |prefix| mix(prefix.0))),
                    session_draw: draw(session.0),
                    id: *id,
                }
            })
            .collect();
        targets.sort_by(|a, b| {
            let near_first = b.is_near.cmp(&a.is_near);
            near_first.then(b.prefix_draw.total_cmp(&a.prefix_draw))
        });
        let first_is_near = targets.first()?.is_near;
        let eligible = targets
            .iter()
            .filter(|target| target.is_near == first_is_near)
            .count();
        let count = self.target_count(spec.shared_prefix, eligible);
        targets
            .iter()
            .take(count)
            .max_by(|a, b| a.session_draw.total_cmp(&b.session_draw))
            .map(|target| target.id)
    }

    fn open_targets(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.endpoints.entries.iter().filter(|(id, endpoint)| {
            self.is_open(**id, SendKind::Affinity) && self.role_of(endpoint) != Role::Decode
        })
    }

    fn is_cached_somewhere(&self, session: SessionId) -> bool {
        self.open_targets()
            .any(|(_, endpoint)| endpoint.prefix_cache.knows_session(session, self.now))
    }

    /// Whether the target of a session may lie in any zone: for a share of them, where the local
    /// zone is late more often or has more endpoints in slow start than others.
    fn leaves_its_zone(&self, session: SessionId) -> bool {
        let local_is_later =
            self.late_shares.local_zone - self.late_shares.other_zones - SPREAD_MARGIN;
        let local_warmth = self.mean_warm_fraction(|endpoint| self.is_local(endpoint));
        let local_is_colder = 1.0 - local_warmth / self.mean_warm_fraction(|_| true);
        uniform(!mix(session.0)) < local_is_colder.max(local_is_later * SPREAD_GAIN)
    }

    /// The mean part of their capacity that listed endpoints for prefills have.
    fn mean_warm_fraction(&self, includes: impl Fn(&Endpoint) -> bool) -> f64 {
        let mut sum = 0.0;
        let mut count = 0_usize;
        for endpoint in self.endpoints.entries.values() {
            if endpoint.is_listed && self.role_of(endpoint) != Role::Decode && includes(endpoint) {
                sum += self.warm_fraction(endpoint);
                count += 1;
            }
        }
        sum / count.max(1) as f64
    }

    /// The weight of an endpoint in the draw.
    fn target_weight(&self, endpoint: &Endpoint, fleet: &FleetView) -> f64 {
        let (weight, late_share) = if self.role_of(endpoint) == Role::Prefill {
            let counts = fleet.open.map_or((1.0, 1.0), |open| {
                (open.prefill.max(1.0), open.decode.max(1.0))
            });
            (counts.1 / counts.0, self.late_shares.prefill_endpoints)
        } else {
            (MIXED_WEIGHT, self.late_shares.mixed_endpoints)
        };
        weight * (1.0 - late_share) * self.warm_fraction(endpoint)
    }

    /// The number of targets of a shared prefix among so many eligible endpoints; all of them
    /// without one.
    fn target_count(&self, prefix: Option<PrefixId>, eligible: usize) -> usize {
        let share = prefix.map_or(1.0, |prefix| {
            self.prefix_popularity.share_of(prefix, self.now)
        });
        let targets = (TARGETS_FOR_EACH_FILLED * share * eligible as f64).round() as usize;
        targets.clamp(1, eligible.max(1))
    }
}
