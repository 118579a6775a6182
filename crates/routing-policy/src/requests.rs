//! The life of a request: attempts that begin and end, clients that leave.

use crate::policy::*;
use crate::*;

impl Policy {
    pub(crate) fn class(&self, ask: &RequestSpec) -> Option<&Class> {
        self.settings.classes.get(ask.class.0)
    }

    pub(crate) fn on_established(&mut self, id: RequestId, attempt: u32, endpoint: EndpointId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let sent = request
            .out
            .as_mut()
            .filter(|o| o.attempt == attempt && !o.established);
        let Some(sent) = sent else { return };
        sent.established = true;
        let sent = *sent;
        let lead = (self.now - request.first_sent.unwrap_or(self.now)) as f64 * LEAD_SAFETY;
        self.pace.lead += (lead - self.pace.lead) * WORK_STEP;
        (request.state, request.holds) = (None, false);
        if let Some(h) = self
            .endpoints
            .get_mut(&endpoint)
            .filter(|_| sent.stage == Role::Mixed)
        {
            h.held[0] = (h.held[0] - sent.weight).max(0.0);
        }
        let class = request.ask.class;
        self.judge(endpoint, Some(class), Outcome::Completed);
        self.endpoints
            .entry(endpoint)
            .and_modify(|h| h.answer(sent.sent));
        self.learn_limit(id, sent, false);
    }

    pub(crate) fn on_result(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        client_done: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(sent) = request.out.filter(|o| o.attempt == attempt) else {
            return;
        };
        let class = request.ask.class;
        // Only readers leave a state: from another server it proves nothing.
        let half_done = matches!(outcome, Outcome::Prefilled { .. }) && sent.stage != Role::Prefill;
        let outcome = if half_done {
            Outcome::ServerError
        } else {
            outcome
        };
        request.out = None;
        request.ended |= client_done || outcome == Outcome::Completed;
        self.uncount(sent);
        let no_state = outcome == Outcome::Rejected(RejectReason::NoKvState);
        let not_the_servers = matches!(
            outcome,
            Outcome::ConnectionReset(ResetCause::StaleIdle)
                | Outcome::ConnectFailed(ConnectFailure::LocalResources)
        );
        if !no_state && !not_the_servers {
            self.judge(sent.endpoint, Some(class), outcome);
        }
        if matches!(
            outcome,
            Outcome::Prefilled { .. } | Outcome::Rejected(_) | Outcome::ServerError
        ) {
            self.endpoints
                .entry(sent.endpoint)
                .and_modify(|h| h.answer(sent.sent));
        }
        match outcome {
            Outcome::Prefilled { .. } => self.learn_limit(id, sent, false),
            Outcome::Rejected(RejectReason::Overloaded) => self.learn_limit(id, sent, true),
            _ => {}
        }
        self.learn_work(id, sent, outcome);
        self.learn_kept(id, sent, outcome);
        let pin = self.pin();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match outcome {
            Outcome::Prefilled { .. } => request.state = Some((sent.endpoint, self.now)),
            _ if sent.stage != Role::Decode || no_state => request.state = None,
            // Without a connection the KV state has waited all the while.
            Outcome::Completed | Outcome::ConnectFailed(_) => {}
            _ => request.state = request.state.map(|(endpoint, _)| (endpoint, self.now)),
        }
        if may_have_executed(sent.stage, outcome) && request.ran.is_none() {
            request.ran = Some(sent.run);
        }
        let (ended, until) = (request.ended, request.state.map(|(_, since)| since + pin));
        let until = until.filter(|until| self.now < *until);
        if until.is_none() {
            self.let_go(id);
        }
        if ended {
            self.end(id);
        } else {
            self.waiting.insert(id);
            self.out.extend(until.map(|at| Action::SetTimer {
                at,
                key: TimerKey::Request(id),
            }));
            self.advance(id);
        }
    }

    pub(crate) fn on_timer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let held = |since: Micros| self.now >= since + self.pin();
        match (request.state, request.out) {
            (Some((_, since)), None) if held(since) => self.let_go(id),
            (Some(_), Some(out)) if out.stage == Role::Decode && held(out.sent) => {
                self.let_go_unfetched(id)
            }
            _ => {}
        }
        self.advance(id);
    }

    /// Nobody waits for the answer: what is out is called off and its state let go when its result comes.
    pub(crate) fn leave(&mut self, id: RequestId) {
        let out = self.requests.get(&id).and_then(|r| r.out);
        let out = out.filter(|o| !o.established && self.settings.cancellation);
        self.out.extend(out.map(|out| Action::CancelAttempt {
            id,
            attempt: out.attempt,
        }));
        self.end(id);
    }

    pub(crate) fn end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.ended = true;
        self.waiting.remove(&id);
        if request.out.is_none() {
            self.let_go(id);
            self.requests.remove(&id);
        }
    }

    pub(crate) fn uncount(&mut self, sent: Out) {
        sent.toward
            .and_then(|w| self.endpoints.get_mut(&w))
            .into_iter()
            .for_each(|w| w.coming -= 1.0);
        if let Some(endpoint) = self.endpoints.get_mut(&sent.endpoint) {
            endpoint.held[0] =
                (endpoint.held[0] - if sent.established { 0.0 } else { sent.weight }).max(0.0);
            endpoint.held[1] -= f64::from(u8::from(sent.stage != Role::Prefill));
        }
    }
}
