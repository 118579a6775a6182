//! Tests of decoding and encoding of chat requests.

use serde_json::{json, Value};

use super::*;

fn decode(body: Value) -> Result<ChatRequest, ApiError> {
    ChatRequest::decode(body.to_string().as_bytes(), &BodyLimits::default())
}

fn chat_body() -> Value {
    json!({"model": "m", "messages": [{"role": "user", "content": "12345678"}]})
}

#[test]
fn prompt_tokens_include_messages_tool_calls_and_tools() {
    let body = json!({"model": "m", "max_tokens": 5, "max_completion_tokens": 7, "user": "u",
        "messages": [{"role": "user", "content": "12345678"},
            {"role": "user", "content": [{"type": "text", "text": "1234"}, {"type": "image_url"}]},
            {"role": "assistant", "content": null, "tool_calls": [1]}],
        "tools": [{"type": "function", "function": {"name": "f"}}]});
    let tool = r#"{"type":"function","function":{"name":"f"}}"#.len() as u64;
    let chat = decode(body).unwrap();
    assert_eq!(chat.prompt_tokens, 2 + 1 + 1 + tool.div_ceil(4));
    assert_eq!(
        (chat.max_tokens, chat.user.as_deref(), chat.stream),
        (Some(7), Some("u"), false)
    );
}

#[test]
fn every_invalid_field_is_named_in_the_error() {
    for (field, value) in [
        ("model", json!(3)),
        ("messages", json!([])),
        ("messages", json!("x")),
        ("stream", json!("yes")),
        ("stream_options", json!({"include_usage": true})),
        ("stream_options", json!(1)),
        ("max_tokens", json!(0)),
        ("max_completion_tokens", json!(-1)),
        ("temperature", json!(2.1)),
        ("top_p", json!("high")),
        ("presence_penalty", json!(3)),
        ("frequency_penalty", json!(-3)),
        ("n", json!(0)),
        ("seed", json!(0.5)),
        ("stop", json!(["a", "b", "c", "d", "e"])),
        ("user", json!(1)),
        ("logprobs", json!(1)),
        ("top_logprobs", json!(21)),
        ("tools", json!({})),
        ("tool_choice", json!(1)),
        ("parallel_tool_calls", json!("x")),
        ("response_format", json!({"type": "xml"})),
    ] {
        let mut body = chat_body();
        body[field] = value.clone();
        let error = decode(body).expect_err(field);
        assert_eq!(error.param.as_deref(), Some(field), "{value}");
    }
    for (messages, param) in [
        (json!([{"role": "user"}]), "messages[0].content"),
        (
            json!([{"role": "user", "content": 1}]),
            "messages[0].content",
        ),
        (
            json!([{"role": "user", "content": [{"text": "x"}]}]),
            "messages[0].content",
        ),
        (
            json!([{"role": "boss", "content": "x"}]),
            "messages[0].role",
        ),
        (
            json!([{"role": "tool", "content": "x"}]),
            "messages[0].tool_call_id",
        ),
        (json!([{"role": "user", "content": "x"}, 1]), "messages[1]"),
    ] {
        let error = decode(json!({"model": "m", "messages": messages})).unwrap_err();
        assert_eq!(error.param.as_deref(), Some(param));
    }
    let error = decode(json!({"temperature": 9, "n": 0})).unwrap_err();
    for name in ["model", "messages", "temperature", "n must"] {
        assert!(error.message.contains(name), "{error}");
    }
}

#[test]
fn requests_to_endpoints_ask_for_a_stream_and_keep_unknown_fields() {
    let body = Bytes::from(
        r#"{"model":"alias","messages":[{"role":"user","content":"\u00e9"}],"x":{"y":[1]}}"#,
    );
    let chat = ChatRequest::decode(&body, &BodyLimits::default()).unwrap();
    let sent: Value = serde_json::from_slice(&chat.encode(&body, "own").unwrap()).unwrap();
    assert_eq!(
        (&sent["model"], &sent["stream"]),
        (&json!("own"), &json!(true))
    );
    assert_eq!(sent["stream_options"], json!({"include_usage": true}));
    assert_eq!(
        (&sent["x"], &sent["messages"][0]["content"]),
        (&json!({"y": [1]}), &json!("é"))
    );
    // The body is not changed if the client requested a stream and the model has the same name.
    let body =
        Bytes::from(r#"{ "model":"m","stream":true, "messages":[{"role":"user","content":"a"}]}"#);
    let chat = ChatRequest::decode(&body, &BodyLimits::default()).unwrap();
    assert_eq!(chat.encode(&body, "m").unwrap(), body);
}

#[test]
fn bodies_that_are_not_an_object_or_repeat_a_field_are_rejected() {
    for body in [
        "",
        "[]",
        "{",
        r#"{"model":"a","model":"b"}"#,
        "\u{0}",
        r#"{"a":1}x"#,
    ] {
        assert_eq!(
            ChatRequest::decode(body.as_bytes(), &BodyLimits::default())
                .unwrap_err()
                .code,
            "invalid_json"
        );
    }
}

/// Guards against a request that takes the router over its memory: each list is limited before its
/// items are decoded, however small they are.
#[test]
fn a_list_with_more_items_than_the_limit_is_rejected_in_each_place() {
    let limits = BodyLimits {
        items: 3,
        ..BodyLimits::default()
    };
    let part = json!({"type": "text", "text": "x"});
    let message = json!({"role": "user", "content": "x"});
    let tool = json!({"type": "function", "function": {"name": "f"}});
    let with_parts = |count: usize| json!([{"role": "user", "content": vec![&part; count]}]);
    for (field, allowed, excess, param) in [
        (
            "messages",
            with_parts(3),
            with_parts(4),
            "messages[0].content",
        ),
        (
            "messages",
            json!(vec![&message; 3]),
            json!(vec![&message; 4]),
            "messages",
        ),
        (
            "tools",
            json!(vec![&tool; 3]),
            json!(vec![&tool; 4]),
            "tools",
        ),
        (
            "stop",
            json!(["a", "b", "c", "d"]),
            json!(vec!["a"; 1_000]),
            "stop",
        ),
    ] {
        let decode_with = |value: &Value| {
            let mut body = chat_body();
            body[field] = value.clone();
            ChatRequest::decode(body.to_string().as_bytes(), &limits)
        };
        assert!(decode_with(&allowed).is_ok(), "{param}");
        let error = decode_with(&excess).expect_err(param);
        assert_eq!(error.param.as_deref(), Some(param));
    }
}

/// Guards against an error response of several megabytes for a body with many invalid messages.
#[test]
fn an_error_names_a_limited_number_of_fields_and_has_a_limited_length() {
    let mut body = chat_body();
    body["messages"] = json!(vec![json!({"role": "x"}); 5_000]);
    let error = decode(body).unwrap_err();
    assert!(error.message.len() < 4_096, "{} bytes", error.message.len());
    assert!(error.message.ends_with("and 9984 more") || error.message.ends_with("..."));
}
