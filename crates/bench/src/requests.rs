//! Requests of the measurements, and sending them.

use std::net::SocketAddr;

use cranetack_testkit::Client;
use http::Request;
use serde_json::{json, Value};

pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
pub(crate) const RERANK_PATH: &str = "/v1/rerank";

/// Length in characters of the text of a document.
const DOCUMENT_LENGTH: usize = 200;

/// Builds the body of a streamed chat request.
pub(crate) fn chat_body() -> Value {
    json!({
        "model": "m",
        "stream": true,
        "messages": [{"role": "user", "content": "which gasket?"}],
    })
}

/// Builds the body of a rerank request with `document_count` documents.
pub(crate) fn rerank_body(document_count: usize) -> Value {
    let documents: Vec<String> = (0..document_count)
        .map(|index| format!("{index} {}", document_text()))
        .collect();
    json!({"model": "m", "query": "gasket", "documents": documents, "top_n": 5})
}

/// Builds the body of a rerank request whose third slice gets no response from the fake servers.
pub(crate) fn hanging_rerank_body(document_count: usize) -> Value {
    let mut body = rerank_body(document_count);
    body["toy"] = json!({"does": "hang", "on": 2});
    body
}

/// Returns the text of a document.
pub(crate) fn document_text() -> String {
    "x".repeat(DOCUMENT_LENGTH)
}

/// Builds a chat request with this id.
pub(crate) fn chat_request<Body: From<String>>(id: &str) -> Request<Body> {
    Request::post(CHAT_PATH)
        .header("host", "app")
        .header("x-request-id", id)
        .body(chat_body().to_string().into())
        .expect("the parts of the request are valid")
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Response {
    /// The HTTP status code, or 0 if the connection was closed before the body was complete.
    pub(crate) status: u16,
    /// Number of results of a rerank; 0 for other requests.
    pub(crate) results: usize,
}

/// Sends a POST request over a new connection.
pub(crate) async fn post(address: SocketAddr, path: &str, id: &str, body: String) -> Response {
    let request = Request::post(path)
        .header("host", "app")
        .header("x-request-id", id)
        .header("content-type", "application/json")
        .body(body.into())
        .expect("the parts of the request are valid");
    let (status, _, body) = Client::connect(address).await.send(request).await;
    let Some(body) = body else {
        return Response {
            status: 0,
            results: 0,
        };
    };
    let response: Value = serde_json::from_slice(&body).unwrap_or_default();
    Response {
        status,
        results: response["results"].as_array().map_or(0, Vec::len),
    }
}
