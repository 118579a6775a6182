//! How much slower chats are beside large reranks.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::environment::TestEnvironment;
use crate::latency::LatencyHistogram;
use crate::requests::{chat_body, post, rerank_body, CHAT_PATH, RERANK_PATH};

/// How long chats are sent for each figure.
const MEASURED_SPAN: Duration = Duration::from_secs(8);
/// The time between the beginnings of two chats.
const CHAT_INTERVAL: Duration = Duration::from_millis(20);
/// The latency that counts for a chat that is not served.
const FAILED_CHAT_LATENCY: Duration = Duration::from_secs(30);
/// Reranks under way at once.
const CONCURRENT_RERANKS: usize = 3;
/// Documents of a rerank.
const RERANK_DOCUMENTS: usize = 1_000;
/// How long reranks run before chats are measured beside them.
const RERANK_LEAD: Duration = Duration::from_millis(300);
/// How long the router has to notice that the reranks are cancelled.
const CANCEL_SETTLE: Duration = Duration::from_millis(200);

/// The effect of reranks on chats.
pub(crate) struct Interference {
    /// Chat p99 beside reranks over chat p99 alone.
    pub(crate) chat_p99_ratio: f64,
    /// Reranks that were served.
    pub(crate) reranks_served: usize,
}

/// Measures chats alone, then beside reranks.
pub(crate) async fn measure(environment: &TestEnvironment) -> Interference {
    environment.set_service_time(Duration::from_millis(10), Duration::from_millis(4));
    let address = environment.router.inference_address;
    let alone = send_chats(address).await;
    let served = Rc::new(Cell::new(0));
    let reranks: Vec<_> = (0..CONCURRENT_RERANKS)
        .map(|client| spawn_reranks(address, client, served.clone()))
        .collect();
    sleep(RERANK_LEAD).await;
    let beside = send_chats(address).await;
    for rerank in &reranks {
        rerank.abort();
    }
    sleep(CANCEL_SETTLE).await;
    Interference {
        chat_p99_ratio: beside.quantile_ms(0.99) / alone.quantile_ms(0.99),
        reranks_served: served.get(),
    }
}

/// Sends one rerank after another until it is aborted.
fn spawn_reranks(address: SocketAddr, client: usize, served: Rc<Cell<usize>>) -> JoinHandle<()> {
    spawn_local(async move {
        let body = rerank_body(RERANK_DOCUMENTS).to_string();
        for round in 0.. {
            let id = format!("r{client}-{round}");
            if post(address, RERANK_PATH, &id, body.clone()).await.status == 200 {
                served.set(served.get() + 1);
            }
        }
    })
}

/// Sends chats at a fixed pace, whatever becomes of the earlier ones, and waits for all of them.
async fn send_chats(address: SocketAddr) -> LatencyHistogram {
    let latencies = LatencyHistogram::new();
    let end = Instant::now() + MEASURED_SPAN;
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
