//! An HTTP client for tests and measurements.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, AbortHandle};

/// An HTTP client with one connection to a router or a fake server. Dropping it closes the
/// connection.
pub struct Client {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    /// The task that drives the connection.
    driver: AbortHandle,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Client {
    /// Connects to a router or a fake server.
    pub async fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .unwrap();
        let driver = spawn_local(async move { drop(connection.await) }).abort_handle();
        Client { sender, driver }
    }

    /// Sends a GET request and returns the status and the body of the response.
    pub async fn get(&mut self, path: &str) -> (u16, Bytes) {
        let request = Request::get(path)
            .header("host", "app")
            .body(Full::default())
            .unwrap();
        let (status, _, body) = self.send(request).await;
        (status, body.unwrap())
    }

    /// Sends a request and returns the status, the headers and the body of the response. The body
    /// is `None` if the connection was closed before the body was complete.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> (u16, HeaderMap, Option<Bytes>) {
        self.sender.ready().await.unwrap();
        let response = self.sender.send_request(request).await.unwrap();
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok().map(|body| body.to_bytes());
        (head.status.as_u16(), head.headers, body)
    }

    /// Posts JSON to the inference API and returns the status and the body of the response. A body
    /// that is not JSON is returned as a JSON string.
    pub async fn post(&mut self, path: &str, body: Value) -> (u16, Value) {
        let request = Request::post(path)
            .header("host", "app")
            .body(Full::from(body.to_string()))
            .unwrap();
        let (status, _, body) = self.send(request).await;
        let body = body.expect("the connection was closed before the response body was complete");
        let json =
            serde_json::from_slice(&body).unwrap_or_else(|_| String::from_utf8_lossy(&body).into());
        (status, json)
    }

    /// Sends a chat request to the platform API and returns the same as [`Client::send`].
    pub async fn send_chat(
        &mut self,
        id: &str,
        class: &str,
        deadline_ms: u32,
    ) -> (u16, HeaderMap, Option<Bytes>) {
        let request = Request::post("/v1/chat/completions")
            .header("host", "app")
            .header("x-request-id", id)
            .header("x-class", class)
            .header("x-key", "s1")
            .header("x-deadline-ms", deadline_ms.to_string())
            .header("x-extras", "prompt_len=100,max_out=20")
            .body(Full::from("{\"messages\":[]}"));
        self.send(request.unwrap()).await
    }
}
