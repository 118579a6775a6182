//! The table of endpoints, and the handling of endpoint list updates, health checks and endpoint
//! reports.

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

/// All endpoints: the handles that are shared with the upstream, and the entries that are passed to
/// the policy.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    handles: HashMap<EndpointId, Rc<Endpoint>>,
    specs: HashMap<EndpointId, EndpointSpec>,
    /// The offset by which the order of endpoints is rotated, so that those that have not responded
    /// take turns.
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

    /// Returns the active endpoints, the one that responded most recently first.
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

    /// Stores an entry and returns the previous entry of the same endpoint.
    fn store(&mut self, entry: &EndpointEntry, id: EndpointId) -> Option<EndpointSpec> {
        let endpoint = self
            .handles
            .entry(id)
            .or_insert_with(|| Rc::new(Endpoint::new(&entry.name, entry.address)));
        endpoint.address.set(entry.address);
        endpoint.active.set(entry.state == EndpointState::Active);
        self.specs.insert(id, spec_of(entry, id))
    }

    /// Deletes the removed endpoints from the table and returns their ids. Without this the table
    /// would grow for as long as the router runs, as machines are replaced by others.
    fn delete_removed(&mut self) -> Vec<EndpointId> {
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
        self.handle_policy_event(Event::EndpointsUpdated(update));
    }

    fn store_entries(&mut self, entries: &[EndpointEntry]) -> Vec<EndpointSpec> {
        let specs = entries
            .iter()
            .map(|entry| self.store_entry(entry))
            .collect();
        for id in self.endpoints.delete_removed() {
            self.outbound.close_idle(id);
        }
        specs
    }

    fn store_entry(&mut self, entry: &EndpointEntry) -> EndpointSpec {
        let id = EndpointId(stable_hash(&entry.name));
        let previous = self.endpoints.store(entry, id);
        // Idle connections to the previous process cannot be used any more, and it may never be
        // detected that they are dead.
        if previous.is_some_and(|previous| previous.started_at != entry.started_at) {
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
        let has_changed = previous.is_some_and(|previous| {
            previous.state != entry.state || previous.started_at != entry.started_at
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

    /// Marks endpoints as draining when nothing else is known from their entries.
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
        self.handle_policy_event(Event::EndpointsUpdated(EndpointUpdate::Delta(specs)));
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
        self.handle_policy_event(Event::HealthChecked {
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

    /// Returns the endpoints through which state can be released. Any active endpoint can do it, so
    /// the ones most likely to be reachable come first: a release must not be tried at one
    /// unreachable endpoint after another.
    pub(super) fn endpoints_for_release(&mut self) -> Vec<Rc<Endpoint>> {
        self.endpoints.active_by_last_response()
    }
}
