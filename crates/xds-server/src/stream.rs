//! One subscriber's stream: what it has asked for, what it was sent, and what it said of that.

use std::collections::BTreeMap;

use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use envoy_types::pb::google::protobuf::Any;
use tokio::sync::watch;
use tonic::codegen::tokio_stream::{Stream, StreamExt};
use tonic::{Status, Streaming};

use crate::resources::resources;
use crate::Snapshot;

/// A subscription to one type of resource.
#[derive(Default)]
struct Subscription {
    names: Vec<String>,
    sent: Option<Vec<Any>>,
    version: u64,
    nonce: u64,
}

/// All subscriptions of a stream, by type.
#[derive(Default)]
struct Subscriptions(BTreeMap<String, Subscription>);

impl Subscriptions {
    /// Takes a request: a new subscription, or an answer to what was sent. `None` where nothing is to be sent.
    fn take(
        &mut self,
        request: &DiscoveryRequest,
        snapshot: &Snapshot,
    ) -> Option<DiscoveryResponse> {
        resources(snapshot, &request.type_url, &[])?;
        let known = self.0.entry(request.type_url.clone()).or_default();
        let first = request.response_nonce.is_empty();
        // An answer to something older crossed what was sent since: that will be answered too.
        if !first && request.response_nonce != known.nonce.to_string() {
            return None;
        }
        if let Some(error) = &request.error_detail {
            tracing::warn!(
                kind = request.type_url,
                message = error.message,
                "a subscriber refused resources"
            );
        }
        if first || known.names != request.resource_names {
            known.names.clone_from(&request.resource_names);
            known.sent = None;
        }
        self.changed(&request.type_url, snapshot)
    }

    /// What is to be sent of a type if it differs from what was sent before, refused or not.
    fn changed(&mut self, type_url: &str, snapshot: &Snapshot) -> Option<DiscoveryResponse> {
        let known = self.0.get_mut(type_url)?;
        let now = resources(snapshot, type_url, &known.names)?;
        if known.sent.as_ref() == Some(&now) {
            return None;
        }
        known.version += 1;
        known.nonce += 1;
        known.sent = Some(now.clone());
        Some(DiscoveryResponse {
            version_info: known.version.to_string(),
            resources: now,
            type_url: type_url.to_owned(),
            nonce: known.nonce.to_string(),
            ..DiscoveryResponse::default()
        })
    }

    /// What is to be sent of all types once the snapshot has changed: clusters come first, by their type's name.
    fn all_changed(&mut self, snapshot: &Snapshot) -> Vec<DiscoveryResponse> {
        let types: Vec<String> = self.0.keys().cloned().collect();
        types
            .iter()
            .filter_map(|type_url| self.changed(type_url, snapshot))
            .collect()
    }
}

/// Answers a subscriber until it leaves or the snapshots end.
pub fn answer(
    mut requests: Streaming<DiscoveryRequest>,
    mut snapshots: watch::Receiver<Snapshot>,
) -> impl Stream<Item = Result<DiscoveryResponse, Status>> + Send {
    async_stream::stream! {
        let mut subscriptions = Subscriptions::default();
        loop {
            tokio::select! {
                request = requests.next() => {
                    let Some(Ok(request)) = request else { return };
                    let snapshot = snapshots.borrow().clone();
                    if let Some(response) = subscriptions.take(&request, &snapshot) {
                        yield Ok(response);
                    }
                }
                changed = snapshots.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let snapshot = snapshots.borrow_and_update().clone();
                    for response in subscriptions.all_changed(&snapshot) {
                        yield Ok(response);
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
