//! Responses of a fake server, chosen by the path of the request. Each dimension of an embedding is
//! the length of its text; the score of a document is the number with which its text begins.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde_json::{json, Value};

use super::fault::MalformedResponse;
use super::streams::{stream_events, CHAT_EVENT, DONE_EVENT, FINISH_EVENT};
use crate::response::{complete, FakeResponse};

/// Builds the response to a request, malformed if `malformed` says so.
pub(super) fn build_response(
    path: &str,
    body: &[u8],
    malformed: Option<MalformedResponse>,
    event_interval: Duration,
) -> io::Result<FakeResponse> {
    if malformed == Some(MalformedResponse::NotJson) {
        return Ok(complete(StatusCode::OK, "<html>".into()));
    }
    let request: Value = serde_json::from_slice(body).map_err(io::Error::other)?;
    let (key, mut results) = match path {
        "/v1/embeddings" => ("data", embeddings(&request)),
        "/v1/rerank" => ("results", rerank_scores(&request)),
        _ => return Ok(chat_response(&request, malformed, event_interval)),
    };
    for (index, result) in results.iter_mut().enumerate() {
        result["index"] = json!(index);
    }
    if let Some(malformed) = malformed {
        malform_results(&mut results, malformed);
    }
    let usage = json!({"prompt_tokens": results.len(), "total_tokens": results.len()});
    let response = json!({key: results, "usage": usage});
    Ok(complete(StatusCode::OK, response.to_string().into()))
}

/// Returns one embedding for each input. The caller adds the indices.
fn embeddings(request: &Value) -> Vec<Value> {
    let dimensions = request["dimensions"].as_u64().unwrap_or(1) as usize;
    let inputs = match &request["input"] {
        Value::Array(tokens) if tokens.iter().all(Value::is_u64) => {
            vec![request["input"].clone()]
        }
        Value::Array(inputs) => inputs.clone(),
        input => vec![input.clone()],
    };
    inputs
        .iter()
        .map(|input| json!({"embedding": vec![text_of(input).len(); dimensions]}))
        .collect()
}

/// Returns one score for each document. The caller adds the indices.
fn rerank_scores(request: &Value) -> Vec<Value> {
    let documents = request["documents"].as_array().into_iter().flatten();
    documents
        .map(|document| json!({"relevance_score": score_of(text_of(document))}))
        .collect()
}

/// Returns the text of an input or a document, which is a string or an object with a field `text`.
fn text_of(item: &Value) -> &str {
    item.as_str().or(item["text"].as_str()).unwrap_or("")
}

fn score_of(text: &str) -> f64 {
    let first_word = text.split(' ').next();
    first_word.and_then(|word| word.parse().ok()).unwrap_or(0.0)
}

fn malform_results(results: &mut Vec<Value>, malformed: MalformedResponse) {
    match malformed {
        MalformedResponse::MissingItem => {
            results.pop();
        }
        MalformedResponse::DuplicateItem => results.push(results[0].clone()),
        MalformedResponse::IndexOutOfRange => results[0]["index"] = json!(results.len()),
        MalformedResponse::NotANumber => {
            results[0] = json!({"index": 0, "relevance_score": null, "embedding": [null]});
        }
        MalformedResponse::NotJson => {}
    }
}

/// Builds a chat stream of one word, with a usage event if the request asks for one.
fn chat_response(
    request: &Value,
    malformed: Option<MalformedResponse>,
    event_interval: Duration,
) -> FakeResponse {
    let mut events = vec![CHAT_EVENT.to_owned()];
    if malformed != Some(MalformedResponse::MissingItem) {
        events.push(FINISH_EVENT.to_owned());
        if request["stream_options"]["include_usage"] == json!(true) {
            let usage = json!({"prompt_tokens": 3, "completion_tokens": 1, "total_tokens": 4});
            let event = json!({"choices": [], "usage": usage});
            events.push(format!("data: {event}\n\n"));
        }
        events.push(DONE_EVENT.to_owned());
    }
    let events = events
        .into_iter()
        .map(|event| Ok(Bytes::from(event)))
        .collect();
    stream_events(event_interval, events)
}
