//! A server that sends the same bytes in response to every request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::endpoint_entry::endpoint_entry_at;

/// The response to calls that reserve or release decode slots. A release succeeds; after a
/// reservation, the router does not know whether it has a slot.
const SLOT_RESPONSE: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// The pause after each part of a response, so that the router receives the parts one at a time.
const PART_INTERVAL: Duration = Duration::from_millis(2);

/// A server that sends the same bytes in response to every request.
pub struct ScriptedServer {
    /// The endpoint list entry of the server.
    pub entry: Value,
    /// Number of requests received, without the calls that reserve or release decode slots.
    pub request_count: Rc<Cell<usize>>,
}

/// State that all connections of a scripted server share.
#[derive(Clone)]
struct Script {
    parts: Rc<Vec<String>>,
    request_count: Rc<Cell<usize>>,
}

/// Starts a server that responds to each request by sending `parts` as they are, and leaves the
/// connection open. Calls that reserve or release decode slots get status 204 instead.
pub async fn start_scripted_server(server_type: &str, parts: Vec<String>) -> ScriptedServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Rc::new(Cell::new(0));
    let script = Script {
        parts: Rc::new(parts),
        request_count: count.clone(),
    };
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            spawn_local(script.clone().serve_connection(stream));
        }
    });
    ScriptedServer {
        entry: endpoint_entry_at(address, server_type, "up"),
        request_count: count,
    }
}

impl Script {
    async fn serve_connection(self, mut stream: TcpStream) {
        let mut received = Vec::new();
        while stream
            .read_buf(&mut received)
            .await
            .is_ok_and(|length| length > 0)
        {
            let text = String::from_utf8_lossy(&received).into_owned();
            let Some((head, body)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            if body.len() < content_length(head) {
                continue;
            }
            if self.respond(&mut stream, head).await.is_err() {
                return;
            }
            received.clear();
        }
    }

    async fn respond(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        if head.contains("/bootstrap/") {
            return send_part(stream, SLOT_RESPONSE).await;
        }
        self.request_count.set(self.request_count.get() + 1);
        for part in self.parts.iter() {
            send_part(stream, part).await?;
        }
        Ok(())
    }
}

async fn send_part(stream: &mut TcpStream, part: &str) -> std::io::Result<()> {
    stream.write_all(part.as_bytes()).await?;
    sleep(PART_INTERVAL).await;
    Ok(())
}

/// Returns the `content-length` of a message head, or 0 if it has none.
fn content_length(head: &str) -> usize {
    head.split_once("content-length: ")
        .and_then(|(_, rest)| rest.lines().next())
        .map_or(0, |length| length.parse().unwrap())
}
