//! One subscriber's stream: its subscriptions, what it was sent, and what it acknowledged.

use std::collections::BTreeMap;

use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use envoy_types::pb::google::protobuf::Any;
use tokio::sync::watch;
use tonic::codegen::tokio_stream::{Stream, StreamExt};
use tonic::{Status, Streaming};

use crate::resources;
use crate::Snapshot;

/// A subscription to one type of resource.
#[derive(Default)]
struct Subscription {
    names: Vec<String>,
    /// The resources that were sent last, since the names last changed.
    sent: Option<Vec<Any>>,
    version: u64,
    nonce: u64,
}

/// All subscriptions of a stream, by type URL.
#[derive(Default)]
struct Subscriptions(BTreeMap<String, Subscription>);

impl Subscriptions {
    /// Handles a request: a new subscription, or the acknowledgement of a response. `None` if
    /// nothing is to be sent.
    fn on_request(
        &mut self,
        request: &DiscoveryRequest,
        snapshot: &Snapshot,
    ) -> Option<DiscoveryResponse> {
        // Types that are not served here are ignored.
        resources::encode(snapshot, &request.type_url, &[])?;
        let subscription = self.0.entry(request.type_url.clone()).or_default();
        let is_new = request.response_nonce.is_empty();
        // It acknowledges an older response and crossed a newer one, which will be acknowledged
        // too.
        if !is_new && request.response_nonce != subscription.nonce.to_string() {
            return None;
        }
        if let Some(error) = &request.error_detail {
            tracing::warn!(
                type_url = request.type_url,
                message = error.message,
                "subscriber rejected resources"
            );
        }
        if is_new || subscription.names != request.resource_names {
            subscription.names.clone_from(&request.resource_names);
            subscription.sent = None;
        }
        self.update(&request.type_url, snapshot)
    }

    /// The response for a type if its resources differ from those sent before, rejected or not.
    fn update(&mut self, type_url: &str, snapshot: &Snapshot) -> Option<DiscoveryResponse> {
        let subscription = self.0.get_mut(type_url)?;
        let resources = resources::encode(snapshot, type_url, &subscription.names)?;
        if subscription.sent.as_ref() == Some(&resources) {
            return None;
        }
        subscription.version += 1;
        subscription.nonce += 1;
        subscription.sent = Some(resources.clone());
        Some(DiscoveryResponse {
            version_info: subscription.version.to_string(),
            resources,
            type_url: type_url.to_owned(),
            nonce: subscription.nonce.to_string(),
            ..DiscoveryResponse::default()
        })
    }

    /// The responses for all types once the snapshot has changed. Clusters come first, as their
    /// type URL sorts first.
    fn update_all(&mut self, snapshot: &Snapshot) -> Vec<DiscoveryResponse> {
        let type_urls: Vec<String> = self.0.keys().cloned().collect();
        type_urls
            .iter()
            .filter_map(|type_url| self.update(type_url, snapshot))
            .collect()
    }
}

/// Responds to a subscriber until it disconnects or the snapshots end.
pub(crate) fn respond(
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
                    if let Some(response) = subscriptions.on_request(&request, &snapshot) {
                        yield Ok(response);
                    }
                }
                changed = snapshots.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let snapshot = snapshots.borrow_and_update().clone();
                    for response in subscriptions.update_all(&snapshot) {
                        yield Ok(response);
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
