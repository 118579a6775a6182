//! Tests of the checks of the operator's file for the inference API.

use serde_json::json;

use super::*;
use crate::config::parse_toml;

fn site() -> SiteSettings {
    let class = |name: &str| json!({"name": name});
    let classes = [class("chat"), class("embeddings"), class("rerank")];
    serde_json::from_value(
        json!({"classes": classes, "kinds": ["reader", "writer", "mixed"], "zones": [],
        "domain": {"stage_of_kind": ["read", "write", "both"]}}),
    )
    .unwrap()
}

const SHIPPED_FILE: &str = include_str!("../../../../../../deploy/inference.toml");

#[test]
fn the_shipped_file_is_valid() {
    let setup: Setup = parse_toml(SHIPPED_FILE).unwrap();
    setup.check(&site()).unwrap();
    assert!(setup.listen.ip().is_loopback());
    assert_eq!(setup.rerank.class, "rerank");
    assert!(setup
        .catalog(&site())
        .unwrap()
        .resolve("parts-chat", ApiEndpoint::Chat)
        .is_ok());
}

/// Edits that make the shipped file invalid: the text to replace, its replacement, and the
/// beginning of the error.
const INVALID_EDITS: [(&str, &str, &str); 16] = [
    ("class = \"rerank\"", "class = \"other\"", "rerank.class"),
    ("class = \"chat\"", "classes = \"chat\"", "chat"),
    ("listen = \"127.0.0.1:8090\"", "listen = 3", "listen"),
    (
        "slice_tokens = 4096",
        "slice_tokens = 0",
        "embeddings.slice_tokens",
    ),
    (
        "body_bytes = 16777216",
        "body_bytes = 0",
        "limits.body_bytes",
    ),
    (
        "held_bytes = 67108864",
        "held_bytes = 1000",
        "limits.held_bytes",
    ),
    ("depth = 64", "depth = 101", "limits.depth"),
    (
        "slice_target_ms = 50",
        "slice_target_ms = 0",
        "batches.slice_target_ms",
    ),
    (
        "repeat_share = 0.2",
        "repeat_share = 2.0",
        "batches.repeat_share",
    ),
    (
        "most_tokens = 65536",
        "most_tokens = 1",
        "batches.most_tokens",
    ),
    ("chat = \"chat\"", "chat = \"other\"", "models[0].chat"),
    (
        "aliases = [\"parts\"]",
        "aliases = [\"parts-embed\"]",
        "models[1].name",
    ),
    ("aliases = [\"parts\"]", "alias = \"parts\"", "models[0]"),
    (
        "aliases = [\"parts\"]",
        "kinds = [\"other\"]",
        "models[0].kinds: the settings have no",
    ),
    (
        "aliases = [\"parts\"]",
        "kinds = [\"reader\"]",
        "models[0].kinds: none of these kinds can decode",
    ),
    (
        "aliases = [\"parts\"]",
        "kinds = [\"writer\"]",
        "models[0].kinds: none of these kinds can prefill",
    ),
];

#[test]
fn an_invalid_file_is_rejected_with_an_error_that_names_its_key() {
    for (from, to, prefix) in INVALID_EDITS {
        assert!(SHIPPED_FILE.contains(from), "{from}");
        let result =
            parse_toml(&SHIPPED_FILE.replace(from, to)).and_then(|s: Setup| s.check(&site()));
        let message = result.expect_err(to);
        assert!(
            message.starts_with(prefix) && !message.contains('\n'),
            "{message}"
        );
    }
}
