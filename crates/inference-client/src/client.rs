//! The client and its calls.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

use serde_json::{json, Value};

use crate::call::Call;
use crate::connection::ConnectionPool;
use crate::error::Error;
use crate::options::Options;
use crate::retry::RetryBudget;
use crate::stream::ChatStream;
use crate::types::{
    ChatRequest, ChatResponse, EmbeddingsRequest, EmbeddingsResponse, Model, ModelList,
    RerankRequest, RerankResponse,
};

const CHAT_PATH: &str = "/v1/chat/completions";
const EMBEDDINGS_PATH: &str = "/v1/embeddings";
const RERANK_PATH: &str = "/v1/rerank";
const MODELS_PATH: &str = "/v1/models";
const DEFAULT_PORT: u16 = 80;

/// State that all clones of a client share.
pub(crate) struct SharedState {
    /// Value of the `Host` header.
    pub(crate) host: String,
    pub(crate) connections: ConnectionPool,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    /// Random part of the request ids, which tells the requests of different clients apart.
    pub(crate) client_id: u64,
    /// Number of calls made so far.
    pub(crate) call_count: AtomicU64,
}

/// A client of the inference API. Clones share the connections and the retry budget.
#[derive(Clone)]
pub struct Client {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) options: Options,
}

impl Client {
    /// Creates a client of the service at an address such as `http://127.0.0.1:8090`, with the
    /// default options.
    pub fn new(base: &str) -> Result<Client, Error> {
        Client::with_options(base, Options::default())
    }

    /// Creates a client with these options.
    pub fn with_options(base: &str, options: Options) -> Result<Client, Error> {
        let invalid = || Error::InvalidAddress(base.to_owned());
        let uri: http::Uri = base.parse().map_err(|_| invalid())?;
        if uri.scheme_str() != Some("http") || !matches!(uri.path(), "" | "/") {
            return Err(invalid());
        }
        let host = uri.host().ok_or_else(invalid)?;
        let authority = uri.authority().map_or(host, |authority| authority.as_str());
        let host_name = host.trim_matches(['[', ']']).to_owned();
        let port = uri.port_u16().unwrap_or(DEFAULT_PORT);
        let shared = SharedState {
            host: authority.to_owned(),
            connections: ConnectionPool::new(host_name, port),
            retry_budget: Mutex::new(RetryBudget::new(options.retry_policy)),
            client_id: rand::random(),
            call_count: AtomicU64::new(0),
        };
        Ok(Client {
            shared: Arc::new(shared),
            options,
        })
    }

    /// Returns a clone with changed options. A changed retry policy has no effect, because all
    /// clones share the retry budget.
    #[must_use]
    pub fn with_changed_options(&self, change: impl FnOnce(&mut Options)) -> Client {
        let mut client = self.clone();
        change(&mut client.options);
        client
    }

    /// Requests a chat response and waits until it is complete.
    pub async fn chat(&self, request: &ChatRequest) -> Result<ChatResponse, Error> {
        self.fetch(Call::post(CHAT_PATH, request)?).await
    }

    /// Requests a chat response as a stream. The last event contains the usage.
    pub async fn chat_stream(&self, request: &ChatRequest) -> Result<ChatStream, Error> {
        let body = serde_json::to_value(request);
        let mut body = body.map_err(|error| Error::Malformed(error.to_string()))?;
        body["stream"] = Value::Bool(true);
        body["stream_options"] = json!({"include_usage": true});
        self.open_stream(Call::post(CHAT_PATH, &body)?).await
    }

    /// Requests the embeddings of texts.
    pub async fn embeddings(
        &self,
        request: &EmbeddingsRequest,
    ) -> Result<EmbeddingsResponse, Error> {
        self.fetch(Call::post(EMBEDDINGS_PATH, request)?).await
    }

    /// Requests the relevance scores of documents.
    pub async fn rerank(&self, request: &RerankRequest) -> Result<RerankResponse, Error> {
        self.fetch(Call::post(RERANK_PATH, request)?).await
    }

    /// Lists the models that the service offers.
    pub async fn models(&self) -> Result<ModelList, Error> {
        self.fetch(Call::get(MODELS_PATH)).await
    }

    /// Requests the description of a model.
    pub async fn model(&self, id: &str) -> Result<Model, Error> {
        let path = format!("{MODELS_PATH}/{}", percent_encode(id));
        self.fetch(Call::get(&path)).await
    }
}

/// Percent-encodes all characters except the unreserved ones (RFC 3986, section 2.3).
fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
