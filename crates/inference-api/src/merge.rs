//! Merges the results of a batch's slices into a single response to the client.

use std::ops::Range;

use bytes::Bytes;

use crate::batch::{BatchForm, BatchRequest};
use crate::fields::json_string;
use crate::slice_result::{ItemResult, ResultError, SliceResult};

/// Results of all items of a batch.
struct MergedResults {
    items: Vec<ItemResult>,
    prompt_tokens: u64,
    total_tokens: u64,
}

/// Score of a reranked item.
struct ItemScore {
    index: usize,
    score: f64,
}

/// Merges the results of slices into the body of the response. The slices must be in order and
/// cover the whole batch.
pub fn merge_results(
    batch: &BatchRequest,
    request_id: &str,
    slices: Vec<(Range<usize>, SliceResult)>,
) -> Result<Bytes, ResultError> {
    let merged = MergedResults::new(batch, slices)?;
    match batch.form {
        BatchForm::Embeddings => merged.into_embeddings(batch),
        BatchForm::RerankV1 | BatchForm::RerankV2 => merged.into_rerank(batch, request_id),
    }
}

impl MergedResults {
    fn new(
        batch: &BatchRequest,
        slices: Vec<(Range<usize>, SliceResult)>,
    ) -> Result<MergedResults, ResultError> {
        let mut merged = MergedResults {
            items: Vec::with_capacity(batch.len()),
            prompt_tokens: 0,
            total_tokens: 0,
        };
        let mut dimensions = None;
        for (range, slice) in slices {
            if range.start != merged.items.len() || slice.items.len() != range.len() {
                return Err(ResultError::MissingItem);
            }
            if let Some(length) = slice.dimensions {
                if *dimensions.get_or_insert(length) != length {
                    return Err(ResultError::InvalidValue);
                }
            }
            merged.prompt_tokens += slice.prompt_tokens;
            merged.total_tokens += slice.total_tokens;
            merged.items.extend(slice.items);
        }
        if merged.items.len() != batch.len() {
            return Err(ResultError::MissingItem);
        }
        Ok(merged)
    }

    fn usage(&self) -> String {
        format!(
            r#"{{"prompt_tokens":{},"total_tokens":{}}}"#,
            self.prompt_tokens, self.total_tokens
        )
    }

    fn into_embeddings(self, batch: &BatchRequest) -> Result<Bytes, ResultError> {
        let usage = self.usage();
        let model = json_string(&batch.model);
        let mut data = Vec::with_capacity(self.items.len());
        for (index, item) in self.items.into_iter().enumerate() {
            let ItemResult::Vector(vector) = item else {
                return Err(ResultError::InvalidValue);
            };
            data.push(format!(
                r#"{{"object":"embedding","index":{index},"embedding":{vector}}}"#
            ));
        }
        let data = data.join(",");
        let response =
            format!(r#"{{"object":"list","data":[{data}],"model":{model},"usage":{usage}}}"#);
        Ok(response.into())
    }

    fn into_rerank(self, batch: &BatchRequest, request_id: &str) -> Result<Bytes, ResultError> {
        let usage = self.usage();
        let total = self.total_tokens;
        let id = json_string(request_id);
        let model = json_string(&batch.model);
        let scores = best_scores(self.items, batch.top_n)?;
        let results: Vec<String> = scores.iter().map(|s| rerank_item(batch, s)).collect();
        let results = results.join(",");
        let response = if batch.form == BatchForm::RerankV2 {
            let meta = format!(
                r#"{{"api_version":{{"version":"2"}},"tokens":{{"input_tokens":{total}}}}}"#
            );
            format!(r#"{{"id":{id},"results":[{results}],"meta":{meta}}}"#)
        } else {
            format!(r#"{{"id":{id},"model":{model},"results":[{results}],"usage":{usage}}}"#)
        };
        Ok(response.into())
    }
}

/// Returns at most `top_n` scores, the highest first. Equal scores stay in the order of the items.
fn best_scores(
    items: Vec<ItemResult>,
    top_n: Option<usize>,
) -> Result<Vec<ItemScore>, ResultError> {
    let mut scores = Vec::with_capacity(items.len());
    for (index, item) in items.into_iter().enumerate() {
        let ItemResult::Score(score) = item else {
            return Err(ResultError::InvalidValue);
        };
        scores.push(ItemScore { index, score });
    }
    scores.sort_by(|a, b| b.score.total_cmp(&a.score));
    scores.truncate(top_n.unwrap_or(usize::MAX));
    Ok(scores)
}

fn rerank_item(batch: &BatchRequest, item: &ItemScore) -> String {
    let index = item.index;
    let score = serde_json::to_string(&item.score).unwrap_or_default();
    let document = if batch.return_documents {
        returned_document(batch.item(index))
    } else {
        String::new()
    };
    format!(r#"{{"index":{index},"relevance_score":{score}{document}}}"#)
}

/// Encodes the `document` field of a result. An object is returned unchanged, and a string becomes
/// the `text` of an object.
fn returned_document(item: &str) -> String {
    if item.starts_with('{') {
        format!(r#","document":{item}"#)
    } else {
        format!(r#","document":{{"text":{item}}}"#)
    }
}

#[cfg(test)]
mod tests;
