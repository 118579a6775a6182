//! Helpers for the tests of the platform API.
#![allow(dead_code)]

use std::rc::Rc;

use crate::common::{endpoint_entry, Behaviour, FakeServer, Observation, TestRouter};

/// The path of the chat completions.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// A body that is valid on both APIs.
pub(crate) const CHAT_BODY: &str =
    r#"{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}"#;

/// Starts a prefill endpoint, a decode endpoint with `decode_behaviour`, and a router for them.
pub(crate) async fn start_router_with_lane(
    decode_behaviour: Behaviour,
) -> (Rc<FakeServer>, Rc<FakeServer>, TestRouter) {
    let prefill = FakeServer::start(64, Behaviour::Prefill).await;
    let decode = FakeServer::start(64, decode_behaviour).await;
    let router = TestRouter::start(vec![
        endpoint_entry(&prefill, "reader", "up"),
        endpoint_entry(&decode, "writer", "up"),
    ])
    .await;
    (prefill, decode, router)
}

/// Counts the slot reservation (`POST`) or release (`DELETE`) calls for the request `id`.
pub(crate) fn count_slot_calls(endpoint: &FakeServer, method: &str, id: &str) -> usize {
    endpoint
        .observations
        .borrow()
        .iter()
        .filter(|observation| {
            **observation
                == Observation::SlotCall {
                    method: method.to_owned(),
                    id: id.to_owned(),
                }
        })
        .count()
}

/// Returns a chat request. `headers` are further header lines, each with its line end.
pub(crate) fn chat_request(id: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {CHAT_PATH} HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\nx-class: order\r\n\
         x-deadline-ms: 5000\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}
