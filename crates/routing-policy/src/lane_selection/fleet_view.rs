//! What one decision takes from all endpoints together.

use std::collections::BTreeMap;

use crate::config::Role;
use crate::estimators::PerRole;
use crate::events::EndpointSpec;
use crate::ids::{CellId, ZoneId};
use crate::policy::Policy;
use crate::slow_start::SendKind;

/// The open endpoints of a group, by role.
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

    /// Partners for each endpoint of a role.
    fn partners_of(&self, role: Role) -> f64 {
        match role {
            Role::Prefill => self.decode / self.prefill.max(1.0),
            Role::Decode | Role::Mixed => self.prefill / self.decode.max(1.0),
        }
    }
}

/// The mean of a reported figure over the endpoints that report it.
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

/// All endpoints, as one decision sees them.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    /// The most streams of this router at any endpoint, at least 1.
    pub(crate) most_streams: f64,
    /// The means of the loads that endpoints of each role report. They stand in for loads that an
    /// endpoint has not reported.
    pub(crate) mean_memory: PerRole<Option<f64>>,
    pub(crate) mean_slots: PerRole<Option<f64>>,
    pub(crate) mean_queue: PerRole<Option<f64>>,
    /// The open endpoints.
    pub(crate) open: Option<RoleCounts>,
    open_by_cell: BTreeMap<CellId, RoleCounts>,
    open_by_zone: BTreeMap<ZoneId, RoleCounts>,
}

impl FleetView {
    /// The part of a cell's endpoints of a role that have partners there, relative to their zone.
    pub(crate) fn paired_share(&self, spec: &EndpointSpec, role: Role) -> f64 {
        /// Keeps the quotient finite.
        const MIN_PARTNERS: f64 = 1e-9;
        let partners = |counts: Option<&RoleCounts>| counts.map_or(1.0, |c| c.partners_of(role));
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
            most_streams: 1.0,
            ..FleetView::default()
        };
        for (id, endpoint) in &self.endpoints.entries {
            fleet.most_streams = fleet.most_streams.max(endpoint.in_flight.streams);
            let role = self.role_of(endpoint);
            if endpoint.is_listed {
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
