//! The view of the servers for those who look on: the control service hands it to other proxies.

use super::lanes::TAU;
use super::*;

impl Policy {
    /// How it stands towards each server it knows, by its part of the lane score. Decides nothing.
    pub fn endpoint_statuses(&mut self, now: Micros) -> Vec<EndpointStatus> {
        self.now = now;
        let fleet = self.fleet();
        let request = Request {
            ask: RequestSpec {
                class: ANY_CLASS,
                ..RequestSpec::default()
            },
            ..Request::default()
        };
        let of = |(id, endpoint): (&EndpointId, &Endpoint)| {
            let stage = self.stage(endpoint);
            let reads = Some(self.reader_half(&request.ask, *id, None, 0, &fleet))
                .filter(|_| stage != Role::Decode);
            let writes = Some(self.writer_half(*id, &fleet, 0)).filter(|_| stage != Role::Prefill);
            let sum = |part: fn(&Half) -> f64| reads.iter().chain(&writes).map(part).sum::<f64>();
            let most =
                reads.map_or(0.0, |_| WEIGHTS[2]) + writes.map_or(0.0, |_| WEIGHTS[1] + WEIGHTS[3]);
            let fresh = reads.iter().chain(&writes).all(|h| h.fresh);
            let takes = self.takes(*id, &request, false) && fresh && sum(|h| h.load) <= TAU;
            EndpointStatus {
                endpoint: *id,
                accepts_work: takes,
                score: (sum(|h| h.worth) / most).clamp(0.0, 1.0),
            }
        };
        self.endpoints.iter().map(of).collect()
    }
}
