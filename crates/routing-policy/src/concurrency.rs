//! Concurrency limits, learnt from late responses, and overdue attempts.

use crate::policy::*;
use crate::*;

const POOL_LATE: f64 = 0.3; // late share of answers above which a whole stage is overloaded
const POOL_LEAST: [f64; 2] = [12.0, 24.0]; // least reads and streams of all dispatchers at each server
const LATE: [f64; 3] = [0.35, 0.2, 0.35]; // of its aim: a read, a first token, a mixed server's are late then
const PASSED_BY: Micros = 250_000; // an attempt is lost if one sent so much later is answered (us) ...
const MUTE_FOR: Micros = 1_500_000; // ... or if its server answers neither probes nor us for so long (us)

impl Policy {
    /// A late or full server is given less, a quick one at its limit more; so is a stage with a late part.
    pub(crate) fn learn_limit(&mut self, id: RequestId, sent: Out, full: bool) {
        let late = full || self.overdue(id, sent);
        let (ours, router_count) = (self.ours(), self.router_count());
        // What has not begun at a writer waits for a slot; at a mixed server it is being read.
        let queued = |o: &&Out| {
            late && sent.stage == Role::Decode && o.endpoint == sent.endpoint && !o.established
        };
        let queue = self
            .requests
            .values()
            .filter_map(|r| r.out.as_ref())
            .filter(queued)
            .count() as f64;
        if sent.stage != Role::Decode && sent.overdue.is_none() {
            self.learn_spread(sent.endpoint, late);
        }
        for (part, other) in [(0, Role::Decode), (1, Role::Prefill)] {
            let servers = self
                .endpoints
                .values()
                .filter(|h| h.listed && self.stage(h) != other)
                .count() as f64;
            let Some(endpoint) = self
                .endpoints
                .get_mut(&sent.endpoint)
                .filter(|_| sent.stage != other)
            else {
                continue;
            };
            let held = [
                endpoint.held[0] + sent.weight,
                (endpoint.held[1] - queue).max(0.0),
            ][part];
            endpoint.limits[part].learn(self.now, sent.sent, held, late, LIMIT_MOST[part]);
            let (limit, share) = &mut self.pools[part];
            *share += if sent.overdue.is_some() {
                0.0
            } else {
                (f64::from(u8::from(late)) - *share) * POOL_STEP
            };
            if sent.overdue.is_none() && (!late || *share > POOL_LATE) {
                limit.learn(self.now, sent.sent, ours[part], late, f64::MAX);
                limit.most = limit.most.max(POOL_LEAST[part] * servers / router_count);
            }
        }
    }

    /// Attempts that are overdue tell of a server's limit before they end: a silent server's falls too.
    pub(crate) fn watch(&mut self) {
        let waits = |r: &Request| r.out.filter(|o| !o.established && o.overdue != Some(true));
        let out = self
            .requests
            .iter()
            .filter_map(|(id, r)| Some((*id, waits(r)?)));
        for (id, sent) in out
            .filter(|(id, sent)| self.overdue(*id, *sent))
            .collect::<Vec<_>>()
        {
            if sent.overdue.is_none() {
                self.learn_limit(id, sent, true);
            }
            let lost = self.is_lost(id, sent);
            self.out.extend(lost.then_some(Action::CancelAttempt {
                id,
                attempt: sent.attempt,
            }));
            self.requests.entry(id).and_modify(|r| {
                r.out = Some(Out {
                    overdue: Some(lost),
                    ..sent
                })
            });
        }
    }

    /// Whether one that may be repeated waits in vain: its server answered what was sent well after it, or
    /// nothing for long. Guards against silent connections. It could hurt where answers come out of turn.
    pub(crate) fn is_lost(&self, id: RequestId, sent: Out) -> bool {
        let (request, endpoint) = (&self.requests[&id], self.endpoints.get(&sent.endpoint));
        let effect = self
            .class(&request.ask)
            .map(|c| c.idempotency)
            .unwrap_or_default();
        let repeats = sent.stage == Role::Prefill || effect == Idempotency::Idempotent;
        let more = request.attempts + 1 < self.settings.max_attempts.unwrap_or(ATTEMPTS_MOST);
        let lost =
            |h: &Endpoint| h.answered > sent.sent + PASSED_BY || self.now - MUTE_FOR > h.mute;
        self.settings.cancellation && repeats && more && endpoint.is_some_and(lost)
    }

    pub(crate) fn overdue(&self, id: RequestId, sent: Out) -> bool {
        let span = self
            .requests
            .get(&id)
            .map_or(AIM, |r| self.aim_span(&r.ask));
        (self.now - sent.sent) as f64 > span as f64 * LATE[sent.stage as usize]
    }
}
