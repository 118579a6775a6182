//! Execution of a call: one or more attempts within the deadline of the call.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::time::{sleep, timeout_at, Instant};

use crate::client::Client;
use crate::connection::{Connection, SendError};
use crate::error::{decode_api_error, Error};
use crate::retry::{AttemptOutcome, RetryBudget};
use crate::stream::ChatStream;

/// A request that may be sent several times.
pub(crate) struct Call {
    method: Method,
    path: String,
    body: Bytes,
}

impl Call {
    /// Creates a GET request without a body.
    pub(crate) fn get(path: &str) -> Call {
        Call {
            method: Method::GET,
            path: path.to_owned(),
            body: Bytes::new(),
        }
    }

    /// Creates a POST request with a JSON body.
    pub(crate) fn post(path: &str, body: &impl Serialize) -> Result<Call, Error> {
        let body = serde_json::to_vec(body);
        let body = body.map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(Call {
            method: Method::POST,
            path: path.to_owned(),
            body: body.into(),
        })
    }
}

impl Client {
    /// Makes a call and decodes the complete response.
    pub(crate) async fn fetch<T: DeserializeOwned>(&self, call: Call) -> Result<T, Error> {
        let read = async |response: Response<Incoming>, connection: Connection| {
            // The caller has seen no part of an incomplete response, so the call can be retried as
            // if there had been no response.
            let body = response.into_body().collect().await;
            let body = body.map_err(|_| Error::ConnectionLost)?.to_bytes();
            self.shared.connections.put(connection).await;
            Ok(body)
        };
        let body = self.call(call, read).await?;
        serde_json::from_slice(&body).map_err(|error| Error::Malformed(error.to_string()))
    }

    /// Makes a call and returns its response as a stream.
    pub(crate) async fn open_stream(&self, call: Call) -> Result<ChatStream, Error> {
        let open = async |response: Response<Incoming>, connection: Connection| {
            let idle_timeout = self.options.idle_timeout;
            Ok(ChatStream::new(
                response.into_body(),
                connection,
                idle_timeout,
            ))
        };
        self.call(call, open).await
    }

    /// Makes attempts at a call until one succeeds, no retry is allowed, or the deadline has
    /// passed. `read` turns a successful response into the result.
    async fn call<T>(
        &self,
        call: Call,
        read: impl AsyncFn(Response<Incoming>, Connection) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let deadline = Instant::now() + self.options.deadline;
        let call_number = self.shared.call_count.fetch_add(1, Ordering::Relaxed);
        let mut attempts = 0;
        loop {
            attempts += 1;
            let request_id = format!("{:016x}-{call_number}-{attempts}", self.shared.client_id);
            let attempt = self.attempt(&call, &request_id, deadline, &read);
            let result = timeout_at(deadline, attempt).await;
            let error = match result.unwrap_or(Err(Error::DeadlineExceeded)) {
                Ok(response) => {
                    self.with_retry_budget(RetryBudget::record_success);
                    return Ok(response);
                }
                Err(error) => error,
            };
            match self.retry_delay(&error, attempts, deadline) {
                Some(delay) => sleep(delay).await,
                None => return Err(error),
            }
        }
    }

    /// Returns the delay before the next attempt, or `None` if the call is not retried.
    fn retry_delay(&self, error: &Error, attempts: u32, deadline: Instant) -> Option<Duration> {
        let outcome = attempt_outcome(error);
        let remaining = deadline.saturating_duration_since(Instant::now());
        let jitter = rand::random();
        let idempotency = self.options.idempotency;
        self.with_retry_budget(|budget| {
            budget.next_delay(outcome, idempotency, attempts, remaining, jitter)
        })
        .flatten()
    }

    /// Calls `action` with the shared retry budget; `None` if its lock is poisoned.
    fn with_retry_budget<T>(&self, action: impl FnOnce(&mut RetryBudget) -> T) -> Option<T> {
        let mut budget = self.shared.retry_budget.lock().ok()?;
        Some(action(&mut budget))
    }

    /// Sends the request once and reads the response with `read` if its status is a success.
    async fn attempt<T>(
        &self,
        call: &Call,
        request_id: &str,
        deadline: Instant,
        read: &impl AsyncFn(Response<Incoming>, Connection) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let connection = self.shared.connections.take().await;
        let mut connection = connection.map_err(|error| Error::NotSent(error.to_string()))?;
        let request = self.build_request(call, request_id, deadline)?;
        let response = connection
            .send(request)
            .await
            .map_err(|error| match error {
                SendError::NotSent => Error::NotSent(
                    "the connection was closed before the request was completely written"
                        .to_owned(),
                ),
                SendError::ConnectionLost => Error::ConnectionLost,
            })?;
        if response.status().is_success() {
            return read(response, connection).await;
        }
        let status = response.status().as_u16();
        let retry_after = retry_after(response.headers());
        let body = response.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        self.shared.connections.put(connection).await;
        Err(Error::Api {
            status,
            error: decode_api_error(&body),
            retry_after,
        })
    }

    fn build_request(
        &self,
        call: &Call,
        request_id: &str,
        deadline: Instant,
    ) -> Result<Request<Bytes>, Error> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let deadline_ms = remaining.as_millis().min(u32::MAX.into());
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header("host", &self.shared.host)
            .header("x-request-id", request_id)
            .header("x-deadline-ms", deadline_ms.to_string());
        if call.method == Method::POST {
            request = request.header("content-type", "application/json");
        }
        if let Some(key) = &self.options.api_key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        if let Some(session) = &self.options.session {
            request = request.header("x-key", session);
        }
        let request = request.body(call.body.clone());
        request.map_err(|error| Error::NotSent(error.to_string()))
    }
}

fn attempt_outcome(error: &Error) -> AttemptOutcome {
    match error {
        Error::NotSent(_) => AttemptOutcome::NotSent,
        Error::ConnectionLost => AttemptOutcome::ConnectionLost,
        Error::Api {
            status,
            retry_after,
            ..
        } => AttemptOutcome::Responded {
            status: *status,
            retry_after: *retry_after,
        },
        Error::InvalidAddress(_)
        | Error::StreamBroken
        | Error::DeadlineExceeded
        | Error::Malformed(_) => AttemptOutcome::NotRetryable,
    }
}

/// Returns the delay in the `Retry-After` header, which is a whole or decimal number of seconds.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("retry-after")?.to_str().ok()?;
    let seconds = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
