//! KV state that is held for a request, and its release.

use crate::policy::*;
use crate::*;

const PIN_SHARE: f64 = 0.6; // of the pin limit, after which held state is freed: timers may be late
const PIN_LIMIT: Micros = 500_000;

impl Policy {
    pub(crate) fn pin(&self) -> Micros {
        (self.settings.kv_lease_timeout.unwrap_or(PIN_LIMIT) as f64 * PIN_SHARE) as Micros
    }

    pub(crate) fn let_go(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id).filter(|r| r.holds) {
            (request.holds, request.state, request.place) = (false, None, None);
            self.out.push(Action::ReleaseState(id));
        }
    }

    /// A send to the writer may not have arrived, as open connections can fall silent: then nothing waits
    /// for what is held. One that has arrived comes before this and loses nothing, as servers let go only of
    /// what no attempt waits for.
    pub(crate) fn let_go_unfetched(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id).filter(|r| !r.let_go_unfetched) {
            request.let_go_unfetched = true;
            self.out.push(Action::ReleaseState(id));
        }
    }
}
