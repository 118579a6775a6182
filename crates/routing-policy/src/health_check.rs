//! Health checks: before a request is sent to an endpoint whose load report is old, and of all
//! endpoints in turn. Where load reports come only with health checks they are how an endpoint that
//! jams is noticed.

use crate::actions::Action;
use crate::events::{LoadReport, Outcome};
use crate::ids::{EndpointId, Micros, RequestId, TimerKey};
use crate::policy::Policy;
use crate::requests::RequestState;

/// Endpoints that are checked for one request in turn, at most.
const MAX_CHECKS_FOR_A_REQUEST: u32 = 3;
/// The least span between the checks of an endpoint in turn (us).
const MIN_CHECK_INTERVAL: Micros = 1_000_000;
/// Checks for each request: checking all endpoints costs more than the work.
const CHECKS_FOR_EACH_REQUEST: f64 = 1.5;
/// The requests for which checks may be saved up.
const MAX_SAVED_REQUESTS: f64 = 4.0;
/// The age of a load report from which an endpoint is checked before a send (us): half of the age
/// at which it is stale.
const CHECK_BEFORE_SEND_AGE: Micros = 2_000_000;
/// How long a request waits for the outcome of a check (us): most come by then.
pub(crate) const CHECK_TIMEOUT: Micros = 80_000;

/// The checks that may be sent now, in the ratio to requests that is allowed.
#[derive(Debug, Default)]
pub(crate) struct CheckBudget(f64);

impl CheckBudget {
    pub(crate) fn request_arrived(&mut self) {
        let most = MAX_SAVED_REQUESTS * CHECKS_FOR_EACH_REQUEST;
        self.0 = (self.0 + CHECKS_FOR_EACH_REQUEST).min(most);
    }

    fn is_empty(&self) -> bool {
        self.0 < 1.0
    }

    fn spend(&mut self) {
        self.0 -= 1.0;
    }
}

impl Policy {
    /// Checks the prefill endpoint that a request would go to, if its load report is old; the
    /// request then waits for the outcome.
    pub(crate) fn check_before_send(&mut self, id: RequestId, endpoint: EndpointId) -> bool {
        let load = self.endpoints.entries[&endpoint].load;
        let is_old = load.is_none_or(|load| self.now >= load.at + CHECK_BEFORE_SEND_AGE);
        let checks = self.requests[&id].health_checks;
        if !is_old || checks >= MAX_CHECKS_FOR_A_REQUEST || !self.health_check(endpoint) {
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

    /// Checks the endpoint whose last check is the longest ago.
    pub(crate) fn check_next_endpoint(&mut self) {
        let listed = self
            .endpoints
            .entries
            .iter()
            .filter(|(_, endpoint)| endpoint.is_listed);
        let next = listed.min_by_key(|(_, endpoint)| endpoint.last_health_check);
        let Some((id, endpoint)) = next else {
            return;
        };
        if self.now >= endpoint.last_health_check + MIN_CHECK_INTERVAL {
            self.health_check(*id);
        }
    }

    /// Sends a health check where they contain load reports, as far as the budget allows.
    fn health_check(&mut self, id: EndpointId) -> bool {
        if !self.parameters.health_checks_report_load || self.check_budget.is_empty() {
            return false;
        }
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return false;
        };
        endpoint.last_health_check = now;
        endpoint.unresponsive_since = endpoint.unresponsive_since.min(now);
        self.check_budget.spend();
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
