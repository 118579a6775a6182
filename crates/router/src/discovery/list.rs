//! Decodes the endpoint list that discovery sends and converts it to the core's types.

use std::net::SocketAddr;

use cranetack_routing_policy::{CellId, EndpointState, KindId, ZoneId};
use cranetack_settings::SiteSettings;
use serde::Deserialize;

use crate::core::EndpointEntry;

/// The complete endpoint list, or the entries that have changed.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "RawList")]
pub struct EndpointList {
    /// Version of the list.
    pub version: u64,
    /// Whether the list is complete, so that an endpoint without an entry has been removed.
    pub is_snapshot: bool,
    entries: Vec<ListEntry>,
    /// Names of draining or removed endpoints whose entries cannot be decoded otherwise.
    undecoded_draining: Vec<String>,
}

/// The endpoint list as it is serialized in JSON.
#[derive(Deserialize)]
struct RawList {
    #[serde(rename = "index")]
    version: u64,
    #[serde(rename = "snapshot")]
    is_snapshot: bool,
    #[serde(rename = "endpoints")]
    entries: Vec<serde_json::Value>,
}

/// An endpoint's entry in the list.
#[derive(Debug, Clone, Deserialize)]
struct ListEntry {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(rename = "type")]
    kind: String,
    #[serde(rename = "group", default)]
    cell: i64,
    status: Status,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(rename = "since_ms", default)]
    started_at_ms: i64,
}

/// The fields that suffice to tell that an endpoint takes no new requests.
#[derive(Deserialize)]
struct MinimalEntry {
    name: String,
    status: Status,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Status {
    Up,
    Draining,
    Removed,
}

fn default_weight() -> f64 {
    1.0
}

impl From<RawList> for EndpointList {
    /// Keeps the entries that can be decoded. An entry that cannot be decoded must not invalidate
    /// the others, and must not hide that its endpoint is draining.
    fn from(raw: RawList) -> EndpointList {
        let mut list = EndpointList {
            version: raw.version,
            is_snapshot: raw.is_snapshot,
            entries: Vec::new(),
            undecoded_draining: Vec::new(),
        };
        for (number, value) in raw.entries.into_iter().enumerate() {
            match serde_json::from_value(value.clone()) {
                Ok(entry) => list.entries.push(entry),
                Err(error) => {
                    tracing::warn!(number, %error, "endpoint entry ignored: cannot be decoded");
                    if let Some(name) = draining_name(value) {
                        list.undecoded_draining.push(name);
                    }
                }
            }
        }
        list
    }
}

/// Returns the endpoint's name if the entry says that it takes no new requests.
fn draining_name(entry: serde_json::Value) -> Option<String> {
    let entry: MinimalEntry = serde_json::from_value(entry).ok()?;
    if entry.status == Status::Up {
        return None;
    }
    Some(entry.name)
}

impl EndpointList {
    /// Returns the entries as the core's type. An entry whose zone or kind is not in the settings
    /// is ignored, so that one wrong entry does not invalidate the others.
    pub fn entries(&self, site: &SiteSettings) -> Vec<EndpointEntry> {
        self.entries
            .iter()
            .filter_map(|entry| entry.resolve(site))
            .collect()
    }

    /// Returns the names of endpoints that take no new requests according to entries that are
    /// ignored otherwise.
    pub fn draining_names(&self, site: &SiteSettings) -> Vec<String> {
        let mut names = self.undecoded_draining.clone();
        for entry in &self.entries {
            if entry.status != Status::Up && !entry.is_known(site) {
                names.push(entry.name.clone());
            }
        }
        names
    }
}

impl ListEntry {
    /// Whether the settings contain the entry's zone and kind.
    fn is_known(&self, site: &SiteSettings) -> bool {
        site.zones.contains(&self.zone) && site.kinds.contains(&self.kind)
    }

    /// Converts the entry to the core's type; `None` if its zone or kind is not in the settings.
    fn resolve(&self, site: &SiteSettings) -> Option<EndpointEntry> {
        let zone = position(&site.zones, &self.zone);
        let kind = position(&site.kinds, &self.kind);
        let (Some(zone), Some(kind)) = (zone, kind) else {
            tracing::warn!(
                endpoint = self.name,
                zone = self.zone,
                kind = self.kind,
                "endpoint entry ignored: unknown zone or kind"
            );
            return None;
        };
        Some(EndpointEntry {
            name: self.name.clone(),
            address: self.address,
            zone: ZoneId(zone),
            kind: KindId(kind),
            cell: CellId(self.cell),
            state: match self.status {
                Status::Up => EndpointState::Active,
                Status::Draining => EndpointState::Draining,
                Status::Removed => EndpointState::Removed,
            },
            weight: self.weight,
            started_at: (self.started_at_ms > 0).then(|| self.started_at_ms.saturating_mul(1_000)),
        })
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|candidate| candidate == name)
}

#[cfg(test)]
mod tests;
