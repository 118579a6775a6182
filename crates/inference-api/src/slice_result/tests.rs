//! Tests of decoding the responses to slices.

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

#[test]
fn missing_duplicate_unknown_and_invalid_items_are_detected() {
    let rerank = batch(
        BatchForm::RerankV1,
        json!({"model": "m", "query": "q", "documents": ["a", "b"]}),
    );
    let error_of = |text: &str| SliceResult::decode(&rerank, 2, text.as_bytes()).unwrap_err();
    let error_of_results = |items: &str| error_of(&format!(r#"{{"results":[{items}]}}"#));
    let (a, b) = (
        r#"{"index":0,"relevance_score":1}"#,
        r#"{"index":1,"relevance_score":1}"#,
    );
    assert_eq!(error_of_results(a), ResultError::MissingItem);
    assert_eq!(
        error_of_results(&format!("{a},{a},{b}")),
        ResultError::DuplicateItem
    );
    assert_eq!(
        error_of_results(&format!(r#"{a},{b},{{"index":2,"relevance_score":1}}"#)),
        ResultError::UnknownItem
    );
    for invalid in [
        r#"{"index":1,"relevance_score":NaN}"#,
        r#"{"index":1,"relevance_score":null}"#,
        r#"{"index":1,"relevance_score":1e999}"#,
        r#"{"index":-1,"relevance_score":1}"#,
        r#"{"index":1}"#,
    ] {
        assert_eq!(
            error_of_results(&format!("{a},{invalid}")),
            ResultError::Malformed,
            "{invalid}"
        );
    }
    for text in ["", "{}", "[]", "1", r#"{"results":1}"#] {
        assert_eq!(error_of(text), ResultError::Malformed);
    }
    let body = json!({"model": "m", "input": ["a", "b"], "dimensions": 2});
    let vectors = batch(BatchForm::Embeddings, body);
    let error_of = |first: Value, second: Value| {
        let data = json!([{"index": 0, "embedding": first}, {"index": 1, "embedding": second}]);
        slice_result(&vectors, 2, json!({"data": data})).err()
    };
    let valid_vector = json!([0.5, 1.0]);
    assert_eq!(error_of(valid_vector.clone(), valid_vector.clone()), None);
    for invalid in [
        json!([0.5]),
        json!([0.5, null]),
        json!([]),
        json!("x"),
        json!("AAAA"),
        json!([1e39, 0.1]),
        json!("AADAfwAAAAA="),
    ] {
        assert_eq!(
            error_of(valid_vector.clone(), invalid.clone()),
            Some(ResultError::InvalidValue),
            "{invalid}"
        );
    }
}
