//! Affinity targets. The target of a session is the endpoint to which its prompts go while no
//! endpoint is known to have cached any of them. The routers of a zone agree on it without
//! messages, by rendezvous hashing.
//!
//! A shared prefix has only a few targets, whose number grows with its share of all requests, and
//! its sessions are spread over them. Otherwise every prefill endpoint would process the prefix.

use std::collections::BTreeMap;

use super::prefix_cache::{CACHE_RETENTION, MAX_ENTRIES};
use super::FleetView;
use crate::concurrency::LATE_SHARE_SMOOTHING;
use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::estimators::{indicator, update_moving_average, DecayingSum};
use crate::events::RequestSpec;
use crate::ids::{EndpointId, Micros, PrefixId, SessionId};
use crate::policy::Policy;
use crate::random::{mix, uniform};
use crate::slow_start::SendKind;

/// Ratio between the share of sessions whose target may lie in any zone and the amount by which the
/// local zone's late share exceeds that of other zones plus [`CROSS_ZONE_MARGIN`].
const CROSS_ZONE_GAIN: f64 = 3.0;
/// Excess of the local zone's late share over that of other zones up to which targets stay in the
/// zone, because requests to other zones have a cost.
const CROSS_ZONE_MARGIN: f64 = 0.05;
/// Share by which the late share of a zone or role decays with each prefill at the other one,
/// because a late share that is not updated may be out of date.
const LATE_SHARE_DECAY: f64 = 0.02;
/// Weight of a mixed endpoint as an affinity target. A prefill endpoint has a weight of 1 if there
/// is one decode endpoint for each prefill endpoint.
const MIXED_TARGET_WEIGHT: f64 = 0.6;
/// Number of affinity targets of a shared prefix, as a multiple of the endpoints that its requests
/// would fill: the prefix's share of all requests times the number of eligible endpoints.
const TARGETS_PER_FILLED_ENDPOINT: f64 = 2.0;
/// Minimum number of recent requests that is assumed when the share of a prefix is computed. Among
/// fewer requests, the share of a prefix says little.
const MIN_REQUESTS_FOR_SHARE: f64 = 45.0;

/// Moving averages of the share of late prefills, by zone and by the role of the endpoint, over the
/// few prefills that this router sees.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LateShares {
    local_zone: f64,
    other_zones: f64,
    prefill_endpoints: f64,
    mixed_endpoints: f64,
}

/// Updates the late share of the zone or role of a prefill, and lets the other one's decay.
fn update_late_shares(observed: &mut f64, other: &mut f64, is_late: bool) {
    update_moving_average(observed, indicator(is_late), LATE_SHARE_SMOOTHING);
    *other *= 1.0 - LATE_SHARE_DECAY;
}

impl LateShares {
    fn observe_zone(&mut self, is_local: bool, is_late: bool) {
        let (local, others) = (&mut self.local_zone, &mut self.other_zones);
        if is_local {
            update_late_shares(local, others, is_late);
        } else {
            update_late_shares(others, local, is_late);
        }
    }

    fn observe_role(&mut self, role: Role, is_late: bool) {
        let (prefill, mixed) = (&mut self.prefill_endpoints, &mut self.mixed_endpoints);
        if role == Role::Prefill {
            update_late_shares(prefill, mixed, is_late);
        } else {
            update_late_shares(mixed, prefill, is_late);
        }
    }
}

/// Decaying counts of all recent requests, and of those with each shared prefix.
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
        self.all.add(1.0, now, CACHE_RETENTION);
        if let Some(prefix) = prefix {
            let of_prefix = self.by_prefix.entry(prefix).or_default();
            of_prefix.add(1.0, now, CACHE_RETENTION);
        }
    }

    /// Returns the share of recent requests that have a prefix. The present request does not count.
    fn share_of(&self, prefix: PrefixId, now: Micros) -> f64 {
        let others = |sum: &DecayingSum| sum.at(now, CACHE_RETENTION) - 1.0;
        let of_prefix = self.by_prefix.get(&prefix).map_or(0.0, others);
        of_prefix.max(0.0) / others(&self.all).max(MIN_REQUESTS_FOR_SHARE)
    }
}

/// An endpoint that may be an affinity target. In rendezvous hashing, each endpoint has a weighted
/// hash for a key, here called its draw, and the highest draw wins.
#[derive(Debug, Clone, Copy)]
struct Target {
    /// Whether the endpoint is in the local zone, or the target may lie in any zone.
    is_preferred_zone: bool,
    prefix_draw: f64,
    session_draw: f64,
    id: EndpointId,
}

impl Policy {
    /// Records whether a prefill was late, by zone and by role. Affinity targets are then placed
    /// where fewer prefills are late. A zone may be sent more than it can serve, which no single
    /// one of many routers can tell from its few prefills. Very long prompts can distort these
    /// shares.
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

    /// Returns the affinity target of a request's session, or `None` if the request has no session,
    /// an open endpoint is known to have cached a prompt of the session, or no endpoint that
    /// processes prompts is open.
    pub(crate) fn affinity_target(
        &self,
        spec: &RequestSpec,
        fleet: &FleetView,
    ) -> Option<EndpointId> {
        let session = spec.session?;
        if self.is_cached_somewhere(session) {
            return None;
        }
        let any_zone = self.may_leave_zone(session);
        let mut targets: Vec<Target> = self
            .open_targets()
            .map(|(id, endpoint)| {
                let weight = self.target_weight(endpoint, fleet);
                let draw = |key: u64| uniform(key ^ mix(id.0)).ln() / weight;
                Target {
                    is_preferred_zone: any_zone || self.is_local(endpoint),
                    prefix_draw: draw(spec.shared_prefix.map_or(0, |prefix| mix(prefix.0))),
                    session_draw: draw(session.0),
                    id: *id,
                }
            })
            .collect();
        targets.sort_by(|a, b| {
            let preferred_first = b.is_preferred_zone.cmp(&a.is_preferred_zone);
            preferred_first.then(b.prefix_draw.total_cmp(&a.prefix_draw))
        });
        let first_is_preferred = targets.first()?.is_preferred_zone;
        let eligible = targets
            .iter()
            .filter(|target| target.is_preferred_zone == first_is_preferred)
            .count();
        let count = self.target_count(spec.shared_prefix, eligible);
        targets
            .iter()
            .take(count)
            .max_by(|a, b| a.session_draw.total_cmp(&b.session_draw))
            .map(|target| target.id)
    }

    /// Returns the open endpoints that process prompts.
    fn open_targets(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.endpoints.entries.iter().filter(|(id, endpoint)| {
            self.is_open(**id, SendKind::Affinity) && self.role_of(endpoint) != Role::Decode
        })
    }

    fn is_cached_somewhere(&self, session: SessionId) -> bool {
        self.open_targets()
            .any(|(_, endpoint)| endpoint.prefix_cache.has_session(session, self.now))
    }

    /// Returns whether the target of a session may lie in any zone. This holds for a share of the
    /// sessions if prefills are late more often in the local zone than in others, or if its
    /// endpoints are further from the end of slow start.
    fn may_leave_zone(&self, session: SessionId) -> bool {
        let excess_late_share =
            self.late_shares.local_zone - self.late_shares.other_zones - CROSS_ZONE_MARGIN;
        let local_warm_fraction = self.mean_warm_fraction(|endpoint| self.is_local(endpoint));
        let cold_excess = 1.0 - local_warm_fraction / self.mean_warm_fraction(|_| true);
        uniform(!mix(session.0)) < cold_excess.max(excess_late_share * CROSS_ZONE_GAIN)
    }

    /// Returns the mean warm fraction of the active endpoints that process prompts and that
    /// `includes` selects.
    fn mean_warm_fraction(&self, includes: impl Fn(&Endpoint) -> bool) -> f64 {
        let mut sum = 0.0;
        let mut count = 0_usize;
        for endpoint in self.endpoints.entries.values() {
            if endpoint.is_active && self.role_of(endpoint) != Role::Decode && includes(endpoint) {
                sum += self.warm_fraction(endpoint);
                count += 1;
            }
        }
        sum / count.max(1) as f64
    }

    /// Returns the weight of an endpoint in rendezvous hashing.
    fn target_weight(&self, endpoint: &Endpoint, fleet: &FleetView) -> f64 {
        let (weight, late_share) = if self.role_of(endpoint) == Role::Prefill {
            let counts = fleet.open.map_or((1.0, 1.0), |open| {
                (open.prefill.max(1.0), open.decode.max(1.0))
            });
            (counts.1 / counts.0, self.late_shares.prefill_endpoints)
        } else {
            (MIXED_TARGET_WEIGHT, self.late_shares.mixed_endpoints)
        };
        weight * (1.0 - late_share) * self.warm_fraction(endpoint)
    }

    /// Returns the number of targets of a shared prefix among the eligible endpoints. Without a
    /// shared prefix, all of them are targets.
    fn target_count(&self, prefix: Option<PrefixId>, eligible: usize) -> usize {
        let share = prefix.map_or(1.0, |prefix| {
            self.prefix_popularity.share_of(prefix, self.now)
        });
        let targets = (TARGETS_PER_FILLED_ENDPOINT * share * eligible as f64).round() as usize;
        targets.clamp(1, eligible.max(1))
    }
}
