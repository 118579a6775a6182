//! Decodes and checks the response of an endpoint to a slice of a batch.

use std::borrow::Cow;

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::batch::{BatchForm, BatchRequest, VectorEncoding, MAX_DIMENSIONS};
use crate::bounded_list::visit_items;

/// Reason why an endpoint's response to a slice cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ResultError {
    /// The response is not JSON of the expected form.
    #[error("the server's answer is not as the interface has it")]
    Malformed,
    /// An item of the slice has no result.
    #[error("the server's answer leaves an item out")]
    MissingItem,
    /// An item of the slice has two results.
    #[error("the server's answer has an item twice")]
    DuplicateItem,
    /// A result has an index that is outside of the slice.
    #[error("the server's answer has a result of no item")]
    UnknownItem,
    /// A vector or score is invalid, or a vector has a different length from the others or from the
    /// requested length.
    #[error("the server's answer has a value that is no number, or a vector of a wrong length")]
    InvalidValue,
}

/// Checked results of the items of a slice.
#[derive(Debug, Clone, PartialEq)]
pub struct SliceResult {
    pub(crate) items: Vec<ItemResult>,
    /// Length of the vectors, or `None` for rerank.
    pub(crate) dimensions: Option<usize>,
    pub(crate) prompt_tokens: u64,
    pub(crate) total_tokens: u64,
}

/// Result of an item.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ItemResult {
    /// An embedding vector as JSON, in the encoding that the client requested.
    Vector(String),
    /// The relevance score of a document.
    Score(f64),
}

#[derive(Deserialize)]
struct EndpointResponse<'a> {
    #[serde(borrow)]
    data: Option<Vec<EmbeddingItem<'a>>>,
    results: Option<Vec<RerankItem>>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct EmbeddingItem<'a> {
    index: u64,
    #[serde(borrow)]
    embedding: &'a RawValue,
}

#[derive(Deserialize)]
struct RerankItem {
    index: u64,
    relevance_score: f64,
}

#[derive(Deserialize, Default)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    total_tokens: u64,
}

impl SliceResult {
    /// Decodes an endpoint's response to a slice of `item_count` items.
    pub fn decode(
        batch: &BatchRequest,
        item_count: usize,
        body: &[u8],
    ) -> Result<SliceResult, ResultError> {
        let response: EndpointResponse =
            serde_json::from_slice(body).map_err(|_| ResultError::Malformed)?;
        let mut item_results = ItemResults::new(item_count);
        let mut dimensions = None;
        if batch.form == BatchForm::Embeddings {
            let data = response.data.ok_or(ResultError::Malformed)?;
            dimensions = decode_vectors(batch, data, &mut item_results)?;
        } else {
            for item in response.results.ok_or(ResultError::Malformed)? {
                item_results.set(item.index, ItemResult::Score(item.relevance_score))?;
            }
        }
        let items = item_results.into_items()?;
        let usage = response.usage.unwrap_or_default();
        let total_tokens = usage.total_tokens.max(usage.prompt_tokens);
        let prompt_tokens = if usage.prompt_tokens == 0 {
            total_tokens
        } else {
            usage.prompt_tokens
        };
        Ok(SliceResult {
            items,
            dimensions,
            prompt_tokens,
            total_tokens,
        })
    }

    /// Returns the approximate memory usage in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.items.iter().map(ItemResult::memory_bytes).sum()
    }
}

impl ItemResult {
    fn memory_bytes(&self) -> usize {
        match self {
            ItemResult::Vector(text) => text.capacity() + size_of::<ItemResult>(),
            ItemResult::Score(_) => size_of::<ItemResult>(),
        }
    }
}

/// Results of the items of a slice, in the order of the items. Missing results are `None`.
struct ItemResults(Vec<Option<ItemResult>>);

impl ItemResults {
    fn new(item_count: usize) -> ItemResults {
        ItemResults(vec![None; item_count])
    }

    fn set(&mut self, index: u64, item: ItemResult) -> Result<(), ResultError> {
        let index = usize::try_from(index).map_err(|_| ResultError::UnknownItem)?;
        let entry = self.0.get_mut(index).ok_or(ResultError::UnknownItem)?;
        if entry.replace(item).is_some() {
            return Err(ResultError::DuplicateItem);
        }
        Ok(())
    }

    fn into_items(self) -> Result<Vec<ItemResult>, ResultError> {
        let items: Option<Vec<ItemResult>> = self.0.into_iter().collect();
        items.ok_or(ResultError::MissingItem)
    }
}

/// Decodes the vectors of a slice into `item_results`, and returns their length.
fn decode_vectors(
    batch: &BatchRequest,
    data: Vec<EmbeddingItem>,
    item_results: &mut ItemResults,
) -> Result<Option<usize>, ResultError> {
    let mut dimensions = None;
    for item in data {
        let vector = Vector::decode(item.embedding, batch.encoding)?;
        if *dimensions.get_or_insert(vector.length) != vector.length {
            return Err(ResultError::InvalidValue);
        }
        item_results.set(item.index, ItemResult::Vector(vector.encoded))?;
    }
    let requested = batch.dimensions.and_then(|d| usize::try_from(d).ok());
    match (requested, dimensions) {
        (Some(requested), Some(length)) if requested != length => Err(ResultError::InvalidValue),
        _ => Ok(dimensions),
    }
}

/// A vector in the encoding that the client requested, whichever encoding the endpoint used.
struct Vector {
    encoded: String,
    length: usize,
}

impl Vector {
    fn decode(raw: &RawValue, requested: VectorEncoding) -> Result<Vector, ResultError> {
        let text = raw.get();
        let (numbers, encoding) = if text.starts_with('"') {
            (decode_base64(text)?, VectorEncoding::Base64)
        } else {
            (decode_numbers(raw)?, VectorEncoding::Float)
        };
        if numbers.is_empty() || !numbers.iter().all(|n| n.is_finite()) {
            return Err(ResultError::InvalidValue);
        }
        let encoded = if encoding == requested {
            text.to_owned()
        } else {
            encode_vector(&numbers, requested)?
        };
        Ok(Vector {
            encoded,
            length: numbers.len(),
        })
    }
}

/// Decodes a list of numbers, which is as long as a vector may be at most.
fn decode_numbers(raw: &RawValue) -> Result<Vec<f32>, ResultError> {
    let mut numbers = Vec::new();
    match visit_items(raw, MAX_DIMENSIONS, |number| numbers.push(number)) {
        Ok(length) if !length.is_exceeded() => Ok(numbers),
        Ok(_) | Err(_) => Err(ResultError::InvalidValue),
    }
}

fn decode_base64(text: &str) -> Result<Vec<f32>, ResultError> {
    let encoded: Cow<str> = serde_json::from_str(text).map_err(|_| ResultError::InvalidValue)?;
    let bytes = BASE64_STANDARD
        .decode(encoded.as_bytes())
        .map_err(|_| ResultError::InvalidValue)?;
    let (numbers, remainder) = bytes.as_chunks::<4>();
    if !remainder.is_empty() {
        return Err(ResultError::InvalidValue);
    }
    Ok(numbers.iter().map(|n| f32::from_le_bytes(*n)).collect())
}

fn encode_vector(numbers: &[f32], encoding: VectorEncoding) -> Result<String, ResultError> {
    match encoding {
        VectorEncoding::Float => {
            serde_json::to_string(numbers).map_err(|_| ResultError::InvalidValue)
        }
        VectorEncoding::Base64 => {
            let bytes: Vec<u8> = numbers.iter().flat_map(|n| n.to_le_bytes()).collect();
            Ok(format!("\"{}\"", BASE64_STANDARD.encode(bytes)))
        }
    }
}

#[cfg(test)]
mod tests;
