//! Measures how many batches are served completely while servers fail.

use std::time::Duration;

use serde_json::json;
use tokio::task::spawn_local;

use crate::environment::TestEnvironment;
use crate::requests::{post, rerank_body, Response, RERANK_PATH};

/// One slice out of this many fails at each server. The failures alternate between a closed
/// connection and a response without the last item.
const FAILURE_INTERVAL: usize = 10;
const ROUNDS: usize = 10;
const BATCHES_PER_ROUND: usize = 20;
/// Number of documents in a batch.
const DOCUMENTS_PER_BATCH: usize = 100;

/// Returns the share of batches that are served with a result for each document.
pub(crate) async fn measure(environment: &TestEnvironment) -> f64 {
    environment.set_service_time(Duration::from_millis(2), Duration::from_millis(1));
    environment.set_failure_interval(FAILURE_INTERVAL);
    let address = environment.router.inference_address;
    let complete = Response {
        status: 200,
        results: DOCUMENTS_PER_BATCH,
    };
    let mut served = 0_u32;
    for round in 0..ROUNDS {
        let batches: Vec<_> = (0..BATCHES_PER_ROUND)
            .map(|index| {
                let mut body = rerank_body(DOCUMENTS_PER_BATCH);
                body["top_n"] = json!(DOCUMENTS_PER_BATCH);
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
