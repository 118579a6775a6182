//! The ids of requests that may have been executed and must not be executed again.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

/// Maximum number of ids that are remembered; the oldest ones are forgotten first.
const MAX_IDS: usize = 8_192;

/// The ids of the latest requests that have ended, may have been executed, and may not be executed
/// twice. Only hashes are kept. Their key is random, so that no client can choose an id whose hash is
/// that of another one.
#[derive(Default)]
pub(super) struct ExecutedIds {
    key: RandomState,
    hashes: HashSet<u64>,
    /// The hashes in the order in which they were added.
    order: VecDeque<u64>,
}

impl ExecutedIds {
    /// Remembers an id.
    pub(super) fn insert(&mut self, request_id: &str) {
        let hash = self.key.hash_one(request_id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        if self.order.len() > MAX_IDS {
            if let Some(oldest) = self.order.pop_front() {
                self.hashes.remove(&oldest);
            }
        }
    }

    /// Returns whether an id is remembered.
    pub(super) fn contains(&self, request_id: &str) -> bool {
        self.hashes.contains(&self.key.hash_one(request_id))
    }
}

#[cfg(test)]
mod tests;
