//! The control service: publishes the policy's view of each endpoint to other proxies through xDS.
//! It is off unless an operator's file enables it. It decides nothing: it asks the core, and passes
//! the answer on.

use std::net::SocketAddr;
use std::time::Duration;

use cranetack_routing_policy::EndpointState;
use cranetack_settings::SiteSettings;
use cranetack_xds_server::{ClusterEndpoint, Health, Snapshot};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::{interval, MissedTickBehavior};

use crate::core::{EndpointReport, Handle};

/// The interval between snapshots where the file names none.
const DEFAULT_PERIOD_MS: u32 = 500;
/// The number of weight steps where the file names none.
const DEFAULT_WEIGHT_STEPS: u32 = 20;
/// xDS has no weight of 0.
const WEIGHT_MIN: u32 = 1;

/// The operator's file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// The address for other proxies.
    pub listen: SocketAddr,
    /// The interval between snapshots.
    #[serde(default = "default_period")]
    pub period_ms: u32,
    /// The number of steps in which weights are given: fewer steps mean fewer updates.
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
    /// What is wrong with the values, in one line that names the key.
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

/// Asks the core at each interval and publishes what has changed, for as long as anybody observes
/// it and the core runs.
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

/// A cluster for each kind of endpoint, under the kind's name in the settings.
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

/// The health of an endpoint; `None` for one that has been removed.
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
    (steps as u32).max(WEIGHT_MIN)
}

/// The name with this number, empty where the settings have none.
fn name_at(names: &[String], number: usize) -> String {
    names.get(number).cloned().unwrap_or_default()
}

#[cfg(test)]
mod tests;
