//! What endpoints are known to have in their prefix caches.

use std::collections::BTreeMap;

use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::events::{Outcome, RequestSpec};
use crate::ids::{Micros, PrefixId, SessionId};
use crate::policy::Policy;
use crate::requests::Attempt;

/// The span for which prompts count as cached (us): sessions pause for seconds.
pub(crate) const CACHED_FOR: Micros = 60_000_000;
/// The most entries that are remembered of an endpoint.
pub(crate) const MAX_ENTRIES: usize = 2_000;
/// The share of a prompt that a session's affinity target is taken to have cached: half of the
/// prompts are later turns.
const CACHED_AT_AFFINITY_TARGET: f64 = 0.9;

/// What is cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CachedText {
    /// A prefix that several sessions share.
    SharedPrefix(PrefixId),
    /// The whole last prompt of a session.
    Session(SessionId),
}

#[derive(Debug, Clone, Copy)]
struct CachedPrompt {
    tokens: u64,
    at: Micros,
}

/// What an endpoint is known to have cached.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache(BTreeMap<CachedText, CachedPrompt>);

impl PrefixCache {
    /// What an endpoint has processed it caches: the shared prefix for other sessions, the whole
    /// prompt for the session's next turn.
    fn record(&mut self, spec: &RequestSpec, now: Micros) {
        if self.0.len() >= MAX_ENTRIES {
            self.0.clear();
        }
        if let Some(prefix) = spec.shared_prefix {
            let tokens = spec.shared_prefix_tokens;
            let text = CachedText::SharedPrefix(prefix);
            self.0.insert(text, CachedPrompt { tokens, at: now });
        }
        if let Some(session) = spec.session {
            let tokens = spec.prompt_tokens;
            let text = CachedText::Session(session);
            self.0.insert(text, CachedPrompt { tokens, at: now });
        }
    }

    fn get(&self, text: CachedText, now: Micros) -> Option<u64> {
        let cached = self.0.get(&text)?;
        (now < cached.at + CACHED_FOR).then_some(cached.tokens)
    }

    /// Whether a prompt of a session is cached.
    pub(crate) fn knows_session(&self, session: SessionId, now: Micros) -> bool {
        self.get(CachedText::Session(session), now).is_some()
    }

    /// The tokens of a prompt that are known to be cached.
    fn cached_tokens(&self, spec: &RequestSpec, now: Micros) -> u64 {
        let of_prefix = spec
            .shared_prefix
            .and_then(|prefix| self.get(CachedText::SharedPrefix(prefix), now));
        let of_session = spec
            .session
            .and_then(|session| self.get(CachedText::Session(session), now));
        let cached = of_prefix.unwrap_or(0).max(of_session.unwrap_or(0));
        cached.min(spec.prompt_tokens)
    }
}

impl Policy {
    pub(crate) fn record_cached_prompt(
        &mut self,
        spec: &RequestSpec,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        let was_processed = match outcome {
            Outcome::Prefilled { .. } => true,
            Outcome::Completed => attempt.role == Role::Mixed,
            _ => false,
        };
        if !was_processed {
            return;
        }
        let now = self.now;
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.prefix_cache.record(spec, now);
        }
    }

    /// C: the share of the prompt that an endpoint is known to have cached, or taken to have cached
    /// as the session's affinity target.
    pub(crate) fn cached_share(
        &self,
        spec: &RequestSpec,
        endpoint: &Endpoint,
        is_affinity_target: bool,
    ) -> f64 {
        let cached = endpoint.prefix_cache.cached_tokens(spec, self.now);
        let known = cached as f64 / spec.prompt_tokens.max(1) as f64;
        let assumed = if is_affinity_target {
            CACHED_AT_AFFINITY_TARGET
        } else {
            0.0
        };
        known.max(assumed)
    }
}
