//! Outlier detection: failures eject an endpoint for a while.

use crate::policy::*;
use crate::*;

const EJECT_FIRST: Micros = 500_000; // for which a failing server is set aside (us), doubling each time ...
const EJECT_MOST: Micros = 8_000_000; // ... up to this

impl Policy {
    /// Failures set a server aside: errors and silence for their class alone, lost connections and fullness
    /// for all. The fewer our requests, the longer, else it would be over before the next one.
    pub(crate) fn judge(&mut self, id: EndpointId, class: Option<ClassId>, outcome: Outcome) {
        let turn = self.pace.ask_span as Micros * self.endpoints.len() as Micros;
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let (key, least) = match outcome {
            // One success is no recovery: a server that errs at once looks idle and draws all that waits.
            Outcome::Completed | Outcome::Prefilled { .. } => {
                endpoint.mute = Micros::MAX;
                endpoint.fails.remove(&None);
                endpoint
                    .fails
                    .entry(class)
                    .and_modify(|(fails, _)| *fails /= 2);
                return;
            }
            Outcome::ServerError | Outcome::TimedOut => (class, turn),
            Outcome::ConnectFailed(_) | Outcome::ConnectionReset(_) => (None, turn),
            Outcome::Rejected(_) => (None, 0),
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        let (fails, until) = endpoint.fails.entry(key).or_insert((0, 0));
        *until = self.now + (EJECT_FIRST << (*fails).min(8)).max(least).min(EJECT_MOST);
        *fails += 1;
    }
}
