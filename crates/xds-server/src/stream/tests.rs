//! Tests of `stream`.

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
    let first = subscriptions
        .take(&request(ENDPOINTS, "", &["decode"]), &snapshot(5))
        .unwrap();
    assert_eq!(
        (first.version_info.as_str(), first.resources.len()),
        ("1", 1)
    );
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
    let sent = subscriptions
        .take(&request(CLUSTER, "", &[]), &snapshot(5))
        .unwrap();
    let mut refused = request(CLUSTER, &sent.nonce, &[]);
    refused.error_detail = Some(Default::default());
    assert_eq!(subscriptions.take(&refused, &snapshot(5)), None);
    let mut more = snapshot(5);
    more.insert("prefill".to_owned(), Vec::new());
    assert_eq!(
        subscriptions.all_changed(&more).remove(0).resources.len(),
        2
    );
}

#[test]
fn new_names_are_answered_and_unknown_types_are_not() {
    let mut subscriptions = Subscriptions::default();
    let none = subscriptions
        .take(&request(ENDPOINTS, "", &["other"]), &snapshot(5))
        .unwrap();
    assert_eq!(none.resources, []);
    let some = subscriptions
        .take(&request(ENDPOINTS, &none.nonce, &["decode"]), &snapshot(5))
        .unwrap();
    assert_eq!(some.resources.len(), 1);
    assert_eq!(
        subscriptions.take(&request("type.googleapis.com/other", "", &[]), &snapshot(5)),
        None
    );
}
