//! Measures how much large reranks increase the latency of concurrent chats.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::environment::TestEnvironment;
use crate::latency::LatencyHistogram;
use crate::requests::{chat_body, post, rerank_body, CHAT_PATH, RERANK_PATH};

/// Time during which chats are sent for each of the two measurements.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(8);
/// Time between the starts of two chats.
const CHAT_INTERVAL: Duration = Duration::from_millis(20);
/// Latency that is recorded for a chat that is not served.
const FAILED_CHAT_LATENCY: Duration = Duration::from_secs(30);
/// Number of reranks in flight at the same time.
const CONCURRENT_RERANKS: usize = 3;
/// Number of documents in a rerank.
const DOCUMENTS_PER_RERANK: usize = 1_000;
/// Time between the start of the reranks and the first chat beside them.
const RERANK_LEAD_TIME: Duration = Duration::from_millis(300);
/// Time in which the router notices that the reranks are cancelled.
const CANCEL_SETTLE_TIME: Duration = Duration::from_millis(200);

/// The result of this scenario.
pub(crate) struct Interference {
    /// 99th percentile of the chat latency beside reranks, divided by that without reranks.
    pub(crate) chat_p99_ratio: f64,
    /// Number of reranks that were served.
    pub(crate) reranks_served: usize,
}

/// Measures the latency of chats without reranks, then beside reranks.
pub(crate) async fn measure(environment: &TestEnvironment) -> Interference {
    environment.set_service_time(Duration::from_millis(10), Duration::from_millis(4));
    let address = environment.router.inference_address;
    let without_reranks = send_chats(address).await;
    let served = Rc::new(Cell::new(0));
    let reranks: Vec<_> = (0..CONCURRENT_RERANKS)
        .map(|client| spawn_reranks(address, client, served.clone()))
        .collect();
    sleep(RERANK_LEAD_TIME).await;
    let beside_reranks = send_chats(address).await;
    for rerank in &reranks {
        rerank.abort();
    }
    sleep(CANCEL_SETTLE_TIME).await;
    Interference {
        chat_p99_ratio: beside_reranks.quantile_ms(0.99) / without_reranks.quantile_ms(0.99),
        reranks_served: served.get(),
    }
}

/// Spawns a task that sends one rerank after another until it is aborted.
fn spawn_reranks(address: SocketAddr, client: usize, served: Rc<Cell<usize>>) -> JoinHandle<()> {
    spawn_local(async move {
        let body = rerank_body(DOCUMENTS_PER_RERANK).to_string();
        for round in 0.. {
            let id = format!("r{client}-{round}");
            if post(address, RERANK_PATH, &id, body.clone()).await.status == 200 {
                served.set(served.get() + 1);
            }
        }
    })
}

/// Sends chats at a fixed interval, without waiting for earlier ones, then waits for all responses.
async fn send_chats(address: SocketAddr) -> LatencyHistogram {
    let latencies = LatencyHistogram::new();
    let end = Instant::now() + MEASUREMENT_DURATION;
    let mut chats = Vec::new();
    while Instant::now() < end {
        let id = format!("c{}", chats.len());
        chats.push(spawn_local(send_chat(address, id, latencies.clone())));
        sleep(CHAT_INTERVAL).await;
    }
    for chat in chats {
        let _ = chat.await;
    }
    latencies
}

async fn send_chat(address: SocketAddr, id: String, latencies: LatencyHistogram) {
    let started_at = Instant::now();
    let response = post(address, CHAT_PATH, &id, chat_body().to_string()).await;
    let latency = if response.status == 200 {
        started_at.elapsed()
    } else {
        FAILED_CHAT_LATENCY
    };
    latencies.record(latency);
}
