//! The control service: how the module stands towards each server now, handed to other proxies through xDS.
//! Off unless an operator's file sets it up. It decides nothing: it asks the core, and passes the answer on.

use std::net::SocketAddr;
use std::time::Duration;

use cranetack_routing_policy::{EndpointState, EndpointStatus};
use cranetack_settings::SiteSettings;
use cranetack_xds_server::{Health, Server, Snapshot};
use serde::Deserialize;
use tokio::sync::watch;

use crate::core::{EndpointReport, Handle};

/// The operator's file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Where other proxies connect.
    pub listen: SocketAddr,
    /// How often the module is asked.
    #[serde(default = "default_period")]
    pub period_ms: u32,
    /// In how many steps weights are given: fewer steps mean fewer updates.
    #[serde(default = "default_steps")]
    pub weight_steps: u32,
}

fn default_period() -> u32 {
    500
}

fn default_steps() -> u32 {
    20
}

impl Setup {
    /// What is wrong with the values, in one line that names the key.
    pub fn check(&self) -> Result<(), String> {
        match self {
            Setup { period_ms: 0, .. } => Err("period_ms: must be above 0".to_owned()),
            Setup {
                weight_steps: 0, ..
            } => Err("weight_steps: must be above 0".to_owned()),
            _ => Ok(()),
        }
    }
}

/// Asks the core again and again, and shows what has changed to those who watch, until nobody does.
pub async fn survey(
    handle: Handle,
    setup: Setup,
    site: SiteSettings,
    snapshots: watch::Sender<Snapshot>,
) {
    let mut every = tokio::time::interval(Duration::from_millis(setup.period_ms.into()));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = every.tick() => {}
            () = snapshots.closed() => return,
        }
        let Some(endpoint_status) = handle.endpoint_reports().await else {
            return;
        };
        let now = snapshot(&endpoint_status, &site, setup.weight_steps);
        snapshots.send_if_modified(|shown| {
            let changed = *shown != now;
            *shown = now;
            changed
        });
    }
}

/// A cluster for each kind of server, named as the settings name it.
fn snapshot(endpoint_status: &[EndpointReport], site: &SiteSettings, steps: u32) -> Snapshot {
    let mut snapshot: Snapshot = site
        .kinds
        .iter()
        .map(|kind| (kind.clone(), Vec::new()))
        .collect();
    for EndpointReport {
        address,
        spec,
        status,
    } in endpoint_status
    {
        let EndpointStatus {
            accepts_work,
            score,
            ..
        } = status;
        let health = match (spec.state, accepts_work) {
            (EndpointState::Removed, _) => continue,
            (EndpointState::Draining, _) => Health::Draining,
            (EndpointState::Active, false) => Health::Unhealthy,
            (EndpointState::Active, true) => Health::Healthy,
        };
        let name = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_default();
        let server = Server {
            address: *address,
            zone: name(&site.zones, spec.zone.0),
            cell: spec.cell.0.to_string(),
            health,
            weight: ((score.clamp(0.0, 1.0) * f64::from(steps)).round() as u32).max(1),
        };
        snapshot
            .entry(name(&site.kinds, spec.kind.0))
            .or_default()
            .push(server);
    }
    snapshot
        .values_mut()
        .for_each(|servers| servers.sort_by_key(|s| s.address));
    snapshot
}

#[cfg(test)]
mod tests;
