//! The requests of the measurements, and how they are sent.

use std::net::SocketAddr;

use cranetack_testkit::Client;
use http::Request;
use serde_json::{json, Value};

pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
pub(crate) const RERANK_PATH: &str = "/v1/rerank";

/// Characters of a document.
const DOCUMENT_LENGTH: usize = 200;

/// A streamed chat.
pub(crate) fn chat_body() -> Value {
    json!({
        "model": "m",
        "stream": true,
        "messages": [{"role": "user", "content": "which gasket?"}],
    })
}

/// A rerank of so many documents.
pub(crate) fn rerank_body(documents: usize) -> Value {
    let documents: Vec<String> = (0..documents)
        .map(|index| format!("{index} {}", document_text()))
        .collect();
    json!({"model": "m", "query": "gasket", "documents": documents, "top_n": 5})
}

/// A rerank whose third slice never ends at the fake servers.
pub(crate) fn hanging_rerank_body(documents: usize) -> Value {
    let mut body = rerank_body(documents);
    body["toy"] = json!({"does": "hang", "on": 2});
    body
}

/// The text of a document.
pub(crate) fn document_text() -> String {
    "x".repeat(DOCUMENT_LENGTH)
}

/// A chat request.
pub(crate) fn chat_request<Body: From<String>>(id: &str) -> Request<Body> {
    Request::post(CHAT_PATH)
        .header("host", "app")
        .header("x-request-id", id)
        .body(chat_body().to_string().into())
        .expect("the request is valid")
}

/// What came of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Response {
    /// The status, or 0 where the body broke off.
    pub(crate) status: u16,
    /// The number of results of a rerank.
    pub(crate) results: usize,
}

/// Posts a body over a connection of its own.
pub(crate) async fn post(address: SocketAddr, path: &str, id: &str, body: String) -> Response {
    let request = Request::post(path)
        .header("host", "app")
        .header("x-request-id", id)
        .header("content-type", "application/json")
        .body(body.into())
        .expect("the request is valid");
    let (status, _, body) = Client::connect(address).await.send(request).await;
    let Some(body) = body else {
        return Response {
            status: 0,
            results: 0,
        };
    };
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    Response {
        status,
        results: answer["results"].as_array().map_or(0, Vec::len),
    }
}
