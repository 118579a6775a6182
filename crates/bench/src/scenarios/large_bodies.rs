//! How much memory a router needs for many large bodies at once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cranetack_testkit::RawClient;
use serde_json::json;
use tokio::task::spawn_local;

use crate::environment::TestEnvironment;
use crate::requests::RERANK_PATH;

/// Requests that are sent at once.
const REQUESTS: usize = 64;
/// Documents of a request; with their length, 16 MiB of body.
const DOCUMENTS: usize = 16;
const DOCUMENT_LENGTH: usize = 1_023 * 1_024;

/// What became of the large bodies.
pub(crate) struct LargeBodies {
    /// The most memory that the router used, in MiB.
    pub(crate) peak_memory_mb: f64,
    pub(crate) served: usize,
    /// Requests that were rejected with status 503.
    pub(crate) rejected: usize,
}

/// Sends all large bodies at once.
pub(crate) async fn measure(environment: &TestEnvironment) -> LargeBodies {
    environment.set_service_time(Duration::from_millis(5), Duration::ZERO);
    let address = environment.router.inference_address;
    let document = "x".repeat(DOCUMENT_LENGTH);
    let documents = vec![document.as_str(); DOCUMENTS];
    let body: Rc<str> = json!({"model": "m", "query": "q", "documents": documents})
        .to_string()
        .into();
    let requests: Vec<_> = (0..REQUESTS)
        .map(|index| spawn_local(send(address, index, body.clone())))
        .collect();
    let mut served = 0;
    let mut rejected = 0;
    for request in requests {
        match request.await.unwrap_or(0) {
            200 => served += 1,
            503 => rejected += 1,
            _ => {}
        }
    }
    LargeBodies {
        peak_memory_mb: environment.router.peak_memory_mb(),
        served,
        rejected,
    }
}

/// Sends one body and returns the status, or 0 without one. A router that rejects the body may
/// close the connection before all of it is sent.
async fn send(address: SocketAddr, index: usize, body: Rc<str>) -> u16 {
    let mut client = RawClient::connect(address).await;
    let head = format!(
        "POST {RERANK_PATH} HTTP/1.1\r\nhost: app\r\nx-request-id: m{index}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let response = client.exchange(&[head.as_bytes(), body.as_bytes()]).await;
    let status = response.split(' ').nth(1);
    status.and_then(|text| text.parse().ok()).unwrap_or(0)
}
