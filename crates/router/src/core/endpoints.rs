//! The table of endpoints, and the updates of the endpoint list.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cranetack_routing_policy::{
    EndpointId, EndpointSpec, EndpointState, EndpointUpdate, Event, LoadReport, Outcome,
};

use super::clock::micros;
use super::endpoint::{stable_hash, Endpoint, EndpointEntry, EndpointListUpdate};
use super::messages::{EndpointReport, Outbound};
use super::Core;

/// All endpoints: the handles that the upstream shares, and the entries that the policy is given.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    handles: HashMap<EndpointId, Rc<Endpoint>>,
    specs: HashMap<EndpointId, EndpointSpec>,
    /// Rotates the order of endpoints that have not responded.
    rotation: usize,
}

impl EndpointTable {
    pub(super) fn handle(&self, id: EndpointId) -> Option<&Rc<Endpoint>> {
        self.handles.get(&id)
    }

    pub(super) fn get(&self, id: EndpointId) -> Option<(&Rc<Endpoint>, &EndpointSpec)> {
        self.handles.get(&id).zip(self.specs.get(&id))
    }

    pub(super) fn specs(&self) -> Vec<EndpointSpec> {
        self.specs.values().copied().collect()
    }

    /// The active endpoints, those that responded last first.
    fn active_by_last_response(&mut self) -> Vec<Rc<Endpoint>> {
        let handles = self.handles.values();
        let mut active: Vec<_> = handles
            .filter(|endpoint| endpoint.is_active())
            .cloned()
            .collect();
        active.sort_by_key(|endpoint| endpoint.id);
        self.rotation = self.rotation.wrapping_add(1);
        let rotation = self.rotation % active.len().max(1);
        active.rotate_left(rotation);
        active.sort_by_key(|endpoint| Reverse(endpoint.last_response.get()));
        active
    }

    fn clear_entries(&mut self) {
        for endpoint in self.handles.values() {
            endpoint.active.set(false);
        }
        self.specs.clear();
    }

    /// Stores an entry; returns the one before.
    fn store(&mut self, entry: &EndpointEntry, id: EndpointId) -> Option<EndpointSpec> {
        let endpoint = self
            .handles
            .entry(id)
            .or_insert_with(|| Rc::new(Endpoint::new(&entry.name, entry.address)));
        endpoint.address.set(entry.address);
        endpoint.active.set(entry.state == EndpointState::Active);
        self.specs.insert(id, spec_of(entry, id))
    }

    /// Machines are replaced by others for as long as the router runs: those that were removed are
    /// forgotten. Returns their ids.
    fn forget_removed(&mut self) -> Vec<EndpointId> {
        self.specs
            .retain(|_, spec| spec.state != EndpointState::Removed);
        let specs = &self.specs;
        self.handles
            .extract_if(|id, _| !specs.contains_key(id))
            .map(|(id, _)| id)
            .collect()
    }
}

fn spec_of(entry: &EndpointEntry, id: EndpointId) -> EndpointSpec {
    EndpointSpec {
        id,
        started_at: entry.started_at,
        kind: entry.kind,
        state: entry.state,
        cell: entry.cell,
        weight: entry.weight,
        zone: entry.zone,
    }
}

impl<O: Outbound> Core<O> {
    pub(super) fn endpoints_updated(&mut self, update: EndpointListUpdate) {
        let update = match update {
            EndpointListUpdate::Delta(entries) => {
                EndpointUpdate::Delta(self.store_entries(&entries))
            }
            EndpointListUpdate::Snapshot(entries) => {
                self.endpoints.clear_entries();
                EndpointUpdate::Snapshot(self.store_entries(&entries))
            }
            EndpointListUpdate::Restored(entries) => {
                self.endpoints.clear_entries();
                EndpointUpdate::Restored(self.store_entries(&entries))
            }
        };
        self.decide(Event::EndpointsUpdated(update));
    }

    fn store_entries(&mut self, entries: &[EndpointEntry]) -> Vec<EndpointSpec> {
        let specs = entries
            .iter()
            .map(|entry| self.store_entry(entry))
            .collect();
        for id in self.endpoints.forget_removed() {
            self.outbound.close_idle(id);
        }
        specs
    }

    fn store_entry(&mut self, entry: &EndpointEntry) -> EndpointSpec {
        let id = EndpointId(stable_hash(&entry.name));
        let before = self.endpoints.store(entry, id);
        // Idle connections to the process before are of no use, and may never show that they are
        // dead.
        if before.is_some_and(|before| before.started_at != entry.started_at) {
            self.outbound.close_idle(id);
        }
        tracing::debug!(
            endpoint = entry.name,
            kind = entry.kind.0,
            zone = entry.zone.0,
            cell = entry.cell.0,
            state = ?entry.state,
            started_at = entry.started_at,
            "endpoint listed"
        );
        let has_changed = before.is_some_and(|before| {
            before.state != entry.state || before.started_at != entry.started_at
        });
        if has_changed {
            tracing::info!(
                endpoint = entry.name,
                kind = entry.kind.0,
                address = %entry.address,
                state = ?entry.state,
                started_at = entry.started_at,
                "endpoint changed"
            );
        }
        spec_of(entry, id)
    }

    /// Drains endpoints of which no more is known than that they take no new requests.
    pub(super) fn endpoints_draining(&mut self, names: &[String]) {
        let mut specs = Vec::new();
        for name in names {
            let id = EndpointId(stable_hash(name));
            let handle = self.endpoints.handles.get(&id);
            let spec = self.endpoints.specs.get_mut(&id);
            if let (Some(handle), Some(spec)) = (handle, spec) {
                handle.active.set(false);
                spec.state = EndpointState::Draining;
                specs.push(*spec);
            }
        }
        self.decide(Event::EndpointsUpdated(EndpointUpdate::Delta(specs)));
    }

    pub(super) fn health_checked(
        &mut self,
        endpoint: EndpointId,
        outcome: Outcome,
        elapsed: Duration,
        load: Option<LoadReport>,
    ) {
        if let Some(handle) = self.endpoints.handle(endpoint) {
            let endpoint = &handle.name;
            tracing::debug!(endpoint, ?outcome, ?elapsed, ?load, "health check ended");
        }
        if matches!(outcome, Outcome::Completed | Outcome::Rejected(_)) {
            self.endpoint_responded(endpoint);
        }
        self.decide(Event::HealthChecked {
            endpoint,
            outcome,
            elapsed: micros(elapsed),
            load,
        });
    }

    pub(super) fn endpoint_responded(&self, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.handle(id) {
            endpoint.last_response.set(self.clock.now());
        }
    }

    pub(super) fn endpoint_reports(&mut self) -> Vec<EndpointReport> {
        let statuses = self.policy.endpoint_statuses(self.clock.now());
        let mut reports = Vec::with_capacity(statuses.len());
        for status in statuses {
            if let Some((handle, spec)) = self.endpoints.get(status.endpoint) {
                reports.push(EndpointReport {
                    address: handle.address(),
                    spec: *spec,
                    status,
                });
            }
        }
        reports
    }

    /// The endpoints through which state may be released: any of them can, so the likeliest to be
    /// reached come first, and a call is not tried at one unreachable endpoint after another.
    pub(super) fn endpoints_for_release(&mut self) -> Vec<Rc<Endpoint>> {
        self.endpoints.active_by_last_response()
    }
}
