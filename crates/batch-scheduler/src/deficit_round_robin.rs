//! Deficit round robin over tokens: each flow gets as many tokens as any other, however many
//! batches it has and however large their slices are. Within a flow, batches take turns.

use std::collections::{HashMap, VecDeque};

/// What capacity is shared among: a class of request and a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// The class.
    pub class: u32,
    /// The tenant, as a number that the caller assigns; 0 where there are none.
    pub tenant: u64,
}

#[derive(Debug, Default)]
struct FlowState {
    /// The tokens that the flow may still send in this round; below zero is a debt.
    deficit: i64,
    ready: VecDeque<u64>,
    /// Whether the flow stands in the ring.
    is_in_ring: bool,
    /// Whether it has had its quantum of this visit.
    is_visited: bool,
}

impl FlowState {
    /// The tokens of the first batch that is still ready; drops those before it that are not.
    fn first_ready_tokens(
        &mut self,
        slice_tokens: &mut impl FnMut(u64) -> Option<u64>,
    ) -> Option<i64> {
        while let Some(batch) = self.ready.front() {
            if let Some(tokens) = slice_tokens(*batch) {
                return Some(i64::try_from(tokens).unwrap_or(i64::MAX));
            }
            self.ready.pop_front();
        }
        None
    }
}

/// The most flows that are kept for their debt alone, before debts are dropped.
const MAX_IDLE_FLOWS: usize = 1_024;

/// Flows that have ready batches, and those that are in debt.
#[derive(Debug)]
pub struct DeficitRoundRobin {
    quantum: i64,
    flows: HashMap<Flow, FlowState>,
    ring: VecDeque<Flow>,
}

impl DeficitRoundRobin {
    /// A round robin in which a flow gets `quantum` tokens a round.
    pub fn new(quantum: u64) -> DeficitRoundRobin {
        let quantum = i64::try_from(quantum.max(1)).unwrap_or(i64::MAX);
        DeficitRoundRobin {
            quantum,
            flows: HashMap::new(),
            ring: VecDeque::new(),
        }
    }

    /// Adds a batch of this flow that is ready to send.
    pub fn push(&mut self, flow: Flow, batch: u64) {
        if self.flows.len() > self.ring.len() + MAX_IDLE_FLOWS {
            self.remove_idle_flows();
        }
        let state = self.flows.entry(flow).or_default();
        state.ready.push_back(batch);
        if !state.is_in_ring {
            state.is_in_ring = true;
            state.is_visited = false;
            self.ring.push_back(flow);
        }
    }

    /// Removes and returns the batch whose turn it is. `slice_tokens` returns the size of a batch's
    /// next slice, `None` if the batch is no longer ready.
    pub fn next(&mut self, mut slice_tokens: impl FnMut(u64) -> Option<u64>) -> Option<u64> {
        loop {
            let flow = *self.ring.front()?;
            let Some(state) = self.flows.get_mut(&flow) else {
                self.ring.pop_front();
                continue;
            };
            let Some(tokens) = state.first_ready_tokens(&mut slice_tokens) else {
                self.leave_ring(flow);
                continue;
            };
            if !state.is_visited {
                state.is_visited = true;
                state.deficit = state.deficit.saturating_add(self.quantum);
            }
            if state.deficit > 0 {
                // A flow may send more than its deficit and owe the rest, so that a slice larger
                // than the quantum is not held up.
                state.deficit = state.deficit.saturating_sub(tokens);
                return state.ready.pop_front();
            }
            state.is_visited = false;
            self.ring.rotate_left(1);
            if self.is_everyone_in_debt() {
                self.skip_rounds();
            }
        }
    }

    /// Takes the first flow, which has nothing ready, out of the ring. It keeps no credit, but it
    /// keeps its debt.
    fn leave_ring(&mut self, flow: Flow) {
        self.ring.pop_front();
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        state.is_in_ring = false;
        state.deficit = state.deficit.min(0);
        if state.deficit == 0 {
            self.flows.remove(&flow);
        }
    }

    /// Whether no flow in the ring could send in the next round.
    fn is_everyone_in_debt(&self) -> bool {
        self.ring.iter().all(|flow| {
            self.flows
                .get(flow)
                .is_some_and(|state| state.deficit + self.quantum <= 0)
        })
    }

    /// Passes as many rounds at once as the flow with the least debt needs to send again.
    fn skip_rounds(&mut self) {
        let least_debt = self
            .ring
            .iter()
            .filter_map(|flow| self.flows.get(flow))
            .map(|state| state.deficit)
            .max()
            .unwrap_or(0);
        let rounds = -least_debt / self.quantum;
        for state in self.flows.values_mut() {
            if state.deficit < 0 {
                state.deficit = (state.deficit + rounds * self.quantum).min(0);
            }
        }
    }

    /// How many flows are kept.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Removes the flows that have nothing ready, with their debts.
    pub fn remove_idle_flows(&mut self) {
        self.flows.retain(|_, state| !state.ready.is_empty());
        self.ring.retain(|flow| self.flows.contains_key(flow));
    }
}

#[cfg(test)]
mod tests;
