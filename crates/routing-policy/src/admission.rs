//! Admission: arrivals, the order of the queue, and when a request is rejected.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::actions::Action;
use crate::config::Role;
use crate::events::RequestSpec;
use crate::ids::{Micros, RequestId, TimerKey};
use crate::parameters::TICK;
use crate::policy::Policy;
use crate::requests::Request;

/// The share of the mean time to first token under which no fair chance is left: few are that
/// quick.
const FAIR_CHANCE_SHARE: f64 = 0.5;
/// Priority weights are compared in thousandths.
const PRIORITY_RESOLUTION: f64 = 1000.0;

/// The order of the queue: requests with KV state first, then those with the highest priority that
/// can be in time, the oldest first, then late ones, the newest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    needs_prefill: bool,
    is_late: bool,
    priority: Reverse<i64>,
    turn: i64,
    id: RequestId,
}

impl Policy {
    pub(crate) fn on_request_arrived(&mut self, spec: RequestSpec) {
        if self.requests.contains_key(&spec.id) {
            return;
        }
        let now = self.now;
        if self.queue.is_empty() {
            self.traffic.queue_begins(now);
        }
        self.requests.insert(spec.id, Request::new(spec, now));
        self.queue.insert(spec.id);
        self.traffic.request_arrived(now);
        self.prefix_popularity.record(spec.shared_prefix, now);
        self.check_budget.request_arrived();
        let respond_by = self.parameters.respond_by(spec.deadline);
        self.set_timer(respond_by, TimerKey::Request(spec.id));
        self.advance_queue();
    }

    /// Advances what is queued in its order. A request that cannot be sent blocks its class, and is
    /// rejected if it has no fair chance to be in time.
    pub(crate) fn advance_queue(&mut self) {
        let mut order: Vec<QueueRank> = self.queue.iter().map(|id| self.queue_rank(*id)).collect();
        order.sort_unstable();
        let mut blocked_classes = BTreeSet::new();
        let mut ahead = 0;
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
                ahead += 1;
                if !self.has_fair_chance(&spec, ahead) {
                    self.give_up(id);
                }
            }
        }
    }

    fn queue_rank(&self, id: RequestId) -> QueueRank {
        let request = &self.requests[&id];
        let spec = &request.spec;
        let class = self.parameters.class(spec.class);
        let wanted_by = request.arrived_at + class.latency_objective(spec.prompt_tokens);
        let first_token_at = self.now + self.traffic.likely_time_to_first_token();
        let is_late = first_token_at > spec.deadline.min(wanted_by);
        let age_order = i64::from(id.0);
        QueueRank {
            needs_prefill: request.state.lease().is_none(),
            is_late,
            priority: Reverse((class.priority_weight * PRIORITY_RESOLUTION) as i64),
            turn: if is_late { -age_order } else { age_order },
            id,
        }
    }

    /// Whether the request at a position of the queue may still be answered in time: else its
    /// client could ask elsewhere.
    fn has_fair_chance(&self, spec: &RequestSpec, position: usize) -> bool {
        let queue_wait = self.traffic.queue_wait(position, self.now) as f64;
        let service = self.traffic.mean_time_to_first_token() * FAIR_CHANCE_SHARE;
        let respond_by = self.parameters.respond_by(spec.deadline);
        self.now as f64 + (queue_wait + service) < respond_by as f64
    }

    /// The final response of this router: a rejection where it is true that trying again is
    /// harmless.
    pub(crate) fn give_up(&mut self, id: RequestId) {
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
        self.close(id);
    }

    /// The advice to a rejected client: when the present queue will have been served.
    fn retry_after(&self) -> Micros {
        let max = self.parameters.max_retry_after;
        let queue_wait = self.traffic.queue_wait(self.queue.len().max(1), self.now);
        queue_wait.clamp(TICK.min(max), max)
    }
}
