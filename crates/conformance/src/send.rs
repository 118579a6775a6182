//! Sends a case's request, over a connection of its own.

use std::io::Write;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{Answer, Case};

/// The longest that a case may take.
const WAIT: Duration = Duration::from_secs(30);

/// Where the service is, and what is sent with every case.
#[derive(Debug, Clone)]
pub struct Base {
    authority: String,
    key: Option<String>,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The address is none.
    #[error("{0:?} is not an address such as http://host:port")]
    Address(String),
    /// The service cannot be reached.
    #[error("cannot be reached: {0}")]
    Unreachable(#[from] std::io::Error),
    /// The request cannot be made.
    #[error("the request cannot be made: {0}")]
    Request(#[from] http::Error),
    /// The connection ended before the answer.
    #[error("no answer: {0}")]
    NoAnswer(#[from] hyper::Error),
    /// It took too long.
    #[error("no answer within {} s", WAIT.as_secs())]
    Slow(#[from] tokio::time::error::Elapsed),
}

impl Base {
    /// The service at an address such as `http://127.0.0.1:8090`, and a tenant's key for it.
    pub fn new(base: &str, key: Option<String>) -> Result<Base, SendError> {
        let authority = base
            .strip_prefix("http://")
            .map(|a| a.trim_end_matches('/'));
        let authority = authority.filter(|a| !a.is_empty() && !a.contains('/'));
        let authority = authority.ok_or_else(|| SendError::Address(base.to_owned()))?;
        let port = authority
            .rsplit(':')
            .next()
            .is_some_and(|p| p.parse::<u16>().is_ok());
        Ok(Base {
            authority: if port {
                authority.to_owned()
            } else {
                format!("{authority}:80")
            },
            key,
        })
    }
}

fn body(case: &Case) -> Result<Vec<u8>, SendError> {
    let plain = match &case.fill {
        Some(fill) => case.body.replace('@', &fill.text.repeat(fill.times)),
        None => case.body.clone(),
    };
    if !case.gzip {
        return Ok(plain.into_bytes());
    }
    let mut encoder = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::best());
    encoder.write_all(plain.as_bytes())?;
    Ok(encoder.finish()?)
}

/// Sends a case's request and reads all of the answer.
pub async fn send(base: &Base, case: &Case) -> Result<Answer, SendError> {
    let mut request = Request::builder()
        .method(case.method.as_str())
        .uri(&case.path)
        .header("host", &base.authority);
    if !case
        .headers
        .keys()
        .any(|k| k.eq_ignore_ascii_case("content-type"))
        && case.method == "POST"
    {
        request = request.header("content-type", "application/json");
    }
    if let Some(key) = &base.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in &case.headers {
        request = request.header(name, value);
    }
    let request = request.body(Full::<Bytes>::from(body(case)?))?;
    timeout(WAIT, async {
        let stream = TcpStream::connect(&base.authority).await?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move { drop(connection.await) });
        let answer = sender.send_request(request).await?;
        let (head, mut body) = answer.into_parts();
        let mut answer = Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: Vec::new(),
            broken: false,
        };
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => answer
                    .body
                    .extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => {
                    answer.broken = true;
                    break;
                }
            }
        }
        driver.abort();
        Ok(answer)
    })
    .await?
}
