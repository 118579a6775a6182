//! A server that answers every request with the same bytes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::endpoint_entry::endpoint_entry_at;

/// How calls about decode slots are answered.
const SLOT_RESPONSE: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// The pause after each part of a response, so that each is received by itself.
const PART_INTERVAL: Duration = Duration::from_millis(2);

/// A server that answers every request with the same bytes.
pub struct ScriptedServer {
    /// Its entry of the endpoint list.
    pub entry: Value,
    /// How many requests it has received, without calls about decode slots.
    pub request_count: Rc<Cell<usize>>,
}

/// What each connection of a scripted server needs.
#[derive(Clone)]
struct Script {
    parts: Rc<Vec<String>>,
    requests: Rc<Cell<usize>>,
}

/// Starts a server that answers each request with the same parts, whatever their bytes are, and
/// leaves the connection open. Calls about decode slots get a proper answer.
pub async fn start_scripted_server(server_type: &str, parts: Vec<String>) -> ScriptedServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Rc::new(Cell::new(0));
    let script = Script {
        parts: Rc::new(parts),
        requests: requests.clone(),
    };
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            spawn_local(script.clone().serve_connection(stream));
        }
    });
    ScriptedServer {
        entry: endpoint_entry_at(address, server_type, "up"),
        request_count: requests,
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
            if self.answer(&mut stream, head).await.is_err() {
                return;
            }
            received.clear();
        }
    }

    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        if head.contains("/bootstrap/") {
            return send_part(stream, SLOT_RESPONSE).await;
        }
        self.requests.set(self.requests.get() + 1);
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

/// The length of the body that a head announces.
fn content_length(head: &str) -> usize {
    head.split_once("content-length: ")
        .and_then(|(_, rest)| rest.lines().next())
        .map_or(0, |length| length.parse().unwrap())
}
