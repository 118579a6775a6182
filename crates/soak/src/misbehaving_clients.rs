//! Clients that send malformed or unfinished requests, or keep connections open without sending.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::oracle::Rule;
use crate::router_process::RouterProcess;
use crate::run_state::RunState;

/// Maximum time until a router responds to a malformed request or closes its connection: the
/// timeout of the router plus a tolerance.
const MALFORMED_REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000 + 200);
/// Maximum time for which an idle client waits for its connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends an unfinished or malformed request, and reports a violation if the router neither responds
/// nor closes the connection in time.
pub async fn send_malformed_request(state: &RunState, router: &RouterProcess) {
    let Ok(mut stream) = TcpStream::connect(router.address).await else {
        return;
    };
    let request = match state.draw(0, 3) {
        0 => "POST /v1/chat/completions HTTP/1.1\r\nhost: a",
        1 => {
            "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\ncontent-length: 500\r\n\r\n\
             half of it"
        }
        _ => "\u{7f}\r\nnonsense\r\n\r\n",
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return;
    }
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let closed = timeout(MALFORMED_REQUEST_TIMEOUT, reading).await.is_ok();
    if !closed && received.is_empty() && router.is_running() {
        let detail = format!(
            "router {} neither responded to a malformed request nor closed its connection within \
             {MALFORMED_REQUEST_TIMEOUT:?}",
            router.index
        );
        state.report_violation(Rule::MissingAnswer, detail);
    }
}

/// Keeps `count` connections to a router open for a duration, and sends nothing.
pub async fn keep_idle_connections(router: &Rc<RouterProcess>, count: usize, duration: Duration) {
    let mut idle = Vec::new();
    for _ in 0..count {
        let connecting = TcpStream::connect(router.address);
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connecting).await {
            idle.push(stream);
        }
    }
    sleep(duration).await;
}
