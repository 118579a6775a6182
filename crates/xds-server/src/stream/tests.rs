use super::*;
use crate::{ClusterEndpoint, Health, CLUSTER, ENDPOINTS};

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
        .on_request(&request(ENDPOINTS, "", &["decode"]), &snapshot(5))
        .unwrap();
    assert_eq!(
        (first.version_info.as_str(), first.resources.len()),
        ("1", 1)
    );
    let acknowledgement = request(ENDPOINTS, &first.nonce, &["decode"]);
    assert_eq!(
        subscriptions.on_request(&acknowledgement, &snapshot(5)),
        None
    );
    assert_eq!(subscriptions.update_all(&snapshot(5)), []);
    let second = subscriptions.update_all(&snapshot(6)).remove(0);
    assert_eq!(second.version_info, "2");
    // The acknowledgement of the first response crossed the second.
    assert_eq!(
        subscriptions.on_request(&acknowledgement, &snapshot(6)),
        None
    );
}

/// A subscriber must not be sent what it rejects again and again.
#[test]
fn rejected_resources_are_sent_again_only_once_they_change() {
    let mut subscriptions = Subscriptions::default();
    let sent = subscriptions
        .on_request(&request(CLUSTER, "", &[]), &snapshot(5))
        .unwrap();
    let mut rejection = request(CLUSTER, &sent.nonce, &[]);
    rejection.error_detail = Some(Default::default());
    assert_eq!(subscriptions.on_request(&rejection, &snapshot(5)), None);
    let mut more = snapshot(5);
    more.insert("prefill".to_owned(), Vec::new());
    assert_eq!(subscriptions.update_all(&more).remove(0).resources.len(), 2);
}

#[test]
fn a_change_of_names_is_answered_and_an_unknown_type_is_not() {
    let mut subscriptions = Subscriptions::default();
    let none = subscriptions
        .on_request(&request(ENDPOINTS, "", &["other"]), &snapshot(5))
        .unwrap();
    assert_eq!(none.resources, []);
    let some = subscriptions
        .on_request(&request(ENDPOINTS, &none.nonce, &["decode"]), &snapshot(5))
        .unwrap();
    assert_eq!(some.resources.len(), 1);
    assert_eq!(
        subscriptions.on_request(&request("type.googleapis.com/other", "", &[]), &snapshot(5)),
        None
    );
}
