//! Sending the request of a case, over a separate connection for each case.

use std::io::Write;
use std::time::Duration;

use bytes::Bytes;
use flate2::write::GzEncoder;
use flate2::Compression;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::case::Case;
use crate::response::Response;

/// Maximum duration of a case.
const CASE_TIMEOUT: Duration = Duration::from_secs(30);
/// Port of an address without one.
const DEFAULT_PORT: u16 = 80;

/// The service under test: its address, and the API key that is sent with each request.
#[derive(Debug, Clone)]
pub struct Service {
    /// Host and port of the service.
    authority: String,
    key: Option<String>,
}

/// Why a case got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The address of the service is invalid.
    #[error("invalid service address {0:?}: expected http://host:port")]
    Address(String),
    /// The service cannot be reached.
    #[error("the service cannot be reached: {0}")]
    Unreachable(#[from] std::io::Error),
    /// The request of the case is invalid.
    #[error("the request of the case is invalid: {0}")]
    Request(#[from] http::Error),
    /// The connection failed before a response was received.
    #[error("the connection failed before a response was received: {0}")]
    NoResponse(#[from] hyper::Error),
    /// The case took longer than its timeout.
    #[error("no complete response within {} s", CASE_TIMEOUT.as_secs())]
    Timeout(#[from] tokio::time::error::Elapsed),
}

impl Service {
    /// Creates the description of the service at an address such as `http://127.0.0.1:8090`, with
    /// the API key of a tenant.
    pub fn new(address: &str, key: Option<String>) -> Result<Service, SendError> {
        let invalid = || SendError::Address(address.to_owned());
        let authority = address
            .strip_prefix("http://")
            .map(|authority| authority.trim_end_matches('/'))
            .ok_or_else(invalid)?;
        if authority.is_empty() || authority.contains('/') {
            return Err(invalid());
        }
        let has_port = authority
            .rsplit(':')
            .next()
            .is_some_and(|port| port.parse::<u16>().is_ok());
        let authority = if has_port {
            authority.to_owned()
        } else {
            format!("{authority}:{DEFAULT_PORT}")
        };
        Ok(Service { authority, key })
    }
}

/// Sends the request of a case and reads the complete response.
pub async fn send(service: &Service, case: &Case) -> Result<Response, SendError> {
    let request = build_request(service, case)?;
    timeout(CASE_TIMEOUT, exchange(service, request)).await?
}

fn build_request(service: &Service, case: &Case) -> Result<Request<Full<Bytes>>, SendError> {
    let mut request = Request::builder()
        .method(case.method.as_str())
        .uri(&case.path)
        .header("host", &service.authority);
    let has_content_type = case
        .headers
        .keys()
        .any(|name| name.eq_ignore_ascii_case("content-type"));
    if case.method == "POST" && !has_content_type {
        request = request.header("content-type", "application/json");
    }
    if let Some(key) = &service.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in &case.headers {
        request = request.header(name, value);
    }
    Ok(request.body(Full::from(encode_body(case)?))?)
}

fn encode_body(case: &Case) -> Result<Vec<u8>, SendError> {
    let body = match &case.fill {
        Some(fill) => case.body.replace('@', &fill.text.repeat(fill.times)),
        None => case.body.clone(),
    };
    if !case.gzip {
        return Ok(body.into_bytes());
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::best());
    encoder.write_all(body.as_bytes())?;
    Ok(encoder.finish()?)
}

async fn exchange(service: &Service, request: Request<Full<Bytes>>) -> Result<Response, SendError> {
    let stream = TcpStream::connect(&service.authority).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(async move { drop(connection.await) });
    let _driver = AbortOnDrop(driver);
    let (head, body) = sender.send_request(request).await?.into_parts();
    let mut response = Response {
        status: head.status.as_u16(),
        headers: head.headers,
        body: Vec::new(),
        truncated: false,
    };
    read_body(body, &mut response).await;
    Ok(response)
}

async fn read_body(mut body: Incoming, response: &mut Response) {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            response.truncated = true;
            return;
        };
        let data = frame.into_data().unwrap_or_default();
        response.body.extend_from_slice(&data);
    }
}

/// Aborts the task that drives a connection when dropped, however the exchange ends.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
