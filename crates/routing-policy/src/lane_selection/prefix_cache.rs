//! The prompts that endpoints are known to have in their prefix caches.

use std::collections::BTreeMap;

use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::events::{Outcome, RequestSpec};
use crate::ids::{Micros, PrefixId, SessionId};
use crate::policy::Policy;
use crate::requests::Attempt;

/// Time for which a prompt counts as cached after an endpoint has processed it. A session pauses
/// only for seconds between its turns.
pub(crate) const CACHE_RETENTION: Micros = 60_000_000;
/// Maximum number of prompts that are remembered for an endpoint, and of shared prefixes that are
/// counted. A table that is full is cleared.
pub(crate) const MAX_ENTRIES: usize = 2_000;
/// Maximum number of prompts that are remembered for all endpoints together.
const MAX_TOTAL_ENTRIES: usize = 40_000;
/// Number of prompts that are remembered for an endpoint however many endpoints there are.
const MIN_ENTRIES: usize = 20;
/// Share of a prompt that the affinity target of its session is assumed to have cached, because
/// half of the prompts are later turns of a session.
const CACHED_AT_AFFINITY_TARGET: f64 = 0.9;

/// The key of a cached prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CacheKey {
    /// A shared prefix of the prompts of several sessions.
    SharedPrefix(PrefixId),
    /// The whole last prompt of a session.
    Session(SessionId),
}

#[derive(Debug, Clone, Copy)]
struct CachedPrompt {
    tokens: u64,
    at: Micros,
}

/// The prompts that an endpoint is known to have cached.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache(BTreeMap<CacheKey, CachedPrompt>);

impl PrefixCache {
    /// Records a prompt that the endpoint has processed and therefore cached: the shared prefix for
    /// other sessions, and the whole prompt for the next turn of its session.
    fn record(&mut self, spec: &RequestSpec, now: Micros, max_entries: usize) {
        if self.0.len() >= max_entries {
            self.0.clear();
        }
        if let Some(prefix) = spec.shared_prefix {
            let tokens = spec.shared_prefix_tokens;
            let key = CacheKey::SharedPrefix(prefix);
            self.0.insert(key, CachedPrompt { tokens, at: now });
        }
        if let Some(session) = spec.session {
            let tokens = spec.prompt_tokens;
            let key = CacheKey::Session(session);
            self.0.insert(key, CachedPrompt { tokens, at: now });
        }
    }

    /// Returns the number of tokens that are cached under a key.
    fn get(&self, key: CacheKey, now: Micros) -> Option<u64> {
        let cached = self.0.get(&key)?;
        (now < cached.at + CACHE_RETENTION).then_some(cached.tokens)
    }

    /// Returns whether a prompt of a session is known to be cached.
    pub(crate) fn has_session(&self, session: SessionId, now: Micros) -> bool {
        self.get(CacheKey::Session(session), now).is_some()
    }

    /// Returns the number of tokens of a prompt that are known to be cached.
    fn cached_tokens(&self, spec: &RequestSpec, now: Micros) -> u64 {
        let of_prefix = spec
            .shared_prefix
            .and_then(|prefix| self.get(CacheKey::SharedPrefix(prefix), now));
        let of_session = spec
            .session
            .and_then(|session| self.get(CacheKey::Session(session), now));
        let cached = of_prefix.unwrap_or(0).max(of_session.unwrap_or(0));
        cached.min(spec.prompt_tokens)
    }
}

/// Returns the maximum number of prompts that are remembered for each of so many endpoints.
fn max_entries(endpoint_count: usize) -> usize {
    (MAX_TOTAL_ENTRIES / endpoint_count.max(1)).clamp(MIN_ENTRIES, MAX_ENTRIES)
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
        let max_entries = max_entries(self.endpoints.entries.len());
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.prefix_cache.record(spec, now, max_entries);
        }
    }

    /// Returns C of the lane score: the share of the prompt that an endpoint is known to have
    /// cached, or is assumed to have cached as the affinity target of the session.
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

#[cfg(test)]
mod tests;
