//! The table of endpoints and the updates of the endpoint list.

use crate::policy::*;
use crate::*;

const SUBSCRIBE_AGAIN: Micros = 500_000; // after a failed call for the list (us)

impl Policy {
    pub(crate) fn on_endpoint_update(&mut self, update: EndpointUpdate) {
        match update {
            EndpointUpdate::Delta(entries) => {
                self.observe_starts(&entries);
                self.starts.confirm(self.now);
                self.store_entries(entries);
            }
            EndpointUpdate::Snapshot(entries) => {
                self.remove_all_entries();
                self.observe_starts(&entries);
                self.starts.confirm(self.now);
                self.store_entries(entries);
            }
            EndpointUpdate::Restored(entries) => {
                self.remove_all_entries();
                self.observe_starts(&entries);
                self.store_entries(entries);
            }
            EndpointUpdate::PollFailed if self.settings.endpoints_are_polled => {
                self.out.push(Action::SetTimer {
                    at: self.now + SUBSCRIBE_AGAIN,
                    key: TimerKey::PollEndpoints,
                });
            }
            EndpointUpdate::PollFailed => {}
        }
        // Machines are replaced by others for as long as this lives: one that is gone is kept while in use.
        let in_use = |h: &Endpoint| h.held[0] + h.held[1] + h.coming > 0.01;
        self.endpoints
            .retain(|_, h| h.spec.state != EndpointState::Removed || in_use(h));
        self.advance_waiting();
    }

    pub(crate) fn remove_all_entries(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
            endpoint.spec.state = EndpointState::Removed;
        }
    }

    pub(crate) fn observe_starts(&mut self, entries: &[EndpointSpec]) {
        for entry in entries {
            let known = self
                .endpoints
                .get(&entry.id)
                .is_some_and(|known| known.spec.started_at == entry.started_at);
            if let Some(started_at) = entry.started_at.filter(|at| !known && *at > 0) {
                self.starts.observe(started_at, self.now);
            }
        }
    }

    pub(crate) fn store_entries(&mut self, entries: Vec<EndpointSpec>) {
        for entry in entries {
            let known_start = self
                .endpoints
                .get(&entry.id)
                .map(|known| known.spec.started_at);
            let endpoint = self
                .endpoints
                .entry(entry.id)
                .or_insert_with(|| Endpoint::new(entry));
            endpoint.spec = entry;
            endpoint.listed = entry.state == EndpointState::Active;
            if known_start != Some(entry.started_at) {
                endpoint.kept = BTreeMap::new();
                endpoint.load = None;
                endpoint.fails = BTreeMap::new();
                endpoint.cold_turn = [(self.now, uniform(self.rng.next_u64())), (self.now, 0.0)];
            }
        }
    }

    pub(crate) fn ours(&self) -> [f64; 2] {
        self.endpoints.values().fold([0.0; 2], |sum, h| {
            [sum[0] + h.held[0], sum[1] + h.held[1] + h.coming]
        })
    }

    pub(crate) fn stage(&self, endpoint: &Endpoint) -> Role {
        self.settings
            .kinds
            .get(endpoint.spec.kind.0)
            .and_then(|k| k.role)
            .unwrap_or(Role::Mixed)
    }
}
