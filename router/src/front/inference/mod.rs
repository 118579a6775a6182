//! The second front: embeddings and rerank beside chat, as public inference interfaces have them. It is off
//! unless an operator's file sets it up. It decides nothing: it hands requests to the same core.

mod batch;

use std::cell::Cell;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cranetack::ClassId;
use cranetack_facts::Facts;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::request::Parts as Head;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::time::Instant;

use super::{is_word, retry_after, streamed, AnswerBody, Arriving, BodyError, Front};
use crate::core::{Asked, Handle};
use crate::exchange::{Answer, Message, Parts};
use crate::tenants::{Bearer, Tenants};
use batch::{text_tokens, Batch, Kind};

const CHAT: &str = "/v1/chat/completions";
const EMBEDDINGS: &str = "/v1/embeddings";
const RERANK: &str = "/v1/rerank";
/// The most that the answer to a slice may hold: vectors are long when written out.
const ANSWER_MOST: usize = 4 * 1024 * 1024;
/// The longest that a client may ask to wait.
const PATIENCE_MOST: Duration = Duration::from_secs(600);

/// The operator's file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// How chat is served.
    pub chat: Endpoint,
    /// How embeddings are served.
    pub embeddings: Endpoint,
    /// How reranking is served.
    pub rerank: Endpoint,
}

/// How one kind of request is served.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its class in the settings.
    pub class: String,
    /// How long a client waits that does not say.
    pub deadline_ms: u32,
    /// The most tokens that a batch sends at once.
    #[serde(default = "default_slice")]
    pub slice_tokens: u64,
}

fn default_slice() -> u64 {
    2_048
}

impl Setup {
    /// What is wrong with the values beside the settings, in one line that names the key.
    pub fn check(&self, facts: &Facts) -> Result<(), String> {
        for (key, endpoint) in
            [("chat", &self.chat), ("embeddings", &self.embeddings), ("rerank", &self.rerank)]
        {
            if !facts.classes.iter().any(|c| c.name == endpoint.class) {
                return Err(format!("{key}.class: the settings have no class {:?}", endpoint.class));
            }
            if endpoint.deadline_ms == 0 {
                return Err(format!("{key}.deadline_ms: must be above 0"));
            }
            if endpoint.slice_tokens == 0 {
                return Err(format!("{key}.slice_tokens: must be above 0"));
            }
        }
        Ok(())
    }
}

/// A body that is not as the interface has it.
#[derive(Debug, PartialEq, Eq)]
pub struct Unreadable {
    param: Option<&'static str>,
    message: String,
}

impl Unreadable {
    fn new(param: Option<&'static str>, message: String) -> Unreadable {
        Unreadable { param, message }
    }
}

/// Why a request has no answer of a server's.
#[derive(Debug)]
enum Failure {
    Unreadable(Unreadable),
    Body(BodyError),
    Path,
    Method,
    NotATenant,
    TenantsUnknown,
    Refused(Duration),
    Deadline,
    Failed,
    Taken,
}

impl Failure {
    fn response(self) -> Response<AnswerBody> {
        let invalid = "invalid_request_error";
        let (status, kind, code, param, message) = match &self {
            Failure::Unreadable(Unreadable { param, message }) => {
                (StatusCode::BAD_REQUEST, invalid, "invalid_value", *param, message.clone())
            }
            Failure::Body(error) => (error.status(), invalid, "invalid_body", None, error.to_string()),
            Failure::Path => {
                (StatusCode::NOT_FOUND, invalid, "unknown_url", None, "there is nothing at this path".into())
            }
            Failure::Method => {
                let message = "this path takes POST".to_owned();
                (StatusCode::METHOD_NOT_ALLOWED, invalid, "method_not_supported", None, message)
            }
            Failure::NotATenant => {
                let message = "the key (Authorization: Bearer KEY) is no tenant's".to_owned();
                (StatusCode::UNAUTHORIZED, "authentication_error", "invalid_api_key", None, message)
            }
            Failure::TenantsUnknown => {
                let message = "the directory of tenants has not been read yet".to_owned();
                (StatusCode::SERVICE_UNAVAILABLE, "server_error", "tenants_unknown", None, message)
            }
            Failure::Refused(_) => {
                let message = "there is no room now; trying again is harmless".to_owned();
                (StatusCode::SERVICE_UNAVAILABLE, "server_error", "overloaded", None, message)
            }
            Failure::Deadline => {
                let message = "no answer had begun by the deadline".to_owned();
                (StatusCode::GATEWAY_TIMEOUT, "server_error", "deadline_exceeded", None, message)
            }
            Failure::Failed => {
                let message = "the request failed; it may have run".to_owned();
                (StatusCode::BAD_GATEWAY, "server_error", "upstream_failed", None, message)
            }
            Failure::Taken => {
                let message = "another request with this id is open".to_owned();
                (StatusCode::CONFLICT, invalid, "id_in_use", Some("X-Request-Id"), message)
            }
        };
        let error = json!({"error": {"message": message, "type": kind, "param": param, "code": code}});
        let mut response = json_response(error.to_string().into());
        *response.status_mut() = status;
        match self {
            Failure::Refused(pause) => retry_after(&mut response, pause),
            // What is left of the body is not read.
            Failure::Body(_) => {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            _ => {}
        }
        response
    }
}

fn json_response(body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::text(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The front as a service.
#[derive(Clone)]
pub struct Inference {
    handle: Handle,
    setup: Rc<Setup>,
    classes: Rc<Vec<String>>,
    tenants: Option<Tenants>,
    /// For ids of requests whose clients gave none: the router's own name and a count.
    own: Rc<(String, Cell<u64>)>,
}

/// What all slices of a request share.
struct Order<'a> {
    endpoint: &'a Endpoint,
    name: String,
    tenant: Option<Rc<str>>,
    session: Option<String>,
    target: String,
    due: Instant,
}

impl Order<'_> {
    /// Sessions of two tenants are two, whatever their names.
    fn own_session(&self, name: &str) -> String {
        format!("{}/{name}", self.tenant.as_deref().unwrap_or(""))
    }
}

impl Inference {
    /// A front that hands its requests to `handle`. `seed` keeps the ids it gives apart from other routers'.
    pub fn new(
        handle: Handle, setup: Setup, facts: &Facts, tenants: Option<Tenants>, seed: u64,
    ) -> Inference {
        let classes = Rc::new(facts.classes.iter().map(|c| c.name.clone()).collect());
        Inference {
            handle,
            setup: Rc::new(setup),
            classes,
            tenants,
            own: Rc::new((format!("{seed:016x}"), Cell::new(0))),
        }
    }

    async fn route(&self, request: Request<Arriving>) -> Result<Response<AnswerBody>, Failure> {
        let (head, body) = request.into_parts();
        let endpoint = match head.uri.path() {
            CHAT => &self.setup.chat,
            EMBEDDINGS => &self.setup.embeddings,
            RERANK => &self.setup.rerank,
            _ => return Err(Failure::Path),
        };
        if head.method != Method::POST {
            return Err(Failure::Method);
        }
        let order = self.order(&head, endpoint)?;
        let body = body.whole().await.map_err(Failure::Body)?;
        match head.uri.path() {
            CHAT => self.chat(order, body).await,
            path => {
                let kind = if path == RERANK { Kind::Rerank } else { Kind::Embeddings };
                let batch = Batch::decode(kind, &body).map_err(Failure::Unreadable)?;
                self.batch(order, batch).await
            }
        }
    }

    fn order<'a>(&self, head: &Head, endpoint: &'a Endpoint) -> Result<Order<'a>, Failure> {
        let header = |name: &'static str| {
            let value = head.headers.get(name).map(HeaderValue::to_str).transpose();
            value.map_err(|_| Failure::Unreadable(Unreadable::new(Some(name), "cannot be read".to_owned())))
        };
        let wrong = |name, text: &str| Failure::Unreadable(Unreadable::new(Some(name), text.to_owned()));
        let name = match header("X-Request-Id")? {
            Some(id) if is_word(id) => id.to_owned(),
            Some(_) => return Err(wrong("X-Request-Id", "must be a plain word")),
            None => {
                let (own, count) = &*self.own;
                count.set(count.get() + 1);
                format!("{own}-{}", count.get())
            }
        };
        let patience = match header("X-Deadline-Ms")?.map(str::parse::<u32>) {
            None => Duration::from_millis(endpoint.deadline_ms.into()),
            Some(Ok(ms)) => Duration::from_millis(ms.into()).min(PATIENCE_MOST),
            Some(Err(_)) => return Err(wrong("X-Deadline-Ms", "must be whole milliseconds")),
        };
        let tenant = self.tenant(header("authorization")?)?;
        let session = header("X-Key")?.map(str::to_owned);
        Ok(Order {
            endpoint,
            name,
            tenant,
            session,
            target: head.uri.path_and_query().map_or(CHAT, |t| t.as_str()).to_owned(),
            due: Instant::now() + patience,
        })
    }

    /// Whose request it is, where there are tenants.
    fn tenant(&self, authorization: Option<&str>) -> Result<Option<Rc<str>>, Failure> {
        let Some(tenants) = &self.tenants else { return Ok(None) };
        let key = authorization.and_then(|a| a.strip_prefix("Bearer ")).ok_or(Failure::NotATenant)?;
        match tenants.bearer(key.trim()) {
            Bearer::Tenant(name) => Ok(Some(name)),
            Bearer::Unknown => Err(Failure::NotATenant),
            Bearer::NotYet => Err(Failure::TenantsUnknown),
        }
    }

    /// What the core is asked for a part of a request.
    fn asked(&self, order: &Order, part: usize, prompt_tokens: u64, body: Bytes) -> Asked {
        let class = self.classes.iter().position(|c| *c == order.endpoint.class).unwrap_or(0);
        // Each part is a request of its own to the servers, which must not take it for a repetition.
        let name = if part == 0 { order.name.clone() } else { format!("{}.{part}", order.name) };
        Asked {
            name: name.into(),
            class: ClassId(class),
            session: order.session.as_ref().map(|s| order.own_session(s)),
            prefix: None,
            patience: order.due.saturating_duration_since(Instant::now()),
            hint: None,
            prompt_tokens,
            shared_tokens: 0,
            max_tokens: 0,
            retry: false,
            came_back: false,
            message: Rc::new(Message {
                target: order.target.clone(),
                media_type: "application/json".to_owned(),
                body,
            }),
        }
    }

    async fn chat(&self, order: Order<'_>, body: Bytes) -> Result<Response<AnswerBody>, Failure> {
        let chat = Chat::decode(&body).map_err(Failure::Unreadable)?;
        let mut asked = self.asked(&order, 0, chat.prompt_tokens(), body);
        asked.max_tokens = chat.max_completion_tokens.or(chat.max_tokens).unwrap_or(0);
        asked.session = asked.session.or(chat.user.map(|user| order.own_session(&user)));
        let (answer, gone) = self.handle.ask(asked).answer().await;
        let (media_type, parts) = served(answer, order.due)?;
        Ok(streamed(&media_type, parts, gone))
    }

    /// Serves a batch slice by slice. Whatever ends one ends the batch, which has one answer.
    async fn batch(&self, order: Order<'_>, batch: Batch) -> Result<Response<AnswerBody>, Failure> {
        let mut answers: Vec<(Range<usize>, Bytes)> = Vec::new();
        for (part, slice) in batch.slices(order.endpoint.slice_tokens).into_iter().enumerate() {
            let asked = self.asked(&order, part, batch.slice_tokens(&slice), batch.body(&slice));
            // The guard ends with the slice: a client that leaves takes back the attempt that is out.
            let (answer, _gone) = self.handle.ask(asked).answer().await;
            let (_, parts) = served(answer, order.due)?;
            answers.push((slice, whole(parts).await?));
        }
        batch.join(answers).map(json_response).map_err(|_| Failure::Failed)
    }
}

/// The answer of a server, or why there is none.
fn served(answer: Answer, due: Instant) -> Result<(String, Parts), Failure> {
    match answer {
        Answer::Served { media_type, parts } => Ok((media_type, parts)),
        Answer::Refused(_) | Answer::Failed if Instant::now() >= due => Err(Failure::Deadline),
        Answer::Refused(pause) => Err(Failure::Refused(pause)),
        Answer::Failed => Err(Failure::Failed),
        Answer::Taken => Err(Failure::Taken),
    }
}

/// All parts of an answer.
async fn whole(mut parts: Parts) -> Result<Bytes, Failure> {
    let mut whole = BytesMut::new();
    while let Some(part) = std::future::poll_fn(|cx| parts.poll_next(cx)).await {
        whole.extend_from_slice(&part.map_err(|_| Failure::Failed)?);
        if whole.len() > ANSWER_MOST {
            return Err(Failure::Failed);
        }
    }
    Ok(whole.freeze())
}

/// What a chat request says that matters here; the rest passes unread.
#[derive(Deserialize)]
struct Chat {
    #[serde(rename = "model")]
    _model: String,
    messages: Vec<Said>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    user: Option<String>,
}

#[derive(Deserialize)]
struct Said {
    content: Option<Value>,
}

impl Chat {
    fn decode(body: &[u8]) -> Result<Chat, Unreadable> {
        let json = &mut serde_json::Deserializer::from_slice(body);
        let chat: Chat = serde_path_to_error::deserialize(json).map_err(|e| {
            let param = if e.path().to_string().starts_with("messages") { Some("messages") } else { None };
            Unreadable::new(param, format!("{}: {}", e.path(), e.inner()))
        })?;
        if chat.messages.is_empty() {
            return Err(Unreadable::new(Some("messages"), "must not be empty".to_owned()));
        }
        Ok(chat)
    }

    fn prompt_tokens(&self) -> u64 {
        let text = |part: &Value| part.get("text").and_then(Value::as_str).map_or(0, text_tokens);
        let said = |said: &Said| match &said.content {
            Some(Value::String(words)) => text_tokens(words),
            Some(Value::Array(parts)) => parts.iter().map(text).sum(),
            _ => 0,
        };
        self.messages.iter().map(said).sum()
    }
}

impl Front for Inference {
    async fn answer(self, request: Request<Arriving>) -> Response<AnswerBody> {
        self.route(request).await.unwrap_or_else(Failure::response)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::parse_toml;

    fn facts() -> Facts {
        let class = |name: &str| json!({"name": name});
        let classes = [class("chat"), class("embeddings"), class("rerank")];
        serde_json::from_value(json!({"classes": classes, "kinds": [], "zones": []})).unwrap()
    }

    const FILE: &str = include_str!("../../../../deploy/inference.toml");

    #[test]
    fn the_operators_file_as_shipped_can_be_used() {
        let setup: Setup = parse_toml(FILE).unwrap();
        setup.check(&facts()).unwrap();
        assert!(setup.listen.ip().is_loopback());
        assert_eq!(setup.rerank.class, "rerank");
    }

    #[test]
    fn a_wrong_file_names_its_key() {
        for (from, to, key) in [
            ("class = \"rerank\"", "class = \"other\"", "rerank.class"),
            ("class = \"chat\"", "classes = \"chat\"", "chat"),
            ("listen = \"127.0.0.1:8090\"", "listen = 3", "listen"),
            ("slice_tokens = 4096", "slice_tokens = 0", "embeddings.slice_tokens"),
        ] {
            assert!(FILE.contains(from), "{from}");
            let read = parse_toml(&FILE.replace(from, to)).and_then(|s: Setup| s.check(&facts()));
            let message = read.unwrap_err();
            assert!(message.starts_with(key) && !message.contains('\n'), "{message}");
        }
    }

    #[test]
    fn chat_counts_its_prompt_and_names_what_is_wrong() {
        let body = json!({"model": "m", "messages": [{"role": "user", "content": "12345678"},
            {"role": "user", "content": [{"type": "text", "text": "1234"}]}]});
        assert_eq!(Chat::decode(body.to_string().as_bytes()).unwrap().prompt_tokens(), 3);
        let param = |body: Value| Chat::decode(body.to_string().as_bytes()).err().map(|e| e.param);
        assert_eq!(param(json!({"model": "m", "messages": []})), Some(Some("messages")));
        assert_eq!(param(json!({"model": "m", "messages": 1})), Some(Some("messages")));
        assert_eq!(param(json!({"messages": [{}]})), Some(None));
    }
}
