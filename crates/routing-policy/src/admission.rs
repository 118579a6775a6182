//! Admission: the arrival of requests, the order in which queued ones are sent, and rejections.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::actions::Action;
use crate::config::Role;
use crate::events::RequestSpec;
use crate::ids::{Micros, RequestId, TimerKey};
use crate::parameters::TICK;
use crate::policy::Policy;
use crate::requests::Request;

/// Share of the mean time to first token that a request must have left after its expected wait in
/// the queue. With less it gets its final response at once, because few responses start sooner.
const MIN_FIRST_TOKEN_SHARE: f64 = 0.5;
/// The factor that turns a priority weight into an integer: weights are compared in thousandths.
const PRIORITY_RESOLUTION: f64 = 1000.0;

/// The rank of a request in the queue; the lowest is sent first. Requests with KV state come before
/// others, those that can meet their latency objective and deadline before late ones, and higher
/// priorities before lower ones. Then the oldest of the requests in time comes first, and the
/// newest of the late ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    needs_prefill: bool,
    is_late: bool,
    priority: Reverse<i64>,
    arrival_rank: i64,
    id: RequestId,
}

impl Policy {
    pub(crate) fn on_request_arrived(&mut self, spec: RequestSpec) {
        if self.requests.contains_key(&spec.id) {
            return;
        }
        let now = self.now;
        if self.queue.is_empty() {
            self.traffic_estimates.queue_became_nonempty(now);
        }
        self.requests.insert(spec.id, Request::new(spec, now));
        self.queue.insert(spec.id);
        self.traffic_estimates.request_arrived(now);
        self.prefix_popularity.record(spec.shared_prefix, now);
        self.health_check_budget.request_arrived();
        let respond_by = self.parameters.respond_by(spec.deadline);
        self.set_timer(respond_by, TimerKey::Request(spec.id));
        self.advance_queue();
    }

    /// Makes the next attempt of each queued request, in the order of their ranks. A request
    /// without KV state that cannot be sent blocks later ones of its class that have none either,
    /// and gets its final response now if the queue leaves it too little time.
    pub(crate) fn advance_queue(&mut self) {
        let mut order: Vec<QueueRank> = self.queue.iter().map(|id| self.queue_rank(*id)).collect();
        order.sort_unstable();
        let mut blocked_classes = BTreeSet::new();
        let mut position = 0;
        for rank in order {
            let id = rank.id;
            let Some(spec) = self.requests.get(&id).map(|request| request.spec) else {
                continue;
            };
            if !rank.needs_prefill || !blocked_classes.contains(&spec.class) {
                self.advance(id);
            }
            if rank.needs_prefill && self.queue.contains(&id) {
                blocked_classes.insert(spec.class);
                position += 1;
                if !self.can_respond_in_time(&spec, position) {
                    self.reject_or_fail(id);
                }
            }
        }
    }

    fn queue_rank(&self, id: RequestId) -> QueueRank {
        let request = &self.requests[&id];
        let spec = &request.spec;
        let class = self.parameters.class(spec.class);
        let first_token_due = request.arrived_at + class.latency_objective(spec.prompt_tokens);
        let first_token_at = self.now + self.traffic_estimates.likely_time_to_first_token();
        let is_late = first_token_at > spec.deadline.min(first_token_due);
        let arrival_order = i64::from(id.0);
        QueueRank {
            needs_prefill: request.state.lease().is_none(),
            is_late,
            priority: Reverse((class.priority_weight * PRIORITY_RESOLUTION) as i64),
            arrival_rank: if is_late {
                -arrival_order
            } else {
                arrival_order
            },
            id,
        }
    }

    /// Whether a request at a position of the queue, counted from 1, can still be served before its
    /// deadline. If not, an early rejection lets its client try elsewhere.
    fn can_respond_in_time(&self, spec: &RequestSpec, position: usize) -> bool {
        let queue_wait = self.traffic_estimates.queue_wait(position, self.now) as f64;
        let service_time =
            self.traffic_estimates.mean_time_to_first_token() * MIN_FIRST_TOKEN_SHARE;
        let respond_by = self.parameters.respond_by(spec.deadline);
        self.now as f64 + (queue_wait + service_time) < respond_by as f64
    }

    /// Gives a request its final response without serving it: a rejection if it is harmless to try
    /// again, else a failure.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let attempt = request.state.attempt();
        let may_have_executed = request.execution.is_some()
            || attempt.is_some_and(|attempt| attempt.role != Role::Prefill);
        let class = self.parameters.class(request.spec.class);
        let action = if class.retry_rule.may_reject(may_have_executed) {
            Action::Reject {
                id,
                retry_after: self.retry_after(),
            }
        } else {
            Action::Fail(id)
        };
        self.actions.push(action);
        self.close_request(id);
    }

    /// The time that a rejected client should wait: until the present queue has been served.
    fn retry_after(&self) -> Micros {
        let max = self.parameters.max_retry_after;
        let queue_wait = self
            .traffic_estimates
            .queue_wait(self.queue.len().max(1), self.now);
        queue_wait.clamp(TICK.min(max), max)
    }
}
