//! The control service: publishes the policy's view of each endpoint to other proxies through xDS.
//! It is off unless an operator's file enables it. It makes no decisions: it polls the core for
//! endpoint reports and converts them to snapshots.

use std::net::SocketAddr;
use std::time::Duration;

use cranetack_routing_policy::EndpointState;
use cranetack_settings::SiteSettings;
use cranetack_xds_server::{ClusterEndpoint, Health, Snapshot};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::{interval, MissedTickBehavior};

use crate::core::{EndpointReport, Handle};

/// Default interval between snapshots.
const DEFAULT_PERIOD_MS: u32 = 500;
/// Default number of weight steps.
const DEFAULT_WEIGHT_STEPS: u32 = 20;
/// Minimum weight of an endpoint: xDS does not accept 0.
const MIN_WEIGHT: u32 = 1;

/// The settings of the control service, as the operator's file has them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// The address at which other proxies connect.
    pub listen: SocketAddr,
    /// The interval between snapshots, in milliseconds.
    #[serde(default = "default_period")]
    pub period_ms: u32,
    /// The number of steps to which weights are rounded. Fewer steps cause fewer updates.
    #[serde(default = "default_weight_steps")]
    pub weight_steps: u32,
}

fn default_period() -> u32 {
    DEFAULT_PERIOD_MS
}

fn default_weight_steps() -> u32 {
    DEFAULT_WEIGHT_STEPS
}

impl Setup {
    /// Checks the values. The error is one line that begins with the key at fault.
    pub fn check(&self) -> Result<(), String> {
        if self.period_ms == 0 {
            return Err("period_ms: must be above 0".to_owned());
        }
        if self.weight_steps == 0 {
            return Err("weight_steps: must be above 0".to_owned());
        }
        Ok(())
    }
}

/// Asks the core for endpoint reports at each interval and publishes the snapshot if it has
/// changed. Ends when all receivers of the snapshots have been dropped or the core has stopped.
pub async fn publish_snapshots(
    handle: Handle,
    setup: Setup,
    site: SiteSettings,
    publisher: watch::Sender<Snapshot>,
) {
    let mut ticks = interval(Duration::from_millis(setup.period_ms.into()));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = publisher.closed() => return,
        }
        let Some(reports) = handle.endpoint_reports().await else {
            return;
        };
        let current = snapshot(&reports, &site, setup.weight_steps);
        publisher.send_if_modified(|published| {
            let is_changed = *published != current;
            *published = current;
            is_changed
        });
    }
}

/// Builds a snapshot with one cluster per kind of endpoint, named as the settings name the kind.
fn snapshot(reports: &[EndpointReport], site: &SiteSettings, weight_steps: u32) -> Snapshot {
    let mut snapshot = Snapshot::new();
    for kind in &site.kinds {
        snapshot.insert(kind.clone(), Vec::new());
    }
    for report in reports {
        if let Some(health) = health(report) {
            let cluster = name_at(&site.kinds, report.spec.kind.0);
            let endpoint = ClusterEndpoint {
                address: report.address,
                zone: name_at(&site.zones, report.spec.zone.0),
                cell: report.spec.cell.0.to_string(),
                health,
                weight: weight(report.status.score, weight_steps),
            };
            snapshot.entry(cluster).or_default().push(endpoint);
        }
    }
    for endpoints in snapshot.values_mut() {
        endpoints.sort_by_key(|endpoint| endpoint.address);
    }
    snapshot
}

/// The health of an endpoint; `None` if the endpoint has been removed.
fn health(report: &EndpointReport) -> Option<Health> {
    match report.spec.state {
        EndpointState::Removed => None,
        EndpointState::Draining => Some(Health::Draining),
        EndpointState::Active if report.status.accepts_work => Some(Health::Healthy),
        EndpointState::Active => Some(Health::Unhealthy),
    }
}

fn weight(score: f64, weight_steps: u32) -> u32 {
    let steps = (score.clamp(0.0, 1.0) * f64::from(weight_steps)).round();
    (steps as u32).max(MIN_WEIGHT)
}

/// The name at an index; empty if the index is out of range.
fn name_at(names: &[String], index: usize) -> String {
    names.get(index).cloned().unwrap_or_default()
}

#[cfg(test)]
mod tests;
