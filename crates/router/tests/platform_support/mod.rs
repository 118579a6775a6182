//! Helpers for the tests of the platform API.
#![allow(dead_code)]

use std::rc::Rc;

use crate::common::{endpoint_entry, Behaviour, FakeServer, Observation, TestRouter};

/// The path of the chat completions.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

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
