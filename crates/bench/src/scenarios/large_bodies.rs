//! Measures how much memory a router uses for many concurrent requests with large bodies.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cranetack_testkit::RawClient;
use serde_json::json;
use tokio::task::spawn_local;

use crate::environment::TestEnvironment;
use crate::requests::RERANK_PATH;

/// Number of requests that are sent at the same time.
const CONCURRENT_REQUESTS: usize = 64;
/// Number of documents in a request. With `DOCUMENT_LENGTH`, a body has about 16 MiB.
const DOCUMENTS_PER_REQUEST: usize = 16;
/// Length of a document in bytes.
const DOCUMENT_LENGTH: usize = 1_023 * 1_024;

/// The result of this scenario.
pub(crate) struct LargeBodies {
    /// Peak memory use of the router, in MiB.
    pub(crate) peak_memory_mb: f64,
    /// Number of requests that were served.
    pub(crate) served: usize,
    /// Number of requests that were rejected with status 503.
    pub(crate) rejected: usize,
}

/// Sends all requests at the same time.
pub(crate) async fn measure(environment: &TestEnvironment) -> LargeBodies {
    environment.set_service_time(Duration::from_millis(5), Duration::ZERO);
    let address = environment.router.inference_address;
    let document = "x".repeat(DOCUMENT_LENGTH);
    let documents = vec![document.as_str(); DOCUMENTS_PER_REQUEST];
    let body: Rc<str> = json!({"model": "m", "query": "q", "documents": documents})
        .to_string()
        .into();
    let requests: Vec<_> = (0..CONCURRENT_REQUESTS)
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

/// Sends a request and returns the status of the response, or 0 if there is none. A router that
/// rejects the request may close the connection before all of the body is sent.
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
