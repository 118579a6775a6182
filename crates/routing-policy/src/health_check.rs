//! Health checks, before a send and in turn.

use crate::policy::*;
use crate::*;

const LOOKS_MOST: u32 = 3; // readers probed for a request in turn
const LOOK_AGE: Micros = 2_000_000; // age at which a reader is probed before a send (us): half of stale

impl Policy {
    /// Probes the reader that a request would go to and waits for its report: it may have jammed unseen.
    pub(crate) fn look(&mut self, id: RequestId, reader: EndpointId) -> bool {
        let old = self.endpoints[&reader]
            .load
            .is_none_or(|(at, _)| self.now >= at + LOOK_AGE);
        let looks = old && self.requests[&id].looks < LOOKS_MOST && self.probe(reader);
        if let Some(request) = self.requests.get_mut(&id).filter(|_| looks) {
            (request.look, request.looks) =
                (Some((reader, self.now + LOOK_FOR)), request.looks + 1);
            self.out.push(Action::SetTimer {
                at: self.now + LOOK_FOR,
                key: TimerKey::Request(id),
            });
        }
        looks
    }

    /// Sends a probe where they bear reports, as far as our requests allow.
    pub(crate) fn probe(&mut self, id: EndpointId) -> bool {
        let told = self.settings.health_checks
            && self.settings.load_reporting == LoadReporting::OnHealthCheck;
        let may = told && self.pace.probes >= 1.0;
        let Some(endpoint) = self.endpoints.get_mut(&id).filter(|_| may) else {
            return false;
        };
        (endpoint.probed_at, endpoint.mute) = (self.now, endpoint.mute.min(self.now));
        self.pace.probes -= 1.0;
        self.out.push(Action::HealthCheck(id));
        true
    }
}
