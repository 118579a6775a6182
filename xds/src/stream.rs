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
    fn take(&mut self, request: &DiscoveryRequest, snapshot: &Snapshot) -> Option<DiscoveryResponse> {
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
        types.iter().filter_map(|type_url| self.changed(type_url, snapshot)).collect()
    }
}

/// Answers a subscriber until it leaves or the snapshots end.
pub fn answer(
    mut requests: Streaming<DiscoveryRequest>, mut snapshots: watch::Receiver<Snapshot>,
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
mod tests {
    use super::*;
    use crate::{Health, Server, CLUSTER, ENDPOINTS};

    fn snapshot(weight: u32) -> Snapshot {
        let server = Server {
            address: "127.0.0.1:5000".parse().unwrap(),
            zone: "a".to_owned(),
            cell: "3".to_owned(),
            health: Health::Healthy,
            weight,
        };
        BTreeMap::from([("decode".to_owned(), vec![server])])
    }

    fn request(type_url: &str, nonce: &str, names: &[&str]) -> DiscoveryRequest {
        DiscoveryRequest {
            type_url: type_url.to_owned(),
            response_nonce: nonce.to_owned(),
            resource_names: names.iter().map(|n| (*n).to_owned()).collect(),
            ..DiscoveryRequest::default()
        }
    }

    #[test]
    fn what_has_been_taken_is_not_sent_again_and_what_changes_is() {
        let mut subscriptions = Subscriptions::default();
        let first = subscriptions.take(&request(ENDPOINTS, "", &["decode"]), &snapshot(5)).unwrap();
        assert_eq!((first.version_info.as_str(), first.resources.len()), ("1", 1));
        let taken = request(ENDPOINTS, &first.nonce, &["decode"]);
        assert_eq!(subscriptions.take(&taken, &snapshot(5)), None);
        assert_eq!(subscriptions.all_changed(&snapshot(5)), []);
        let second = subscriptions.all_changed(&snapshot(6)).remove(0);
        assert_eq!(second.version_info, "2");
        // The answer to the first crossed the second.
        assert_eq!(subscriptions.take(&taken, &snapshot(6)), None);
    }

    /// Guards against a loop in which what a subscriber refuses is sent to it again and again.
    #[test]
    fn what_is_refused_is_sent_again_only_once_it_changes() {
        let mut subscriptions = Subscriptions::default();
        let sent = subscriptions.take(&request(CLUSTER, "", &[]), &snapshot(5)).unwrap();
        let mut refused = request(CLUSTER, &sent.nonce, &[]);
        refused.error_detail = Some(Default::default());
        assert_eq!(subscriptions.take(&refused, &snapshot(5)), None);
        let mut more = snapshot(5);
        more.insert("prefill".to_owned(), Vec::new());
        assert_eq!(subscriptions.all_changed(&more).remove(0).resources.len(), 2);
    }

    #[test]
    fn new_names_are_answered_and_unknown_types_are_not() {
        let mut subscriptions = Subscriptions::default();
        let none = subscriptions.take(&request(ENDPOINTS, "", &["other"]), &snapshot(5)).unwrap();
        assert_eq!(none.resources, []);
        let some = subscriptions.take(&request(ENDPOINTS, &none.nonce, &["decode"]), &snapshot(5)).unwrap();
        assert_eq!(some.resources.len(), 1);
        assert_eq!(subscriptions.take(&request("type.googleapis.com/other", "", &[]), &snapshot(5)), None);
    }
}
