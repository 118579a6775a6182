//! Turns among batches by deficit round robin over tokens: each flow gets as many tokens as any other of its
//! weight, whatever the length of its batches or the size of their slices, and within a flow batches take turns.

use std::collections::{HashMap, VecDeque};

/// Whose turn it is: a class of request and a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// The class.
    pub class: u32,
    /// The tenant, by a number that the caller gives; 0 where there are none.
    pub tenant: u64,
}

#[derive(Debug, Default)]
struct Queue {
    /// Tokens that the flow may still take in this round; below zero is a debt.
    deficit: i64,
    ready: VecDeque<u64>,
    /// Whether it stands in the ring, and has had its tokens of this visit.
    in_ring: bool,
    visited: bool,
}

/// Flows that are remembered for what they owe alone.
const DEBTORS_MOST: usize = 1_024;

/// Flows that have batches ready, and those that owe tokens.
#[derive(Debug)]
pub struct Turns {
    quantum: i64,
    flows: HashMap<Flow, Queue>,
    ring: VecDeque<Flow>,
}

impl Turns {
    /// Turns in which a flow gets so many tokens a round.
    pub fn new(quantum: u64) -> Turns {
        let quantum = i64::try_from(quantum.max(1)).unwrap_or(i64::MAX);
        Turns {
            quantum,
            flows: HashMap::new(),
            ring: VecDeque::new(),
        }
    }

    /// A batch of this flow is ready to send.
    pub fn push(&mut self, flow: Flow, batch: u64) {
        if self.flows.len() > self.ring.len() + DEBTORS_MOST {
            self.settle();
        }
        let queue = self.flows.entry(flow).or_default();
        queue.ready.push_back(batch);
        if !queue.in_ring {
            (queue.in_ring, queue.visited) = (true, false);
            self.ring.push_back(flow);
        }
    }

    /// The batch whose turn it is. `tokens` tells the size of its next slice, `None` that it is no longer there.
    pub fn next(&mut self, mut tokens: impl FnMut(u64) -> Option<u64>) -> Option<u64> {
        loop {
            let flow = *self.ring.front()?;
            let Some(queue) = self.flows.get_mut(&flow) else {
                self.ring.pop_front();
                continue;
            };
            let size = loop {
                let Some(batch) = queue.ready.front() else {
                    break None;
                };
                match tokens(*batch) {
                    Some(size) => break Some(i64::try_from(size).unwrap_or(i64::MAX)),
                    None => drop(queue.ready.pop_front()),
                }
            };
            let Some(size) = size else {
                // A flow with nothing ready saves nothing; what it owes it goes on owing, for it comes back.
                self.ring.pop_front();
                queue.in_ring = false;
                queue.deficit = queue.deficit.min(0);
                if queue.deficit == 0 {
                    self.flows.remove(&flow);
                }
                continue;
            };
            if !queue.visited {
                queue.visited = true;
                queue.deficit = queue.deficit.saturating_add(self.quantum);
            }
            if queue.deficit > 0 {
                // It may take more than it has, and owes the rest: a slice larger than a round is not held up.
                queue.deficit = queue.deficit.saturating_sub(size);
                return queue.ready.pop_front();
            }
            queue.visited = false;
            self.ring.rotate_left(1);
            // Where all owe, rounds without a turn are skipped.
            if self.ring.iter().all(|f| {
                self.flows
                    .get(f)
                    .is_some_and(|q| q.deficit + self.quantum <= 0)
            }) {
                self.forgive();
            }
        }
    }

    /// Passes as many rounds at once as leave the flow that owes least with a turn.
    fn forgive(&mut self) {
        let owed = self
            .ring
            .iter()
            .filter_map(|f| self.flows.get(f))
            .map(|q| q.deficit)
            .max()
            .unwrap_or(0);
        let rounds = -owed / self.quantum;
        for queue in self.flows.values_mut().filter(|q| q.deficit < 0) {
            queue.deficit = (queue.deficit + rounds * self.quantum).min(0);
        }
    }

    /// Flows that it knows.
    pub fn known(&self) -> usize {
        self.flows.len()
    }

    /// Forgets what flows owe that have nothing ready: to be called when nothing is open.
    pub fn settle(&mut self) {
        self.flows.retain(|_, queue| !queue.ready.is_empty());
        self.ring.retain(|flow| self.flows.contains_key(flow));
    }
}

#[cfg(test)]
mod tests;
