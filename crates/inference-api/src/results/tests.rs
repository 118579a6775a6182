//! Tests of slice results and their merging.

use serde_json::{json, Value};

use super::*;
use crate::scan::Bounds;

fn batch(form: Form, body: Value) -> Batch {
    Batch::decode(form, body.to_string().into(), &Bounds::default()).unwrap()
}

fn part(batch: &Batch, items: usize, answer: Value) -> Result<Part, BadAnswer> {
    Part::decode(batch, items, answer.to_string().as_bytes())
}

fn value(joined: Result<Bytes, BadAnswer>) -> Value {
    serde_json::from_slice(&joined.unwrap()).unwrap()
}

fn scores(list: &[(usize, f64)]) -> Value {
    let one = |(index, score): &(usize, f64)| json!({"index": index, "relevance_score": score});
    json!({"results": list.iter().map(one).collect::<Vec<_>>(), "usage": {"total_tokens": 5}})
}

#[test]
fn a_reranks_parts_join_in_the_clients_numbering() {
    let documents = json!(["a", {"text": "b"}, "c", "d"]);
    let asked = json!({"model": "m", "query": "q", "documents": documents, "top_n": 3, "return_documents": true});
    let v1 = batch(Form::RerankV1, asked);
    let parts = vec![
        (0..2, part(&v1, 2, scores(&[(1, 0.5), (0, 0.1)])).unwrap()),
        (2..4, part(&v1, 2, scores(&[(0, 0.9), (1, 0.5)])).unwrap()),
    ];
    let joined = value(join(&v1, "r1", parts.clone()));
    let result =
        |i: usize, s: f64, d: Value| json!({"index": i, "relevance_score": s, "document": d});
    let results = [
        result(2, 0.9, json!({"text": "c"})),
        result(1, 0.5, json!({"text": "b"})),
        result(3, 0.5, json!({"text": "d"})),
    ];
    let usage = json!({"prompt_tokens": 10, "total_tokens": 10});
    assert_eq!(
        joined,
        json!({"id": "r1", "model": "m", "results": results, "usage": usage})
    );
    let v2 = batch(
        Form::RerankV2,
        json!({"model": "m", "query": "q", "documents": ["a", "b", "c", "d"]}),
    );
    let joined = value(join(&v2, "r2", parts.clone()));
    assert_eq!(joined["meta"]["tokens"]["input_tokens"], json!(10));
    assert_eq!(joined["results"].as_array().unwrap().len(), 4);
    // Parts that do not cover the batch make no answer.
    assert_eq!(join(&v1, "r", parts[..1].to_vec()), Err(BadAnswer::Missing));
    assert_eq!(join(&v1, "r", parts[1..].to_vec()), Err(BadAnswer::Missing));
}

#[test]
fn missing_doubled_odd_and_out_of_range_items_are_told() {
    let rerank = batch(
        Form::RerankV1,
        json!({"model": "m", "query": "q", "documents": ["a", "b"]}),
    );
    let of = |text: &str| Part::decode(&rerank, 2, text.as_bytes()).unwrap_err();
    let list = |items: &str| of(&format!(r#"{{"results":[{items}]}}"#));
    let (a, b) = (
        r#"{"index":0,"relevance_score":1}"#,
        r#"{"index":1,"relevance_score":1}"#,
    );
    assert_eq!(list(a), BadAnswer::Missing);
    assert_eq!(list(&format!("{a},{a},{b}")), BadAnswer::Doubled);
    assert_eq!(
        list(&format!(r#"{a},{b},{{"index":2,"relevance_score":1}}"#)),
        BadAnswer::OutOfRange
    );
    for odd in [
        r#"{"index":1,"relevance_score":NaN}"#,
        r#"{"index":1,"relevance_score":null}"#,
        r#"{"index":1,"relevance_score":1e999}"#,
        r#"{"index":-1,"relevance_score":1}"#,
        r#"{"index":1}"#,
    ] {
        assert_eq!(list(&format!("{a},{odd}")), BadAnswer::Unreadable, "{odd}");
    }
    for text in ["", "{}", "[]", "1", r#"{"results":1}"#] {
        assert_eq!(of(text), BadAnswer::Unreadable);
    }
    let asked = json!({"model": "m", "input": ["a", "b"], "dimensions": 2});
    let vectors = batch(Form::Embeddings, asked);
    let of = |first: Value, second: Value| {
        let data = json!([{"index": 0, "embedding": first}, {"index": 1, "embedding": second}]);
        part(&vectors, 2, json!({"data": data})).err()
    };
    let good = json!([0.5, 1.0]);
    assert_eq!(of(good.clone(), good.clone()), None);
    for odd in [
        json!([0.5]),
        json!([0.5, null]),
        json!([]),
        json!("x"),
        json!("AAAA"),
        json!([1e39, 0.1]),
        json!("AADAfwAAAAA="),
    ] {
        assert_eq!(
            of(good.clone(), odd.clone()),
            Some(BadAnswer::NotAValue),
            "{odd}"
        );
    }
}

#[test]
fn vectors_come_in_the_form_that_is_wanted_whichever_the_server_gave() {
    let coded = BASE64_STANDARD.encode([0.5_f32, -2.0].map(f32::to_le_bytes).concat());
    for (format, wanted) in [("float", json!([0.5, -2.0])), ("base64", json!(coded))] {
        let body = json!({"model": "m", "input": ["a", "b"], "encoding_format": format});
        let batch = batch(Form::Embeddings, body);
        for given in [json!([0.5, -2.0]), json!(coded)] {
            let item = |index: usize| json!({"index": index, "embedding": given});
            let answer = json!({"data": [item(1), item(0)], "usage": {"prompt_tokens": 2, "total_tokens": 2}});
            let part = part(&batch, 2, answer).unwrap();
            let joined = value(join(&batch, "e", vec![(0..2, part)]));
            assert_eq!(joined["data"][1]["embedding"], wanted);
            assert_eq!(
                joined["usage"],
                json!({"prompt_tokens": 2, "total_tokens": 2})
            );
        }
    }
}
