//! The stream of one subscriber: its subscriptions, and the version, nonce and resources that were
//! sent last for each.

use std::collections::BTreeMap;

use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use envoy_types::pb::google::protobuf::Any;
use tokio::sync::watch;
use tonic::codegen::tokio_stream::{Stream, StreamExt};
use tonic::{Status, Streaming};

use crate::resources;
use crate::Snapshot;

/// A subscription to the resources of one type.
#[derive(Default)]
struct Subscription {
    names: Vec<String>,
    /// The resources in the last response; `None` if none was sent since the names changed.
    sent: Option<Vec<Any>>,
    version: u64,
    nonce: u64,
}

/// All subscriptions of a stream, by type URL.
#[derive(Default)]
struct Subscriptions(BTreeMap<String, Subscription>);

impl Subscriptions {
    /// Handles a request, which starts a subscription, or acknowledges or rejects a response.
    /// Returns the response to send, if any.
    fn on_request(
        &mut self,
        request: &DiscoveryRequest,
        snapshot: &Snapshot,
    ) -> Option<DiscoveryResponse> {
        // A request for a type that this server does not serve is ignored.
        resources::encode(snapshot, &request.type_url, &[])?;
        let subscription = self.0.entry(request.type_url.clone()).or_default();
        let is_new = request.response_nonce.is_empty();
        // The request acknowledges an older response and was sent before the subscriber received
        // the latest one. The subscriber will acknowledge that one too.
        if !is_new && request.response_nonce != subscription.nonce.to_string() {
            return None;
        }
        if let Some(error) = &request.error_detail {
            tracing::warn!(
                type_url = request.type_url,
                message = error.message,
                "subscriber rejected the resources of an xDS response"
            );
        }
        if is_new || subscription.names != request.resource_names {
            subscription.names.clone_from(&request.resource_names);
            subscription.sent = None;
        }
        self.update(&request.type_url, snapshot)
    }

    /// Returns a response for a type if its resources differ from those sent last. Resources that
    /// the subscriber rejected count as sent.
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

    /// Returns the responses for all types whose resources have changed. The response with clusters
    /// comes first, because their type URL sorts first.
    fn update_all(&mut self, snapshot: &Snapshot) -> Vec<DiscoveryResponse> {
        let type_urls: Vec<String> = self.0.keys().cloned().collect();
        type_urls
            .iter()
            .filter_map(|type_url| self.update(type_url, snapshot))
            .collect()
    }
}

/// Responds to a subscriber until it disconnects or the publisher of snapshots is dropped.
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
