//! Calls: tried, and tried again where that is right, within their deadline.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::time::{sleep, timeout_at, Instant};

use crate::link::{Link, Links};
use crate::retry::{Retries, Rules, Safety, Tried};
use crate::stream::ChatStream;
use crate::types::{
    ApiErrorBody, ChatAnswer, ChatRequest, EmbeddingsAnswer, EmbeddingsRequest, Model, Models,
    RerankAnswer, RerankRequest,
};

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address of the service is none.
    #[error("{0:?} is not an address such as http://host:port")]
    Address(String),
    /// No connection came up, or it ended before all was sent: the request has not run.
    #[error("the request could not be sent: {0}")]
    NotSent(String),
    /// The connection ended before the answer: the request may have run.
    #[error("the connection ended before the answer; the request may have run")]
    Lost,
    /// The answer broke off.
    #[error("the answer broke off")]
    Broken,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Deadline,
    /// The service says what is wrong. The status is 200 where it was said in a stream.
    #[error("{status}: {}", error.message)]
    Api {
        /// The HTTP status.
        status: u16,
        /// What the service says.
        error: ApiErrorBody,
        /// When to come back, if the service says so.
        retry_after: Option<Duration>,
    },
    /// The answer is not as the API has it.
    #[error("the answer cannot be read: {0}")]
    Unreadable(String),
}

/// How a client calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// A call's deadline over all its tries; of a stream to its first event.
    pub deadline: Duration,
    /// How long a stream may be silent once it has begun.
    pub silence: Duration,
    /// Whether requests may run twice.
    pub safety: Safety,
    /// The tenant's key.
    pub key: Option<String>,
    /// The session, whose prompts build on one another.
    pub session: Option<String>,
    /// How calls are tried again.
    pub retries: Rules,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            deadline: Duration::from_secs(30),
            silence: Duration::from_secs(30),
            safety: Safety::Safe,
            key: None,
            session: None,
            retries: Rules::default(),
        }
    }
}

struct Shared {
    host: String,
    links: Links,
    retries: Mutex<Retries>,
    /// Ids are the client's own name and a count.
    own: u64,
    calls: AtomicU64,
}

/// A client. Clones share connections and the budget for repeats.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
    options: Options,
}

/// One request, as it is tried again and again.
struct Call {
    method: Method,
    path: String,
    body: Bytes,
}

impl Client {
    /// A client of the service at an address such as `http://127.0.0.1:8090`.
    pub fn new(base: &str) -> Result<Client, Error> {
        Client::with(base, Options::default())
    }

    /// A client with options of its own.
    pub fn with(base: &str, options: Options) -> Result<Client, Error> {
        let wrong = || Error::Address(base.to_owned());
        let uri: http::Uri = base.parse().map_err(|_| wrong())?;
        let host = uri
            .host()
            .filter(|_| uri.scheme_str() == Some("http"))
            .ok_or_else(wrong)?;
        if !matches!(uri.path(), "" | "/") {
            return Err(wrong());
        }
        let name = host.trim_matches(['[', ']']).to_owned();
        let shared = Shared {
            host: uri.authority().map_or(host, |a| a.as_str()).to_owned(),
            links: Links::new(name, uri.port_u16().unwrap_or(80)),
            retries: Mutex::new(Retries::new(options.retries)),
            own: rand::random(),
            calls: AtomicU64::new(0),
        };
        Ok(Client {
            shared: Arc::new(shared),
            options,
        })
    }

    /// The same client with other options, but for its budget for repeats, which all its clones share.
    #[must_use]
    pub fn set(&self, change: impl FnOnce(&mut Options)) -> Client {
        let mut client = self.clone();
        change(&mut client.options);
        client
    }

    /// A whole chat answer.
    pub async fn chat(&self, request: &ChatRequest) -> Result<ChatAnswer, Error> {
        self.post("/v1/chat/completions", request).await
    }

    /// A chat answer as it comes. The last event tells the use.
    pub async fn chat_stream(&self, request: &ChatRequest) -> Result<ChatStream, Error> {
        let mut body =
            serde_json::to_value(request).map_err(|e| Error::Unreadable(e.to_string()))?;
        body["stream"] = Value::Bool(true);
        body["stream_options"] = json!({"include_usage": true});
        let call = Call::post("/v1/chat/completions", &body)?;
        let open = async |answer: Response<Incoming>, link: Link| {
            Ok(ChatStream::new(
                answer.into_body(),
                link,
                self.options.silence,
            ))
        };
        self.call(call, open).await
    }

    /// Vectors of texts.
    pub async fn embeddings(&self, request: &EmbeddingsRequest) -> Result<EmbeddingsAnswer, Error> {
        self.post("/v1/embeddings", request).await
    }

    /// Scores of documents.
    pub async fn rerank(&self, request: &RerankRequest) -> Result<RerankAnswer, Error> {
        self.post("/v1/rerank", request).await
    }

    /// The models that may be used.
    pub async fn models(&self) -> Result<Models, Error> {
        self.get("/v1/models").await
    }

    /// One model.
    pub async fn model(&self, id: &str) -> Result<Model, Error> {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
        let escaped: String = id
            .bytes()
            .map(|b| {
                if plain(b) {
                    char::from(b).to_string()
                } else {
                    format!("%{b:02X}")
                }
            })
            .collect();
        self.get(&format!("/v1/models/{escaped}")).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        self.whole(Call::post(path, body)?).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.whole(Call {
            method: Method::GET,
            path: path.to_owned(),
            body: Bytes::new(),
        })
        .await
    }

    async fn whole<T: DeserializeOwned>(&self, call: Call) -> Result<T, Error> {
        let read = async |answer: Response<Incoming>, link: Link| {
            // Nothing of it has been seen yet, so a part of it counts as none.
            let body = answer
                .into_body()
                .collect()
                .await
                .map_err(|_| Error::Lost)?
                .to_bytes();
            self.shared.links.put(link).await;
            Ok(body)
        };
        let body = self.call(call, read).await?;
        serde_json::from_slice(&body).map_err(|e| Error::Unreadable(e.to_string()))
    }

    /// Tries a call until it is served, must not be tried again, or its deadline has passed.
    async fn call<T>(
        &self,
        call: Call,
        read: impl AsyncFn(Response<Incoming>, Link) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let until = Instant::now() + self.options.deadline;
        let number = self.shared.calls.fetch_add(1, Ordering::Relaxed);
        let mut tries = 0;
        loop {
            tries += 1;
            let id = format!("{:016x}-{number}-{tries}", self.shared.own);
            let tried = timeout_at(until, self.once(&call, &id, until, &read)).await;
            let error = match tried.unwrap_or(Err(Error::Deadline)) {
                Ok(answer) => {
                    self.retries(Retries::succeeded);
                    return Ok(answer);
                }
                Err(error) => error,
            };
            let tried = match &error {
                Error::NotSent(_) => Tried::NotSent,
                Error::Lost => Tried::Lost,
                Error::Api {
                    status,
                    retry_after,
                    ..
                } => Tried::Answered(*status, *retry_after),
                _ => Tried::Broken,
            };
            let (left, chance) = (
                until.saturating_duration_since(Instant::now()),
                rand::random(),
            );
            let again = |retries: &mut Retries| {
                retries.again(tried, self.options.safety, tries, left, chance)
            };
            match self.retries(again).flatten() {
                Some(pause) => sleep(pause).await,
                None => return Err(error),
            }
        }
    }

    fn retries<T>(&self, step: impl FnOnce(&mut Retries) -> T) -> Option<T> {
        self.shared
            .retries
            .lock()
            .ok()
            .map(|mut retries| step(&mut retries))
    }

    async fn once<T>(
        &self,
        call: &Call,
        id: &str,
        until: Instant,
        read: &impl AsyncFn(Response<Incoming>, Link) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let mut link = self
            .shared
            .links
            .take()
            .await
            .map_err(|e| Error::NotSent(e.to_string()))?;
        let left = until.saturating_duration_since(Instant::now()).as_millis();
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header("host", &self.shared.host)
            .header("x-request-id", id)
            .header("x-deadline-ms", left.min(u32::MAX.into()).to_string());
        if call.method == Method::POST {
            request = request.header("content-type", "application/json");
        }
        if let Some(key) = &self.options.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        if let Some(session) = &self.options.session {
            request = request.header("x-key", session);
        }
        let request = request
            .body(call.body.clone())
            .map_err(|e| Error::NotSent(e.to_string()))?;
        let answer = link.send(request).await.map_err(|all_out| match all_out {
            true => Error::Lost,
            false => Error::NotSent("the connection ended".to_owned()),
        })?;
        if answer.status().is_success() {
            return read(answer, link).await;
        }
        let (status, retry_after) = (answer.status().as_u16(), retry_after(answer.headers()));
        let body = answer
            .into_body()
            .collect()
            .await
            .map(|b| b.to_bytes())
            .unwrap_or_default();
        self.shared.links.put(link).await;
        Err(Error::Api {
            status,
            error: error_of(&body),
            retry_after,
        })
    }
}

impl Call {
    fn post(path: &str, body: &impl Serialize) -> Result<Call, Error> {
        let body = serde_json::to_vec(body).map_err(|e| Error::Unreadable(e.to_string()))?;
        Ok(Call {
            method: Method::POST,
            path: path.to_owned(),
            body: body.into(),
        })
    }
}

/// Seconds, whole or decimal.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("retry-after")?.to_str().ok()?;
    text.trim()
        .parse()
        .ok()
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}

/// What the service says is wrong; its words as they are, where they are not the API's.
pub(crate) fn error_of(body: &[u8]) -> ApiErrorBody {
    #[derive(Deserialize)]
    struct Whole {
        error: ApiErrorBody,
    }
    let text = || ApiErrorBody {
        message: String::from_utf8_lossy(body).into_owned(),
        ..ApiErrorBody::default()
    };
    serde_json::from_slice::<Whole>(body).map_or_else(|_| text(), |whole| whole.error)
}
