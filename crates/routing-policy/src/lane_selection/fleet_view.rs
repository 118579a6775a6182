//! Figures over all endpoints together that one decision needs.

use std::collections::BTreeMap;

use crate::config::Role;
use crate::estimators::PerRole;
use crate::events::EndpointSpec;
use crate::ids::{CellId, ZoneId};
use crate::policy::Policy;
use crate::slow_start::SendKind;

/// The numbers of open prefill and decode endpoints of a group.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RoleCounts {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

impl RoleCounts {
    fn count(&mut self, role: Role) {
        match role {
            Role::Prefill => self.prefill += 1.0,
            Role::Decode => self.decode += 1.0,
            Role::Mixed => {}
        }
    }

    /// Returns the number of partners for each endpoint of a role.
    fn partners_per_endpoint(&self, role: Role) -> f64 {
        match role {
            Role::Prefill => self.decode / self.prefill.max(1.0),
            Role::Decode | Role::Mixed => self.prefill / self.decode.max(1.0),
        }
    }
}

/// The mean of a reported value over the endpoints that report it.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, value: Option<f64>) {
        if let Some(value) = value {
            self.sum += value;
            self.count += 1.0;
        }
    }

    fn value(self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

/// Figures over all endpoints at the time of one decision.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    /// Largest number of this router's streams at any endpoint, at least 1.
    pub(crate) max_streams: f64,
    /// Mean memory utilisation that endpoints of each role report. Like the other means, it stands
    /// in for the value of an endpoint that has not reported one.
    pub(crate) mean_memory: PerRole<Option<f64>>,
    /// Mean slot utilisation that endpoints of each role report.
    pub(crate) mean_slots: PerRole<Option<f64>>,
    /// Mean share of a full queue that endpoints of each role report.
    pub(crate) mean_queue: PerRole<Option<f64>>,
    /// Numbers of open endpoints in all zones, or `None` if no prefill or decode endpoint is open.
    pub(crate) open: Option<RoleCounts>,
    open_by_cell: BTreeMap<CellId, RoleCounts>,
    open_by_zone: BTreeMap<ZoneId, RoleCounts>,
}

impl FleetView {
    /// Returns the share of the endpoints of a role in a cell that are paired within the cell: the
    /// partners for each of them in the cell, relative to those in its zone. It may exceed 1.
    pub(crate) fn paired_share(&self, spec: &EndpointSpec, role: Role) -> f64 {
        /// Keeps the quotient finite.
        const MIN_PARTNERS: f64 = 1e-9;
        let partners =
            |counts: Option<&RoleCounts>| counts.map_or(1.0, |c| c.partners_per_endpoint(role));
        let in_cell = partners(self.open_by_cell.get(&spec.cell));
        let in_zone = partners(self.open_by_zone.get(&spec.zone));
        in_cell / in_zone.max(MIN_PARTNERS)
    }

    fn count_open(&mut self, spec: &EndpointSpec, role: Role) {
        self.open_by_cell.entry(spec.cell).or_default().count(role);
        self.open_by_zone.entry(spec.zone).or_default().count(role);
        self.open.get_or_insert_default().count(role);
    }
}

impl Policy {
    pub(crate) fn fleet_view(&self) -> FleetView {
        let mut memory: PerRole<Mean> = PerRole::default();
        let mut slots: PerRole<Mean> = PerRole::default();
        let mut queue: PerRole<Mean> = PerRole::default();
        let mut fleet = FleetView {
            max_streams: 1.0,
            ..FleetView::default()
        };
        for (id, endpoint) in &self.endpoints.entries {
            fleet.max_streams = fleet.max_streams.max(endpoint.in_flight.streams);
            let role = self.role_of(endpoint);
            if endpoint.is_active {
                let load = self.reported_load(endpoint);
                memory.get_mut(role).add(load.memory);
                slots.get_mut(role).add(load.slots);
                queue.get_mut(role).add(load.queue);
            }
            if role != Role::Mixed && self.is_open(*id, SendKind::Any) {
                fleet.count_open(&endpoint.spec, role);
            }
        }
        fleet.mean_memory = memory.map(Mean::value);
        fleet.mean_slots = slots.map(Mean::value);
        fleet.mean_queue = queue.map(Mean::value);
        fleet
    }
}
