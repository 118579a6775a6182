use super::*;
use crate::{ClusterEndpoint, Health, CLUSTER_TYPE_URL, ENDPOINTS_TYPE_URL};

fn snapshot(weight: u32) -> Snapshot {
    let endpoint = ClusterEndpoint {
        address: "127.0.0.1:5000".parse().unwrap(),
        zone: "a".to_owned(),
        cell: "3".to_owned(),
        health: Health::Healthy,
        weight,
    };
    BTreeMap::from([("decode".to_owned(), vec![endpoint])])
}

fn request(type_url: &str, nonce: &str, names: &[&str]) -> DiscoveryRequest {
    DiscoveryRequest {
        type_url: type_url.to_owned(),
        response_nonce: nonce.to_owned(),
        resource_names: names.iter().map(|name| (*name).to_owned()).collect(),
        ..DiscoveryRequest::default()
    }
}

#[test]
fn acknowledged_resources_are_not_sent_again_and_changed_ones_are() {
    let mut subscriptions = Subscriptions::default();
    let first = subscriptions
        .on_request(&request(ENDPOINTS_TYPE_URL, "", &["decode"]), &snapshot(5))
        .unwrap();
    assert_eq!(
        (first.version_info.as_str(), first.resources.len()),
        ("1", 1)
    );
    let acknowledgement = request(ENDPOINTS_TYPE_URL, &first.nonce, &["decode"]);
    assert_eq!(
        subscriptions.on_request(&acknowledgement, &snapshot(5)),
        None
    );
    assert_eq!(subscriptions.update_all(&snapshot(5)), []);
    let second = subscriptions.update_all(&snapshot(6)).remove(0);
    assert_eq!(second.version_info, "2");
    // The subscriber acknowledges the first response before it has received the second.
    assert_eq!(
        subscriptions.on_request(&acknowledgement, &snapshot(6)),
        None
    );
}

/// Guards against sending the same rejected resources to a subscriber in an endless loop.
#[test]
fn rejected_resources_are_sent_again_only_once_they_change() {
    let mut subscriptions = Subscriptions::default();
    let response = subscriptions
        .on_request(&request(CLUSTER_TYPE_URL, "", &[]), &snapshot(5))
        .unwrap();
    let mut rejection = request(CLUSTER_TYPE_URL, &response.nonce, &[]);
    rejection.error_detail = Some(Default::default());
    assert_eq!(subscriptions.on_request(&rejection, &snapshot(5)), None);
    let mut snapshot_with_prefill = snapshot(5);
    snapshot_with_prefill.insert("prefill".to_owned(), Vec::new());
    assert_eq!(
        subscriptions
            .update_all(&snapshot_with_prefill)
            .remove(0)
            .resources
            .len(),
        2
    );
}

#[test]
fn a_change_of_names_gets_a_response_and_an_unknown_type_gets_none() {
    let mut subscriptions = Subscriptions::default();
    let empty_response = subscriptions
        .on_request(&request(ENDPOINTS_TYPE_URL, "", &["other"]), &snapshot(5))
        .unwrap();
    assert_eq!(empty_response.resources, []);
    let nonempty_response = subscriptions
        .on_request(
            &request(ENDPOINTS_TYPE_URL, &empty_response.nonce, &["decode"]),
            &snapshot(5),
        )
        .unwrap();
    assert_eq!(nonempty_response.resources.len(), 1);
    assert_eq!(
        subscriptions.on_request(&request("type.googleapis.com/other", "", &[]), &snapshot(5)),
        None
    );
}
