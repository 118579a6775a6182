//! Helpers of the tests of the platform API.
#![allow(dead_code)]

use std::rc::Rc;

use crate::common::{endpoint_entry, Behaviour, FakeServer, Observation, TestRouter};

pub(crate) const CHAT: &str = "/v1/chat/completions";

pub(crate) async fn start_pair(
    decode_behaviour: Behaviour,
) -> (Rc<FakeServer>, Rc<FakeServer>, TestRouter) {
    let prefill = FakeServer::start(8, Behaviour::Prefill).await;
    let decode = FakeServer::start(8, decode_behaviour).await;
    let router = TestRouter::start(vec![
        endpoint_entry(&prefill, "reader", "up"),
        endpoint_entry(&decode, "writer", "up"),
    ])
    .await;
    (prefill, decode, router)
}

pub(crate) fn count_slot_calls(server: &FakeServer, method: &str, id: &str) -> usize {
    server
        .observations
        .borrow()
        .iter()
        .filter(|s| {
            **s == Observation::SlotCall {
                method: method.to_owned(),
                id: id.to_owned(),
            }
        })
        .count()
}
