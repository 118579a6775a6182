use super::*;

#[test]
fn an_entry_that_cannot_be_decoded_or_resolved_does_not_invalidate_the_others() {
    let site = r#"{"classes": [], "kinds": ["m"], "zones": ["a"]}"#;
    let site: SiteSettings = serde_json::from_str(site).unwrap();
    let entry = |name: &str, address: &str, zone: &str, status: &str| {
        format!(
            r#"{{"name": "{name}", "address": "{address}",
                "zone": "{zone}", "type": "m", "group": 1, "status": "{status}"}}"#
        )
    };
    let entries = [
        entry("good", "127.0.0.1:1", "a", "up"),
        entry("no port", "127.0.0.1", "a", "up"),
        entry("no zone", "127.0.0.1:2", "b", "up"),
        entry("odd", "127.0.0.1:3", "a", "resting"),
        "7".to_owned(),
        "{}".to_owned(),
        entry("good", "127.0.0.1:4", "a", "draining"),
        entry("last", "127.0.0.1:5", "a", "up"),
        entry("no port either", "127.0.0.1", "a", "draining"),
        entry("no zone either", "127.0.0.1:2", "b", "removed"),
        r#"{"name": "bare", "status": "removed"}"#.to_owned(),
    ];
    let text = format!(
        "{{\"index\": 3,\n  \"snapshot\": true,\n  \"endpoints\": [{}]}}",
        entries.join(",\n    ")
    );
    let list: EndpointList = serde_json::from_str(&text).unwrap();
    let resolved = list.entries(&site);
    let read: Vec<_> = resolved
        .iter()
        .map(|entry| (entry.name.as_str(), entry.address.port(), entry.state))
        .collect();
    let [active, draining] = [EndpointState::Active, EndpointState::Draining];
    assert_eq!(
        read,
        [
            ("good", 1, active),
            ("good", 4, draining),
            ("last", 5, active)
        ]
    );
    // Ignored entries must not hide that an endpoint takes no new requests.
    assert_eq!(
        list.draining_names(&site),
        ["no port either", "bare", "no zone either"]
    );
}
