//! How many batches are served in full while servers fail.

use std::time::Duration;

use serde_json::json;
use tokio::task::spawn_local;

use crate::environment::TestEnvironment;
use crate::requests::{post, rerank_body, Response, RERANK_PATH};

/// One slice in so many fails at each server: in turn by a closed connection, and by a response
/// that leaves an item out.
const FAILURE_INTERVAL: usize = 10;
const ROUNDS: usize = 10;
const BATCHES_PER_ROUND: usize = 20;
/// Documents of a batch.
const DOCUMENTS: usize = 100;

/// The share of batches that are served with a result for each document.
pub(crate) async fn measure(environment: &TestEnvironment) -> f64 {
    environment.set_service_time(Duration::from_millis(2), Duration::from_millis(1));
    environment.set_failure_interval(FAILURE_INTERVAL);
    let address = environment.router.inference_address;
    let complete = Response {
        status: 200,
        results: DOCUMENTS,
    };
    let mut served = 0_u32;
    for round in 0..ROUNDS {
        let batches: Vec<_> = (0..BATCHES_PER_ROUND)
            .map(|index| {
                let mut body = rerank_body(DOCUMENTS);
                body["top_n"] = json!(DOCUMENTS);
                let body = body.to_string();
                let id = format!("f{round}-{index}");
                spawn_local(async move { post(address, RERANK_PATH, &id, body).await })
            })
            .collect();
        for batch in batches {
            if batch.await.is_ok_and(|response| response == complete) {
                served += 1;
            }
        }
    }
    environment.set_failure_interval(0);
    f64::from(served) / (ROUNDS * BATCHES_PER_ROUND) as f64
}
