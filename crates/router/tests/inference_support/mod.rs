//! Helpers for the tests of the inference API.
#![allow(dead_code)]

use http::{HeaderMap, Request};
use serde_json::{json, Value};

use crate::common::{endpoint_entry, Client, FakeServer, Observation, TestRouter};

pub(crate) const RERANK: &str = "/v1/rerank";
pub(crate) const EMBEDDINGS: &str = "/v1/embeddings";
pub(crate) const CHAT: &str = "/v1/chat/completions";

/// Edit of the operator's file that gives rerank requests a non-idempotent class.
pub(crate) const NON_IDEMPOTENT_RERANK: [(&str, &str); 1] =
    [("class = \"rerank\"", "class = \"order\"")];

pub(crate) async fn start_router(servers: &[&FakeServer], edits: &[(&str, &str)]) -> TestRouter {
    let entries = servers
        .iter()
        .map(|server| endpoint_entry(server, "mixed", "up"))
        .collect();
    TestRouter::start_with_edits(entries, edits).await
}

/// Posts a JSON body with these headers. Returns the status, headers and JSON of the response.
pub(crate) async fn post(
    router: &TestRouter,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, HeaderMap, Value) {
    let request = Request::post(path).header("host", "app");
    let request = headers
        .iter()
        .fold(request, |r, (name, value)| r.header(*name, *value));
    let request = request.body(body.to_string().into()).unwrap();
    let (status, headers, body) = Client::connect(router.inference).await.send(request).await;
    (
        status,
        headers,
        serde_json::from_slice(&body.unwrap_or_default()).unwrap_or(Value::Null),
    )
}

/// Returns the body of a rerank request that is sent in nine slices of two documents each, at the
/// initial slice size of 256 tokens.
pub(crate) fn nine_slice_rerank(fault: Value) -> Value {
    let documents: Vec<String> = (0..18)
        .map(|n| format!("{n} {}", "x".repeat(500)))
        .collect();
    json!({"model": "m", "query": "q", "documents": documents, "toy": fault})
}

/// Edit of the operator's file that keeps slices at their initial size of 256 tokens.
pub(crate) const FIXED_SLICE_SIZE: [(&str, &str); 1] = [(
    "least_tokens = 16\nmost_tokens = 65536",
    "least_tokens = 256\nmost_tokens = 256",
)];

pub(crate) fn started_ids(server: &FakeServer) -> Vec<String> {
    let started_id = |observation: &Observation| match observation {
        Observation::RequestStarted { id, .. } => Some(id.clone()),
        _ => None,
    };
    server
        .observations
        .borrow()
        .iter()
        .filter_map(started_id)
        .collect()
}

pub(crate) fn count_results(response: &Value) -> usize {
    response["results"].as_array().map_or(0, Vec::len)
}
