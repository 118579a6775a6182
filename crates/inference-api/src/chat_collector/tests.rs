//! Tests of splitting and collecting chat streams.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

fn event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

fn delta(index: usize, delta: &Value, finish: Value) -> Value {
    json!({"id": "c1", "object": "chat.completion.chunk", "created": 7, "model": "served",
        "choices": [{"index": index, "delta": delta, "finish_reason": finish}]})
}

fn stream() -> String {
    let call = |part: Value| json!({"tool_calls": [part]});
    let function = json!({"name": "f", "arguments": "{\"a\""});
    let call_begin = json!({"index": 0, "id": "t1", "type": "function", "function": function});
    let mut text = String::from(": hello\r\n\r\n");
    for chunk in [
        delta(
            0,
            &json!({"role": "assistant", "content": "gas"}),
            Value::Null,
        ),
        delta(1, &call(call_begin), Value::Null),
        delta(0, &json!({"content": "ket"}), json!("stop")),
        delta(
            1,
            &call(json!({"index": 0, "function": {"arguments": ":1}"}})),
            json!("tool_calls"),
        ),
        json!({"choices": [], "usage": {"total_tokens": 9}}),
    ] {
        text.push_str(&event(&chunk));
    }
    text + "data: [DONE]\n\n: X-Load: TEXT x0=0.25\n\n"
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]
    #[test]
    fn events_are_split_and_collected_completely_for_any_chunk_lengths(
        chunk_lengths in proptest::collection::vec(1..40_usize, 1..60),
    ) {
        let text = stream();
        let mut events = EventSplitter::default();
        let mut collector = ChatCollector::default();
        let mut output = Vec::new();
        let mut unread = text.as_bytes();
        let mut chunk_lengths = chunk_lengths.into_iter().cycle();
        while !unread.is_empty() {
            let length = chunk_lengths.next().unwrap_or(1).min(unread.len());
            let (chunk, remaining) = unread.split_at(length);
            if let Some(complete) = events.push(chunk).unwrap() {
                prop_assert!(complete.ends_with(b"\n\n") || complete.ends_with(b"\r\n\r\n"));
                output.extend_from_slice(&complete);
            }
            collector.push(chunk).unwrap();
            unread = remaining;
        }
        prop_assert_eq!(output, text.as_bytes());
        prop_assert!(events.is_done());
        let response = collector.finish("r", "m").unwrap();
        let response: Value = serde_json::from_slice(&response).unwrap();
        let message = json!({"role": "assistant", "content": "gasket"});
        prop_assert_eq!(&response["choices"][0]["message"], &message);
        let function = json!({"name": "f", "arguments": "{\"a\":1}"});
        let calls = json!([{"id": "t1", "type": "function", "function": function}]);
        prop_assert_eq!(&response["choices"][1]["message"]["tool_calls"], &calls);
        prop_assert_eq!(&response["choices"][1]["finish_reason"], &json!("tool_calls"));
        prop_assert_eq!(
            (&response["usage"]["total_tokens"], &response["model"]),
            (&json!(9), &json!("m"))
        );
        prop_assert_eq!(&response["object"], &json!("chat.completion"));
    }
}

#[test]
fn incomplete_and_failed_streams_yield_no_response() {
    let collector = |text: &str| {
        let mut collector = ChatCollector::default();
        collector
            .push(text.as_bytes())
            .map(|()| collector.finish("r", "m").is_some())
    };
    assert_eq!(
        collector(&event(&delta(0, &json!({"content": "a"}), Value::Null))),
        Ok(false)
    );
    assert_eq!(
        collector(&event(&delta(0, &json!({"content": "a"}), json!("stop")))),
        Ok(true)
    );
    assert_eq!(collector(""), Ok(false));
    let text = event(&delta(0, &json!({"content": "a"}), json!("stop")));
    assert_eq!(
        collector(&format!(
            "{text}data: {{\"error\": {{}}}}\n\ndata: [DONE]\n\n"
        )),
        Ok(false)
    );
    assert_eq!(collector("data: {\n\n"), Err(InvalidEventStream));
    assert_eq!(
        collector(&event(&delta(4_000_000, &json!({}), Value::Null))),
        Err(InvalidEventStream)
    );
}
