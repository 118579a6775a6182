//! What endpoints are known to have cached.

use crate::policy::*;
use crate::*;

const HOME_KEPT: f64 = 0.9; // share of a prompt that its home is taken to keep: half are later turns

impl Policy {
    /// What a reader has read it keeps: the opening for others, the whole prompt for the session's next.
    pub(crate) fn learn_kept(&mut self, id: RequestId, sent: Out, outcome: Outcome) {
        let read = matches!(outcome, Outcome::Prefilled { .. })
            || (outcome == Outcome::Completed && sent.stage == Role::Mixed);
        let Some(ask) = self.requests.get(&id).filter(|_| read).map(|r| r.ask) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&sent.endpoint) else {
            return;
        };
        if endpoint.kept.len() >= KEPT_MOST {
            endpoint.kept.clear();
        }
        let opening = ask
            .shared_prefix
            .map(|p| ((false, p.0), ask.shared_prefix_tokens));
        let whole = ask.session.map(|s| ((true, s.0), ask.prompt_tokens));
        endpoint.kept.extend(
            opening
                .into_iter()
                .chain(whole)
                .map(|(key, n)| (key, (n, self.now))),
        );
    }

    /// C: the share of the prompt that the reader is known to keep, or taken to keep as the session's home.
    pub(crate) fn kept(
        &self,
        ask: &RequestSpec,
        reader: EndpointId,
        home: Option<EndpointId>,
    ) -> f64 {
        let kept = &self.endpoints[&reader].kept;
        let tokens = |key| {
            kept.get(&key)
                .filter(|k| self.now < k.1 + KEPT_FOR)
                .map_or(0, |k| k.0)
        };
        let opening = ask.shared_prefix.map_or(0, |p| tokens((false, p.0)));
        let session = ask.session.map_or(0, |s| tokens((true, s.0)));
        let known =
            opening.max(session).min(ask.prompt_tokens) as f64 / ask.prompt_tokens.max(1) as f64;
        known.max(if home == Some(reader) { HOME_KEPT } else { 0.0 })
    }
}
