//! The choice of a lane by its score.

pub(crate) mod affinity;
pub(crate) mod lanes;
pub(crate) mod prefix_cache;

use crate::policy::*;
use crate::*;

pub(crate) const WEIGHTS: [f64; 4] = [0.4, 0.1, 0.3, 0.2]; // of kept, memory, queue and live
const QUEUE_MAX: f64 = 8.0; // our unanswered reads at which a reader counts as full. The design's default
const STALE_SPANS: f64 = 2.0; // ... or so many of our turns with a server, if that is longer
const REFUSED_FOR: Micros = 1_000_000; // span for which a writer that refused a place counts as full (us)
const READ_BASE: f64 = 0.2; // what a read of nothing new weighs beside the mean read: step and hand-over

impl Policy {
    /// The best lane by score; if all are set aside, the fewest reads and then the fewest streams.
    pub(crate) fn choose_lane(&mut self, id: RequestId) -> Option<Lane> {
        let (ask, ours) = (self.requests.get(&id)?.ask, self.ours());
        if (0..2).any(|part| ours[part] >= self.pools[part].0.most) {
            return None;
        }
        let fleet = self.fleet();
        let home = self.home(&ask, &fleet);
        let (readers, writers) = self.halves(id, home, &fleet);
        best_lane(&readers, &writers, 0)
    }

    pub(crate) fn halves(
        &mut self,
        id: RequestId,
        home: Option<EndpointId>,
        fleet: &Fleet,
    ) -> (Vec<Half>, Vec<Half>) {
        let (mut readers, mut writers) = (Vec::new(), Vec::new());
        let (salt, request) = (self.rng.next_u64(), &self.requests[&id]);
        let ask = &request.ask;
        for (id, endpoint) in &self.endpoints {
            let room = endpoint.held[0] < endpoint.limits[0].most
                && endpoint.held[1] + endpoint.coming < endpoint.limits[1].most;
            if !room || !self.takes(*id, request, home == Some(*id)) {
                continue;
            }
            let (dice, stage) = (mix(salt ^ id.0) as u32, self.stage(endpoint));
            // In skewed cells the rest pair across cells, else few partners fill up and others stand idle.
            let unpaired = stage != Role::Mixed
                && uniform(salt ^ !id.0) >= fleet.paired(&endpoint.spec, stage as usize);
            let group = if unpaired {
                (1, endpoint.spec.zone.0 as i64)
            } else {
                (0, endpoint.spec.cell.0)
            };
            let reader = || Half {
                group,
                ..self.reader_half(ask, *id, home, dice, fleet)
            };
            readers.extend((stage != Role::Decode).then(reader));
            let writer = || Half {
                group,
                ..self.writer_half(*id, fleet, dice)
            };
            writers.extend((stage != Role::Prefill).then(writer));
        }
        // No reader is left: writers that read for themselves take requests whole.
        if readers.is_empty() && self.settings.decode_can_prefill {
            writers.iter_mut().for_each(|w| w.whole = true);
            let whole = |w: &Half| Half {
                whole: true,
                ..self.reader_half(ask, w.endpoint, home, w.dice, fleet)
            };
            readers = writers.iter().map(whole).collect();
        }
        (readers, writers)
    }

    /// The writer for a state that waits at `reader`: the held place, else the best by the lane score.
    pub(crate) fn choose_writer(
        &mut self,
        id: RequestId,
        reader: EndpointId,
    ) -> Option<EndpointId> {
        let salt = self.rng.next_u64();
        let (request, endpoint) = (self.requests.get(&id)?, self.endpoints.get(&reader)?);
        if let Some(place) = request.place.filter(|w| self.takes(*w, request, false)) {
            return Some(place);
        }
        let fleet = self.fleet();
        let half = Half {
            fresh: true,
            whole: false,
            ..self.half(reader, endpoint, 0.0, 0.0, 0.0, 0)
        };
        let endpoints = self
            .endpoints
            .iter()
            .filter(|(_, h)| self.stage(h) != Role::Prefill)
            .map(|(id, _)| *id);
        let of = |id| Half {
            whole: false,
            ..self.writer_half(id, &fleet, mix(salt ^ id.0) as u32)
        };
        let writers: Vec<_> = endpoints
            .filter(|id| self.takes(*id, request, false))
            .map(of)
            .collect();
        best_lane(&[half], &writers, 1).map(|(_, writer)| writer)
    }

    /// A read against the mean one, by uncached tokens. Guards against huge prompts that look light.
    pub(crate) fn read_weight(&self, ask: &RequestSpec, reader: EndpointId) -> f64 {
        let uncached = ask.prompt_tokens as f64 * (1.0 - self.kept(ask, reader, None));
        READ_BASE
            + (1.0 - READ_BASE) * uncached
                / self.class_work(Role::Prefill, ANY_CLASS, uncached).max(1.0)
    }

    /// The reader's part of S, 0.4 C + 0.3 (1-Q), and of the bound, 2 Q: what the mean says sets none aside.
    pub(crate) fn reader_half(
        &self,
        ask: &RequestSpec,
        id: EndpointId,
        home: Option<EndpointId>,
        dice: u32,
        fleet: &Fleet,
    ) -> Half {
        let endpoint = &self.endpoints[&id];
        let (ours, mean) = (
            endpoint.held[0] / QUEUE_MAX,
            fleet.means[2][self.stage(endpoint) as usize],
        );
        let [queue, bound] =
            [mean, Some(0.0)].map(|mean| self.told(endpoint, 2, mean).unwrap_or(0.0).max(ours));
        let worth = WEIGHTS[0] * self.kept(ask, id, home) + WEIGHTS[2] * (1.0 - queue.min(1.0));
        self.half(
            id,
            endpoint,
            worth,
            2.0 * bound,
            endpoint.held[0] * 1e6,
            dice,
        )
    }

    /// The writer's part, 0.1 (1-M) + 0.2 (1-L) and M/100: reported shares, else our streams over our most.
    pub(crate) fn writer_half(&self, id: EndpointId, fleet: &Fleet, dice: u32) -> Half {
        let endpoint = &self.endpoints[&id];
        let ours = endpoint.held[1] / fleet.most_streams;
        let told =
            |of: usize| self.told(endpoint, of, fleet.means[of][self.stage(endpoint) as usize]);
        let [memory, live] = [0, 1].map(|of| told(of).unwrap_or(ours));
        let worth = WEIGHTS[1] * (1.0 - memory) + WEIGHTS[3] * (1.0 - live);
        let full = if self.now < endpoint.refused_at + REFUSED_FOR {
            1.0
        } else {
            0.0
        };
        self.half(
            id,
            endpoint,
            worth,
            memory / 100.0 + full,
            endpoint.held[1],
            dice,
        )
    }

    pub(crate) fn half(
        &self,
        id: EndpointId,
        endpoint: &Endpoint,
        worth: f64,
        load: f64,
        count: f64,
        dice: u32,
    ) -> Half {
        let stale_after =
            STALE_AFTER.max(STALE_SPANS * self.pace.ask_span * self.endpoints.len() as f64);
        let fresh = self.now - LOOK_FOR < endpoint.mute
            && endpoint
                .load
                .is_none_or(|(at, _)| ((self.now - at) as f64) < stale_after);
        let (cell, whole) = (endpoint.spec.cell.0, self.stage(endpoint) == Role::Mixed);
        Half {
            endpoint: id,
            whole,
            group: (0, cell),
            cell,
            worth,
            load,
            fewest: -count,
            fresh,
            dice,
        }
    }

    /// The fleet at large, for one decision. The means stand in for figures that a server has not reported.
    pub(crate) fn fleet(&self) -> Fleet {
        let mut fleet = Fleet {
            most_streams: 1.0,
            ..Fleet::default()
        };
        let mut sums = [[(0.0, 0.0); 3]; 3];
        for (id, endpoint) in &self.endpoints {
            fleet.most_streams = fleet.most_streams.max(endpoint.held[1]);
            let (stage, member) = (self.stage(endpoint) as usize, &endpoint.spec);
            for (sum, figure) in sums
                .iter_mut()
                .zip(self.figures(endpoint))
                .filter(|_| endpoint.listed)
            {
                sum[stage] = figure.map_or(sum[stage], |value| {
                    (sum[stage].0 + value, sum[stage].1 + 1.0)
                });
            }
            if stage < 2 && self.open(*id, false) {
                for group in [(0, member.cell.0), (1, member.zone.0 as i64), (2, 0)] {
                    fleet.groups.entry(group).or_default()[stage] += 1.0;
                }
            }
        }
        fleet.means =
            sums.map(|s| s.map(|(sum, count): (f64, f64)| (count > 0.0).then(|| sum / count)));
        fleet
    }
}
