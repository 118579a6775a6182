//! Tests of the selection of forwarded headers.

use super::*;

#[test]
fn hop_by_hop_headers_are_dropped_and_all_others_are_forwarded_with_each_value() {
    let headers = [
        ("connection", "keep-alive, x-hop"),
        ("content-length", "2"),
        ("content-type", "application/json"),
        ("expect", "100-continue"),
        ("host", "app"),
        ("idempotency-key", "k1"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("x-deadline-ms", "5"),
        ("x-hop", "here"),
        ("x-key", "s1"),
        ("x-other", "a"),
        ("x-other", "b"),
        ("x-request-id", "r1"),
    ];
    let headers =
        headers.map(|(name, value)| (name.parse::<HeaderName>().unwrap(), value.parse().unwrap()));
    let forwarded = end_to_end_headers(&headers.into_iter().collect());
    let mut names_and_values: Vec<_> = forwarded
        .iter()
        .map(|(name, value)| (name.as_str(), value.to_str().unwrap()))
        .collect();
    names_and_values.sort_unstable();
    assert_eq!(
        names_and_values,
        [
            ("idempotency-key", "k1"),
            ("x-key", "s1"),
            ("x-other", "a"),
            ("x-other", "b")
        ]
    );
}
