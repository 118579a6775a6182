//! The view of the servers for those who look on: the control service hands it to other proxies.

use super::lanes::TAU;
use super::*;

impl Policy {
    /// How it stands towards each server it knows, by its part of the lane score. Decides nothing.
    pub fn standings(&mut self, now: Micros) -> Vec<Standing> {
        self.now = now;
        let fleet = self.fleet();
        let request = Request {
            ask: Ask {
                class: ANY_CLASS,
                ..Ask::default()
            },
            ..Request::default()
        };
        let of = |(id, host): (&HostId, &Host)| {
            let stage = self.stage(host);
            let reads = Some(self.reader_half(&request.ask, *id, None, 0, &fleet))
                .filter(|_| stage != Stage::Write);
            let writes = Some(self.writer_half(*id, &fleet, 0)).filter(|_| stage != Stage::Read);
            let sum = |part: fn(&Half) -> f64| reads.iter().chain(&writes).map(part).sum::<f64>();
            let most =
                reads.map_or(0.0, |_| WEIGHTS[2]) + writes.map_or(0.0, |_| WEIGHTS[1] + WEIGHTS[3]);
            let fresh = reads.iter().chain(&writes).all(|h| h.fresh);
            let takes = self.takes(*id, &request, false) && fresh && sum(|h| h.load) <= TAU;
            Standing {
                host: *id,
                takes,
                worth: (sum(|h| h.worth) / most).clamp(0.0, 1.0),
            }
        };
        self.hosts.iter().map(of).collect()
    }
}
