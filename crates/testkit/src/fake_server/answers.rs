//! What a fake server answers by path. The dimensions of an embedding all hold the length of its
//! text; the score of a document is the number that it begins with.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde_json::{json, Value};

use super::fault::MalformedAnswer;
use super::streams::{stream_events, DONE, EVENT, FINISH};
use crate::response::{complete, FakeResponse};

/// The answer to a request.
pub(super) fn answer(
    path: &str,
    body: &[u8],
    malformed: Option<MalformedAnswer>,
    event_interval: Duration,
) -> io::Result<FakeResponse> {
    if malformed == Some(MalformedAnswer::NotJson) {
        return Ok(complete(StatusCode::OK, "<html>".into()));
    }
    let request: Value = serde_json::from_slice(body).map_err(io::Error::other)?;
    let (key, mut results) = match path {
        "/v1/embeddings" => ("data", embeddings(&request)),
        "/v1/rerank" => ("results", scores(&request)),
        _ => return Ok(chat(&request, malformed, event_interval)),
    };
    for (index, result) in results.iter_mut().enumerate() {
        result["index"] = json!(index);
    }
    if let Some(malformed) = malformed {
        malform(&mut results, malformed);
    }
    let usage = json!({"prompt_tokens": results.len(), "total_tokens": results.len()});
    let answer = json!({key: results, "usage": usage});
    Ok(complete(StatusCode::OK, answer.to_string().into()))
}

/// One embedding for each input, without its index.
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

/// One score for each document, without its index.
fn scores(request: &Value) -> Vec<Value> {
    let documents = request["documents"].as_array().into_iter().flatten();
    documents
        .map(|document| json!({"relevance_score": score_of(text_of(document))}))
        .collect()
}

/// A text that stands alone or in a field `text`.
fn text_of(item: &Value) -> &str {
    item.as_str().or(item["text"].as_str()).unwrap_or("")
}

fn score_of(text: &str) -> f64 {
    let first_word = text.split(' ').next();
    first_word.and_then(|word| word.parse().ok()).unwrap_or(0.0)
}

fn malform(results: &mut Vec<Value>, malformed: MalformedAnswer) {
    match malformed {
        MalformedAnswer::MissingItem => {
            results.pop();
        }
        MalformedAnswer::DuplicateItem => results.push(results[0].clone()),
        MalformedAnswer::IndexOutOfRange => results[0]["index"] = json!(results.len()),
        MalformedAnswer::NotANumber => {
            results[0] = json!({"index": 0, "relevance_score": null, "embedding": [null]});
        }
        MalformedAnswer::NotJson => {}
    }
}

/// A stream of one word, with its usage where the request asks for it.
fn chat(
    request: &Value,
    malformed: Option<MalformedAnswer>,
    event_interval: Duration,
) -> FakeResponse {
    let mut events = vec![EVENT.to_owned()];
    if malformed != Some(MalformedAnswer::MissingItem) {
        events.push(FINISH.to_owned());
        if request["stream_options"]["include_usage"] == json!(true) {
            let usage = json!({"prompt_tokens": 3, "completion_tokens": 1, "total_tokens": 4});
            let event = json!({"choices": [], "usage": usage});
            events.push(format!("data: {event}\n\n"));
        }
        events.push(DONE.to_owned());
    }
    let events = events
        .into_iter()
        .map(|event| Ok(Bytes::from(event)))
        .collect();
    stream_events(event_interval, events)
}
