//! Health checks of endpoints. They are sent only if load reports come with health checks alone.
//!
//! The router checks the prefill endpoint of a lane before it sends a request there if its load
//! report is old, and it checks all endpoints in turn. The checks also show when an endpoint has
//! stopped responding.

use crate::actions::Action;
use crate::events::{LoadReport, Outcome};
use crate::ids::{EndpointId, Micros, RequestId, TimerKey};
use crate::policy::Policy;
use crate::requests::RequestState;

/// Maximum number of health checks for one request, one after another.
const MAX_CHECKS_PER_REQUEST: u32 = 3;
/// Minimum duration since an endpoint's last health check before it is checked in turn.
const MIN_CHECK_INTERVAL: Micros = 1_000_000;
/// Number of health checks that each arriving request adds to the budget. Checking all endpoints
/// without such a limit would cost more than the requests themselves.
const CHECKS_PER_REQUEST: f64 = 1.5;
/// Number of requests whose checks can accumulate in the budget.
const MAX_SAVED_REQUESTS: f64 = 4.0;
/// Age of a load report from which its endpoint is checked before a send: half of the age at which
/// the report is stale.
const CHECK_BEFORE_SEND_AGE: Micros = 2_000_000;
/// Time for which a request waits for the outcome of a health check: most outcomes arrive within
/// it.
pub(crate) const CHECK_TIMEOUT: Micros = 80_000;

/// The number of health checks that may be sent now. It grows with each request.
#[derive(Debug, Default)]
pub(crate) struct HealthCheckBudget(f64);

impl HealthCheckBudget {
    pub(crate) fn request_arrived(&mut self) {
        let max = MAX_SAVED_REQUESTS * CHECKS_PER_REQUEST;
        self.0 = (self.0 + CHECKS_PER_REQUEST).min(max);
    }

    fn is_empty(&self) -> bool {
        self.0 < 1.0
    }

    fn spend(&mut self) {
        self.0 -= 1.0;
    }
}

impl Policy {
    /// Sends a health check to the prefill endpoint that a request would go to if the endpoint's
    /// load report is old. Returns whether the request waits for the outcome.
    pub(crate) fn check_before_send(&mut self, id: RequestId, endpoint: EndpointId) -> bool {
        let load = self.endpoints.entries[&endpoint].load;
        let is_old = load.is_none_or(|load| self.now >= load.at + CHECK_BEFORE_SEND_AGE);
        let checks = self.requests[&id].health_checks;
        if !is_old || checks >= MAX_CHECKS_PER_REQUEST || !self.send_health_check(endpoint) {
            return false;
        }
        let until = self.now + CHECK_TIMEOUT;
        if let Some(request) = self.requests.get_mut(&id) {
            request.state = RequestState::Checking { endpoint, until };
            request.health_checks += 1;
            self.set_timer(until, TimerKey::Request(id));
        }
        true
    }

    /// Checks the active endpoint with the earliest last health check, unless that is recent.
    pub(crate) fn check_next_endpoint(&mut self) {
        let active = self
            .endpoints
            .entries
            .iter()
            .filter(|(_, endpoint)| endpoint.is_active);
        let next = active.min_by_key(|(_, endpoint)| endpoint.last_health_check);
        let Some((id, endpoint)) = next else {
            return;
        };
        if self.now >= endpoint.last_health_check + MIN_CHECK_INTERVAL {
            self.send_health_check(*id);
        }
    }

    /// Sends a health check if load reports come with health checks alone and the budget allows it.
    /// Returns whether it was sent.
    fn send_health_check(&mut self, id: EndpointId) -> bool {
        if !self.parameters.health_checks_report_load || self.health_check_budget.is_empty() {
            return false;
        }
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return false;
        };
        endpoint.last_health_check = now;
        endpoint.unresponsive_since = endpoint.unresponsive_since.min(now);
        self.health_check_budget.spend();
        self.actions.push(Action::HealthCheck(id));
        true
    }

    pub(crate) fn on_health_checked(
        &mut self,
        endpoint: EndpointId,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) {
        self.receive_load(endpoint, load);
        self.record_outcome(endpoint, None, outcome);
        for request in self.requests.values_mut() {
            let is_checking = matches!(
                request.state,
                RequestState::Checking { endpoint: checked, .. } if checked == endpoint
            );
            if is_checking {
                request.state = RequestState::Queued;
            }
        }
        self.advance_queue();
    }
}
