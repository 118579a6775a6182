//! Arrival, the order of the queue, and rejection.

use crate::policy::*;
use crate::*;

const PROBES_AN_ASK: f64 = 1.5; // probes a request: health_checks all cost more than the work
const FAIR_LEAD: f64 = 0.5; // of the mean, under which no fair chance is left: few are that quick

impl Policy {
    pub(crate) fn on_ask(&mut self, ask: RequestSpec) {
        if self.requests.contains_key(&ask.id) {
            return;
        }
        if self.waiting.is_empty() {
            self.pace.room_at = self.now;
        }
        self.requests.insert(
            ask.id,
            Request {
                ask,
                arrived: self.now,
                ..Request::default()
            },
        );
        self.waiting.insert(ask.id);
        self.pace.ask_span +=
            ((self.now - self.pace.asked_at) as f64 - self.pace.ask_span) * WORK_STEP;
        self.pace.asked_at = self.now;
        if self.openings.len() > KEPT_MOST {
            self.openings.clear();
        }
        for key in [Some(None), ask.shared_prefix.map(Some)]
            .into_iter()
            .flatten()
        {
            self.openings
                .entry(key)
                .or_default()
                .add(1.0, self.now, KEPT_FOR);
        }
        self.pace.probes = (self.pace.probes + PROBES_AN_ASK).min(4.0 * PROBES_AN_ASK);
        self.out.push(Action::SetTimer {
            at: self.last_call(&ask),
            key: TimerKey::Request(ask.id),
        });
        self.advance_waiting();
    }

    pub(crate) fn aim_span(&self, ask: &RequestSpec) -> Micros {
        let class = self.class(ask);
        let per_1000 = class
            .and_then(|c| c.latency_objective_per_1000_tokens)
            .unwrap_or(0.0);
        class.and_then(|c| c.latency_objective).unwrap_or(AIM)
            + (per_1000 * ask.prompt_tokens as f64 / 1000.0) as Micros
    }

    pub(crate) fn last_call(&self, ask: &RequestSpec) -> Micros {
        let period = self.settings.event_interval.unwrap_or(TICK);
        let slack = self.settings.response_slack.unwrap_or(0);
        ask.deadline - if slack > 2 * period { 0 } else { 2 * period }
    }

    /// First those with a state, then the worthiest and oldest that can be in time, then new late ones.
    pub(crate) fn advance_waiting(&mut self) {
        let rank = |id: &RequestId| {
            let request = &self.requests[id];
            let worth = self
                .class(&request.ask)
                .and_then(|c| c.priority_weight)
                .unwrap_or(1.0);
            let late = self.now + self.pace.lead as Micros
                > request
                    .ask
                    .deadline
                    .min(request.arrived + self.aim_span(&request.ask));
            let turn = if late {
                -i64::from(id.0)
            } else {
                i64::from(id.0)
            };
            (
                request.state.is_none(),
                late,
                -(worth * 1000.0) as i64,
                turn,
                *id,
            )
        };
        let mut order: Vec<_> = self.waiting.iter().map(rank).collect();
        order.sort_unstable();
        let (mut blocked, mut ahead) = (BTreeSet::new(), 0);
        for (fresh, .., id) in order {
            let Some(ask) = self.requests.get(&id).map(|r| r.ask) else {
                continue;
            };
            if !fresh || !blocked.contains(&ask.class) {
                self.advance(id);
            }
            if fresh && self.waiting.contains(&id) {
                blocked.insert(ask.class);
                ahead += 1;
                if !self.has_chance(&ask, ahead) {
                    self.give_up(id);
                }
            }
        }
    }

    /// Whether the `turn`-th that waits may still be answered in time: else its client could ask elsewhere.
    pub(crate) fn has_chance(&self, ask: &RequestSpec, turn: usize) -> bool {
        let wait = self.room_wait(turn) as f64 + self.pace.lead / LEAD_SAFETY * FAIR_LEAD;
        self.now as f64 + wait < self.last_call(ask) as f64
    }

    /// How long until room has opened here for so many.
    pub(crate) fn room_wait(&self, turns: usize) -> Micros {
        let since = (self.now - self.pace.room_at) as f64;
        ((self.pace.room_span + (since - self.pace.room_span).max(0.0) * ROOM_STEP) * turns as f64)
            as Micros
    }

    /// The final answer of this dispatcher: a refusal where it is true that trying again is harmless.
    pub(crate) fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let out_there =
            request.ran.is_some() || request.out.is_some_and(|o| o.stage != Role::Prefill);
        let harmless = RetryRule::of(self.class(&request.ask)).may_reject(out_there);
        let most = self
            .settings
            .max_retry_after
            .filter(|_| self.settings.retry_after)
            .unwrap_or(0)
            .max(0);
        let retry_after = self
            .room_wait(self.waiting.len().max(1))
            .clamp(TICK.min(most), most);
        self.out.push(if harmless {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail(id)
        });
        self.end(id);
    }
}
