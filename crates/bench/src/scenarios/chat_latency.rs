//! Measures the latency of sequential chats over one connection.

use std::net::SocketAddr;
use std::time::Instant;

use cranetack_testkit::Client;

use crate::latency::LatencyHistogram;
use crate::requests::chat_request;

const CHATS: usize = 1_000;

/// Quantiles of the latency of chats.
pub(crate) struct ChatLatency {
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
}

/// Sends chats to a router, or directly to a fake server.
pub(crate) async fn measure(address: SocketAddr) -> ChatLatency {
    let latencies = LatencyHistogram::new();
    let mut client = Client::connect(address).await;
    for index in 0..CHATS {
        let request = chat_request(&format!("o{index}"));
        let started_at = Instant::now();
        let _ = client.send(request).await;
        latencies.record(started_at.elapsed());
    }
    ChatLatency {
        p50_ms: latencies.quantile_ms(0.5),
        p99_ms: latencies.quantile_ms(0.99),
    }
}
