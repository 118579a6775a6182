//! Deficit round robin over tokens. All flows that have ready batches send the same number of
//! tokens over time, whatever the number of their batches and the size of the slices. Within a
//! flow, batches take turns.

use std::collections::{HashMap, VecDeque};

/// A flow, which consists of the batches of one class and one tenant. Capacity is shared equally
/// among flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// Class of the requests.
    pub class: u32,
    /// Number that the caller assigns to the tenant; 0 if there are no tenants.
    pub tenant: u64,
}

#[derive(Debug, Default)]
struct FlowState {
    /// Number of tokens that the flow may still send in this round. A negative value is a debt,
    /// which later quanta pay off.
    deficit: i64,
    /// The flow's ready batches, in the order of their turns.
    ready: VecDeque<u64>,
    /// Whether the flow is in `DeficitRoundRobin::ring`.
    is_in_ring: bool,
    /// Whether the flow has received its quantum for its current turn.
    has_received_quantum: bool,
}

impl FlowState {
    /// Returns the number of tokens of the next slice of the first batch that is still ready.
    /// Removes the batches before it, which are no longer ready.
    fn next_slice_tokens(
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

/// Maximum number of flows outside the ring that are kept for their debt. When it is exceeded, all
/// these debts are cancelled.
const MAX_IDLE_FLOWS: usize = 1_024;

/// Deficit round robin scheduler of flows.
#[derive(Debug)]
pub struct DeficitRoundRobin {
    quantum: i64,
    /// Flows that are in the ring, and flows that left it with a debt.
    flows: HashMap<Flow, FlowState>,
    /// Flows with ready batches, in the order of their turns. The first one has the current turn.
    ring: VecDeque<Flow>,
}

impl DeficitRoundRobin {
    /// Creates a round robin that gives each flow `quantum` tokens per round. A quantum of 0 is
    /// raised to 1.
    pub fn new(quantum: u64) -> DeficitRoundRobin {
        let quantum = i64::try_from(quantum.max(1)).unwrap_or(i64::MAX);
        DeficitRoundRobin {
            quantum,
            flows: HashMap::new(),
            ring: VecDeque::new(),
        }
    }

    /// Adds a ready batch to a flow.
    pub fn push(&mut self, flow: Flow, batch: u64) {
        if self.flows.len() > self.ring.len() + MAX_IDLE_FLOWS {
            self.remove_idle_flows();
        }
        let state = self.flows.entry(flow).or_default();
        state.ready.push_back(batch);
        if !state.is_in_ring {
            state.is_in_ring = true;
            state.has_received_quantum = false;
            self.ring.push_back(flow);
        }
    }

    /// Removes and returns the batch whose turn it is. `slice_tokens` must return the number of
    /// tokens of a batch's next slice, or `None` if the batch is no longer ready.
    pub fn next(&mut self, mut slice_tokens: impl FnMut(u64) -> Option<u64>) -> Option<u64> {
        loop {
            let flow = *self.ring.front()?;
            let Some(state) = self.flows.get_mut(&flow) else {
                self.ring.pop_front();
                continue;
            };
            let Some(tokens) = state.next_slice_tokens(&mut slice_tokens) else {
                self.remove_first_from_ring(flow);
                continue;
            };
            if !state.has_received_quantum {
                state.has_received_quantum = true;
                state.deficit = state.deficit.saturating_add(self.quantum);
            }
            if state.deficit > 0 {
                // A slice may exceed the deficit, which then becomes a debt. Otherwise, a slice
                // that is larger than the quantum would have to wait for several rounds.
                state.deficit = state.deficit.saturating_sub(tokens);
                return state.ready.pop_front();
            }
            state.has_received_quantum = false;
            self.ring.rotate_left(1);
            if self.no_flow_can_send_next_round() {
                self.skip_rounds_without_sender();
            }
        }
    }

    /// Removes the first flow, which has no ready batch, from the ring. The flow loses unused
    /// tokens but keeps its debt.
    fn remove_first_from_ring(&mut self, flow: Flow) {
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

    /// Returns whether no flow in the ring could send even with its next quantum.
    fn no_flow_can_send_next_round(&self) -> bool {
        self.ring.iter().all(|flow| {
            self.flows
                .get(flow)
                .is_some_and(|state| state.deficit + self.quantum <= 0)
        })
    }

    /// Skips the rounds in which no flow in the ring could send: as many as the flow with the least
    /// debt needs before it can send again. Adds the quanta of these rounds to all flows with a
    /// debt, also to those outside the ring, up to a deficit of 0.
    fn skip_rounds_without_sender(&mut self) {
        let highest_deficit = self
            .ring
            .iter()
            .filter_map(|flow| self.flows.get(flow))
            .map(|state| state.deficit)
            .max()
            .unwrap_or(0);
        let rounds = -highest_deficit / self.quantum;
        for state in self.flows.values_mut() {
            if state.deficit < 0 {
                state.deficit = (state.deficit + rounds * self.quantum).min(0);
            }
        }
    }

    /// Returns the number of flows that are kept: those in the ring, and those that left it with a
    /// debt.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Removes the flows that have no ready batch, and cancels their debts.
    pub fn remove_idle_flows(&mut self) {
        self.flows.retain(|_, state| !state.ready.is_empty());
        self.ring.retain(|flow| self.flows.contains_key(flow));
    }
}

#[cfg(test)]
mod tests;
