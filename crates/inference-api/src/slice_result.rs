//! An endpoint's response to a slice of a batch, checked item by item.

use std::borrow::Cow;

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::batch::{Batch, BatchForm, VectorEncoding};

/// Why an endpoint's response to a slice cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ResultError {
    /// It is not the JSON of the API.
    #[error("the server's answer is not as the interface has it")]
    Malformed,
    /// An item of the slice has no result.
    #[error("the server's answer leaves an item out")]
    MissingItem,
    /// An item has two results.
    #[error("the server's answer has an item twice")]
    DuplicateItem,
    /// A result belongs to no item of the slice.
    #[error("the server's answer has a result of no item")]
    UnknownItem,
    /// A vector or score is invalid, or a vector has another length than the others.
    #[error("the server's answer has a value that is no number, or a vector of a wrong length")]
    InvalidValue,
}

/// The checked result of one slice.
#[derive(Debug, Clone, PartialEq)]
pub struct SliceResult {
    pub(crate) items: Vec<ItemResult>,
    /// The length of its vectors.
    pub(crate) dimensions: Option<usize>,
    pub(crate) prompt_tokens: u64,
    pub(crate) total_tokens: u64,
}

/// The result of one item.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ItemResult {
    /// A vector, encoded as the client wants it.
    Vector(String),
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
        batch: &Batch,
        item_count: usize,
        body: &[u8],
    ) -> Result<SliceResult, ResultError> {
        let response: EndpointResponse =
            serde_json::from_slice(body).map_err(|_| ResultError::Malformed)?;
        let mut slots = ItemSlots::new(item_count);
        let mut dimensions = None;
        if batch.form == BatchForm::Embeddings {
            let data = response.data.ok_or(ResultError::Malformed)?;
            dimensions = decode_vectors(batch, data, &mut slots)?;
        } else {
            for item in response.results.ok_or(ResultError::Malformed)? {
                slots.set(item.index, ItemResult::Score(item.relevance_score))?;
            }
        }
        let items = slots.into_items()?;
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

    /// The memory that it holds, approximately.
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

/// One slot for each item of a slice.
struct ItemSlots(Vec<Option<ItemResult>>);

impl ItemSlots {
    fn new(item_count: usize) -> ItemSlots {
        ItemSlots(vec![None; item_count])
    }

    fn set(&mut self, index: u64, item: ItemResult) -> Result<(), ResultError> {
        let index = usize::try_from(index).map_err(|_| ResultError::UnknownItem)?;
        let slot = self.0.get_mut(index).ok_or(ResultError::UnknownItem)?;
        if slot.replace(item).is_some() {
            return Err(ResultError::DuplicateItem);
        }
        Ok(())
    }

    fn into_items(self) -> Result<Vec<ItemResult>, ResultError> {
        let items: Option<Vec<ItemResult>> = self.0.into_iter().collect();
        items.ok_or(ResultError::MissingItem)
    }
}

/// Decodes the vectors of a slice, and returns their length.
fn decode_vectors(
    batch: &Batch,
    data: Vec<EmbeddingItem>,
    slots: &mut ItemSlots,
) -> Result<Option<usize>, ResultError> {
    let mut dimensions = None;
    for item in data {
        let vector = Vector::decode(item.embedding, batch.encoding)?;
        if *dimensions.get_or_insert(vector.length) != vector.length {
            return Err(ResultError::InvalidValue);
        }
        slots.set(item.index, ItemResult::Vector(vector.encoded))?;
    }
    let wanted = batch.dimensions.and_then(|d| usize::try_from(d).ok());
    match (wanted, dimensions) {
        (Some(wanted), Some(length)) if wanted != length => Err(ResultError::InvalidValue),
        _ => Ok(dimensions),
    }
}

/// A vector in the encoding that the client wants, whichever the endpoint used.
struct Vector {
    encoded: String,
    length: usize,
}

impl Vector {
    fn decode(raw: &RawValue, wanted: VectorEncoding) -> Result<Vector, ResultError> {
        let text = raw.get();
        let (numbers, encoding) = if text.starts_with('"') {
            (decode_base64(text)?, VectorEncoding::Base64)
        } else {
            let numbers = serde_json::from_str(text).map_err(|_| ResultError::InvalidValue)?;
            (numbers, VectorEncoding::Float)
        };
        if numbers.is_empty() || !numbers.iter().all(|n| n.is_finite()) {
            return Err(ResultError::InvalidValue);
        }
        let encoded = if encoding == wanted {
            text.to_owned()
        } else {
            encode_vector(&numbers, wanted)?
        };
        Ok(Vector {
            encoded,
            length: numbers.len(),
        })
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
