//! Sends the request of a case over a connection of its own.

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

use crate::answer::Answer;
use crate::case::Case;

/// The longest that a case may take.
const CASE_TIMEOUT: Duration = Duration::from_secs(30);
/// The port of an address that names none.
const DEFAULT_PORT: u16 = 80;

/// The address of the service, and the key that each request carries.
#[derive(Debug, Clone)]
pub struct Base {
    authority: String,
    key: Option<String>,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The address is not valid.
    #[error("{0:?} is not an address such as http://host:port")]
    Address(String),
    /// The service cannot be reached.
    #[error("cannot be reached: {0}")]
    Unreachable(#[from] std::io::Error),
    /// The case does not make a valid request.
    #[error("the request cannot be made: {0}")]
    Request(#[from] http::Error),
    /// The connection ended before the answer.
    #[error("no answer: {0}")]
    NoAnswer(#[from] hyper::Error),
    /// The case took too long.
    #[error("no answer within {} s", CASE_TIMEOUT.as_secs())]
    Timeout(#[from] tokio::time::error::Elapsed),
}

impl Base {
    /// The service at an address such as `http://127.0.0.1:8090`, and a tenant's key for it.
    pub fn new(base: &str, key: Option<String>) -> Result<Base, SendError> {
        let invalid = || SendError::Address(base.to_owned());
        let authority = base
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
        Ok(Base { authority, key })
    }
}

/// Sends the request of a case and reads all of the answer.
pub async fn send(base: &Base, case: &Case) -> Result<Answer, SendError> {
    let request = build_request(base, case)?;
    timeout(CASE_TIMEOUT, exchange(base, request)).await?
}

fn build_request(base: &Base, case: &Case) -> Result<Request<Full<Bytes>>, SendError> {
    let mut request = Request::builder()
        .method(case.method.as_str())
        .uri(&case.path)
        .header("host", &base.authority);
    let has_content_type = case
        .headers
        .keys()
        .any(|name| name.eq_ignore_ascii_case("content-type"));
    if case.method == "POST" && !has_content_type {
        request = request.header("content-type", "application/json");
    }
    if let Some(key) = &base.key {
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

async fn exchange(base: &Base, request: Request<Full<Bytes>>) -> Result<Answer, SendError> {
    let stream = TcpStream::connect(&base.authority).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(async move { drop(connection.await) });
    let _driver = AbortOnDrop(driver);
    let (head, body) = sender.send_request(request).await?.into_parts();
    let mut answer = Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: Vec::new(),
        truncated: false,
    };
    read_body(body, &mut answer).await;
    Ok(answer)
}

async fn read_body(mut body: Incoming, answer: &mut Answer) {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            answer.truncated = true;
            return;
        };
        let data = frame.into_data().unwrap_or_default();
        answer.body.extend_from_slice(&data);
    }
}

/// Ends the task that drives a connection, however the exchange ends.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
