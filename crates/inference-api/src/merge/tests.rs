//! Tests of merging the results of slices.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};

use super::*;
use crate::body_limits::BodyLimits;

fn batch(form: BatchForm, body: Value) -> BatchRequest {
    BatchRequest::decode(form, body.to_string().into(), &BodyLimits::default()).unwrap()
}

fn slice_result(
    batch: &BatchRequest,
    items: usize,
    response: Value,
) -> Result<SliceResult, ResultError> {
    SliceResult::decode(batch, items, response.to_string().as_bytes())
}

fn value(merged: Result<Bytes, ResultError>) -> Value {
    serde_json::from_slice(&merged.unwrap()).unwrap()
}

fn scores(list: &[(usize, f64)]) -> Value {
    let score_object =
        |(index, score): &(usize, f64)| json!({"index": index, "relevance_score": score});
    json!({"results": list.iter().map(score_object).collect::<Vec<_>>(), "usage": {"total_tokens": 5}})
}

#[test]
fn merged_rerank_results_have_the_indices_of_the_whole_batch() {
    let documents = json!(["a", {"text": "b"}, "c", "d"]);
    let body = json!({
        "model": "m",
        "query": "q",
        "documents": documents,
        "top_n": 3,
        "return_documents": true,
    });
    let v1 = batch(BatchForm::RerankV1, body);
    let slices = vec![
        (
            0..2,
            slice_result(&v1, 2, scores(&[(1, 0.5), (0, 0.1)])).unwrap(),
        ),
        (
            2..4,
            slice_result(&v1, 2, scores(&[(0, 0.9), (1, 0.5)])).unwrap(),
        ),
    ];
    let merged = value(merge_results(&v1, "r1", slices.clone()));
    let result =
        |i: usize, s: f64, d: Value| json!({"index": i, "relevance_score": s, "document": d});
    let results = [
        result(2, 0.9, json!({"text": "c"})),
        result(1, 0.5, json!({"text": "b"})),
        result(3, 0.5, json!({"text": "d"})),
    ];
    let usage = json!({"prompt_tokens": 10, "total_tokens": 10});
    assert_eq!(
        merged,
        json!({"id": "r1", "model": "m", "results": results, "usage": usage})
    );
    let v2 = batch(
        BatchForm::RerankV2,
        json!({"model": "m", "query": "q", "documents": ["a", "b", "c", "d"]}),
    );
    let merged = value(merge_results(&v2, "r2", slices.clone()));
    assert_eq!(merged["meta"]["tokens"]["input_tokens"], json!(10));
    assert_eq!(merged["results"].as_array().unwrap().len(), 4);
    // Slices that do not cover the batch are not merged.
    assert_eq!(
        merge_results(&v1, "r", slices[..1].to_vec()),
        Err(ResultError::MissingItem)
    );
    assert_eq!(
        merge_results(&v1, "r", slices[1..].to_vec()),
        Err(ResultError::MissingItem)
    );
}

#[test]
fn vectors_are_returned_in_the_requested_encoding_whichever_the_endpoint_used() {
    let base64 = BASE64_STANDARD.encode([0.5_f32, -2.0].map(f32::to_le_bytes).concat());
    for (format, expected) in [("float", json!([0.5, -2.0])), ("base64", json!(base64))] {
        let body = json!({"model": "m", "input": ["a", "b"], "encoding_format": format});
        let batch = batch(BatchForm::Embeddings, body);
        for from_endpoint in [json!([0.5, -2.0]), json!(base64)] {
            let item = |index: usize| json!({"index": index, "embedding": from_endpoint});
            let usage = json!({"prompt_tokens": 2, "total_tokens": 2});
            let response = json!({"data": [item(1), item(0)], "usage": usage});
            let result = slice_result(&batch, 2, response).unwrap();
            let merged = value(merge_results(&batch, "e", vec![(0..2, result)]));
            assert_eq!(merged["data"][1]["embedding"], expected);
            assert_eq!(
                merged["usage"],
                json!({"prompt_tokens": 2, "total_tokens": 2})
            );
        }
    }
}
