//! Affinity targets by rendezvous hashing.

use crate::policy::*;
use crate::*;

const SPREAD_GAIN: f64 = 3.0; // homes in all zones for each late share of ours above the others' ...
const SPREAD_MARGIN: f64 = 0.05; // ... past this: crossing has its price
const SPREAD_FADE: f64 = 0.02; // part of the late share elsewhere that fades with each read: it may be old
const HOME_WHOLE: f64 = 0.6; // weight as a home of a server that does both, where a writer's is 1
const HOMES: f64 = 2.0; // homes of an opening for each reader that its share of requests would fill
const SHARES_LEAST: f64 = 45.0; // requests of which that share is taken at least: one of a few tells little

impl Policy {
    /// Homes go where fewer reads are late than in our zone or at one kind (see `home`): a zone may be given
    /// more than it bears, which none of many dispatchers sees in its few reads. Huge prompts can mislead it.
    pub(crate) fn learn_spread(&mut self, endpoint: EndpointId, late: bool) {
        let Some(endpoint) = self.endpoints.get(&endpoint) else {
            return;
        };
        let far = self.settings.zone != Some(endpoint.spec.zone);
        let own = [far, self.stage(endpoint) != Role::Prefill].map(usize::from);
        for (shares, own) in self.pace.late.iter_mut().zip(own) {
            shares[own] += (f64::from(u8::from(late)) - shares[own]) * POOL_STEP;
            shares[1 - own] *= 1.0 - SPREAD_FADE;
        }
    }

    /// The home of a session unknown here, on which a zone's dispatchers agree: rendezvous hashing. Openings
    /// have few homes, more the more they are asked for: guards against reads of them at each reader.
    pub(crate) fn home(&self, ask: &RequestSpec, fleet: &Fleet) -> Option<EndpointId> {
        let session = ask.session?;
        let [[late, elsewhere], kinds] = self.pace.late;
        let near = |h: &Endpoint| self.settings.zone == Some(h.spec.zone);
        let warmth = |all: bool| {
            let of = |h: &&Endpoint| h.listed && self.stage(h) != Role::Decode && (all || near(h));
            let of = self.endpoints.values().filter(of).map(|h| self.warmth(h));
            of.clone().sum::<f64>() / of.count().max(1) as f64
        };
        let (late, cold) = (
            late - elsewhere - SPREAD_MARGIN,
            1.0 - warmth(false) / warmth(true),
        );
        let away = uniform(!mix(session.0)) < cold.max(late * SPREAD_GAIN);
        let known = |h: &Endpoint| {
            h.kept
                .get(&(true, session.0))
                .is_some_and(|k| self.now < k.1 + KEPT_FOR)
        };
        let [readers, writers] = fleet
            .groups
            .get(&(2, 0))
            .map_or([1.0; 2], |n| n.map(|n| n.max(1.0)));
        let draw = |(id, h): (&EndpointId, &Endpoint)| {
            let whole = self.stage(h) != Role::Prefill;
            let weight = if whole { HOME_WHOLE } else { writers / readers }
                * (1.0 - kinds[usize::from(whole)]);
            let drawn = |key: u64| uniform(key ^ mix(id.0)).ln() / (weight * self.warmth(h));
            (
                away || near(h),
                drawn(ask.shared_prefix.map_or(0, |p| mix(p.0))),
                drawn(session.0),
                *id,
            )
        };
        let open = self
            .endpoints
            .iter()
            .filter(|(id, h)| self.open(**id, true) && self.stage(h) != Role::Decode);
        if open.clone().any(|(_, h)| known(h)) {
            return None;
        }
        let mut drawn: Vec<_> = open.map(draw).collect();
        drawn.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        let near = drawn.iter().filter(|d| d.0 == drawn[0].0).count();
        let asked = |key| {
            self.openings
                .get(&key)
                .map_or(0.0, |o| o.at(self.now, KEPT_FOR) - 1.0)
        }; // others
        let share = ask.shared_prefix.map_or(1.0, |p| {
            asked(Some(p)).max(0.0) / asked(None).max(SHARES_LEAST)
        });
        let homes = ((HOMES * share * near as f64).round() as usize).clamp(1, near.max(1));
        drawn
            .iter()
            .take(homes)
            .max_by(|a, b| a.2.total_cmp(&b.2))
            .map(|home| home.3)
    }
}
