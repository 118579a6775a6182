//! What servers answer to the slices of a batch, checked item by item, and the one answer that is made of it.

use std::borrow::Cow;
use std::ops::Range;

use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::batch::{Batch, Encoding, Form};

/// Why a server's answer to a slice is of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BadAnswer {
    /// Not the API's JSON.
    #[error("the server's answer is not as the interface has it")]
    Unreadable,
    /// An item of the slice has no result.
    #[error("the server's answer leaves an item out")]
    Missing,
    /// An item has two results.
    #[error("the server's answer has an item twice")]
    Doubled,
    /// A result is of no item of the slice.
    #[error("the server's answer has a result of no item")]
    OutOfRange,
    /// A vector or score is none, or of another length than the others.
    #[error("the server's answer has a value that is no number, or a vector of a wrong length")]
    NotAValue,
}

/// The checked answer to one slice.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    items: Vec<Item>,
    /// Length of its vectors.
    dimensions: Option<usize>,
    prompt_tokens: u64,
    total_tokens: u64,
}

#[derive(Debug, Clone, PartialEq)]
enum Item {
    /// A vector, as it stands in the answer to the client.
    Vector(String),
    Score(f64),
}

#[derive(Deserialize)]
struct Answer<'a> {
    #[serde(borrow)]
    data: Option<Vec<Vector<'a>>>,
    results: Option<Vec<Scored>>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Vector<'a> {
    index: u64,
    #[serde(borrow)]
    embedding: &'a RawValue,
}

#[derive(Deserialize)]
struct Scored {
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

impl Part {
    /// Reads a server's answer to a slice of so many items.
    pub fn decode(batch: &Batch, items: usize, body: &[u8]) -> Result<Part, BadAnswer> {
        let answer: Answer = serde_json::from_slice(body).map_err(|_| BadAnswer::Unreadable)?;
        let mut slots: Vec<Option<Item>> = vec![None; items];
        let mut put = |index: u64, item: Item| {
            let slot = usize::try_from(index).ok().and_then(|at| slots.get_mut(at));
            match slot.ok_or(BadAnswer::OutOfRange)?.replace(item) {
                None => Ok(()),
                Some(_) => Err(BadAnswer::Doubled),
            }
        };
        let mut dimensions = None;
        if batch.form == Form::Embeddings {
            for Vector { index, embedding } in answer.data.ok_or(BadAnswer::Unreadable)? {
                let (vector, length) = vector(embedding, batch.encoding)?;
                if *dimensions.get_or_insert(length) != length {
                    return Err(BadAnswer::NotAValue);
                }
                put(index, Item::Vector(vector))?;
            }
            let wanted = batch.dimensions.and_then(|d| usize::try_from(d).ok());
            if wanted.is_some_and(|wanted| dimensions.is_some_and(|d| d != wanted)) {
                return Err(BadAnswer::NotAValue);
            }
        } else {
            for Scored {
                index,
                relevance_score,
            } in answer.results.ok_or(BadAnswer::Unreadable)?
            {
                put(index, Item::Score(relevance_score))?;
            }
        }
        let items = slots
            .into_iter()
            .collect::<Option<Vec<Item>>>()
            .ok_or(BadAnswer::Missing)?;
        let usage = answer.usage.unwrap_or_default();
        let total_tokens = usage.total_tokens.max(usage.prompt_tokens);
        let prompt_tokens = if usage.prompt_tokens == 0 {
            total_tokens
        } else {
            usage.prompt_tokens
        };
        Ok(Part {
            items,
            dimensions,
            prompt_tokens,
            total_tokens,
        })
    }

    /// Bytes that it holds, about.
    pub fn held(&self) -> usize {
        let one = |item: &Item| match item {
            Item::Vector(text) => text.capacity() + size_of::<Item>(),
            Item::Score(_) => size_of::<Item>(),
        };
        self.items.iter().map(one).sum()
    }
}

/// A vector in the form that the client wants, whichever the server gave, and its length.
fn vector(raw: &RawValue, wanted: Encoding) -> Result<(String, usize), BadAnswer> {
    let text = raw.get();
    if text.starts_with('"') {
        let coded: Cow<str> = serde_json::from_str(text).map_err(|_| BadAnswer::NotAValue)?;
        let bytes = BASE64_STANDARD
            .decode(coded.as_bytes())
            .map_err(|_| BadAnswer::NotAValue)?;
        let (numbers, left) = bytes.as_chunks::<4>();
        let finite = numbers.iter().all(|n| f32::from_le_bytes(*n).is_finite());
        if !left.is_empty() || numbers.is_empty() || !finite {
            return Err(BadAnswer::NotAValue);
        }
        let shown = match wanted {
            Encoding::Base64 => text.to_owned(),
            Encoding::Float => {
                let all: Vec<f32> = numbers.iter().map(|n| f32::from_le_bytes(*n)).collect();
                serde_json::to_string(&all).map_err(|_| BadAnswer::NotAValue)?
            }
        };
        return Ok((shown, numbers.len()));
    }
    let numbers: Vec<f32> = serde_json::from_str(text).map_err(|_| BadAnswer::NotAValue)?;
    if numbers.is_empty() || !numbers.iter().all(|n| n.is_finite()) {
        return Err(BadAnswer::NotAValue);
    }
    let shown = match wanted {
        Encoding::Float => text.to_owned(),
        Encoding::Base64 => {
            let bytes: Vec<u8> = numbers.iter().flat_map(|n| n.to_le_bytes()).collect();
            format!("\"{}\"", BASE64_STANDARD.encode(bytes))
        }
    };
    Ok((shown, numbers.len()))
}

/// The one answer to a batch, of the parts that cover all of it in their order.
pub fn join(batch: &Batch, id: &str, parts: Vec<(Range<usize>, Part)>) -> Result<Bytes, BadAnswer> {
    let (mut prompt, mut total, mut next) = (0, 0, 0);
    let mut dimensions = None;
    let mut items = Vec::with_capacity(batch.len());
    for (range, part) in parts {
        if range.start != next || part.items.len() != range.len() {
            return Err(BadAnswer::Missing);
        }
        if part
            .dimensions
            .is_some_and(|d| *dimensions.get_or_insert(d) != d)
        {
            return Err(BadAnswer::NotAValue);
        }
        next = range.end;
        prompt += part.prompt_tokens;
        total += part.total_tokens;
        items.extend(part.items);
    }
    if next != batch.len() {
        return Err(BadAnswer::Missing);
    }
    let text = |text: &str| serde_json::to_string(text).unwrap_or_default();
    let (model, id) = (text(&batch.model), text(id));
    if batch.form == Form::Embeddings {
        let mut data = Vec::with_capacity(items.len());
        for (index, item) in items.into_iter().enumerate() {
            let Item::Vector(vector) = item else {
                return Err(BadAnswer::NotAValue);
            };
            data.push(format!(
                r#"{{"object":"embedding","index":{index},"embedding":{vector}}}"#
            ));
        }
        let usage = format!(r#"{{"prompt_tokens":{prompt},"total_tokens":{total}}}"#);
        let data = data.join(",");
        return Ok(format!(
            r#"{{"object":"list","data":[{data}],"model":{model},"usage":{usage}}}"#
        )
        .into());
    }
    let score = |(index, item): (usize, Item)| match item {
        Item::Score(score) => Ok((index, score)),
        Item::Vector(_) => Err(BadAnswer::NotAValue),
    };
    let mut scored = items
        .into_iter()
        .enumerate()
        .map(score)
        .collect::<Result<Vec<_>, _>>()?;
    // Equal scores stay in the client's order.
    scored.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    scored.truncate(batch.top.unwrap_or(usize::MAX));
    let shown = |(index, score): (usize, f64)| {
        let score = serde_json::to_string(&score).unwrap_or_default();
        let document = match (batch.gives_back, batch.item(index)) {
            (false, _) => String::new(),
            (true, item) if item.starts_with('{') => format!(r#","document":{item}"#),
            (true, item) => format!(r#","document":{{"text":{item}}}"#),
        };
        format!(r#"{{"index":{index},"relevance_score":{score}{document}}}"#)
    };
    let results: Vec<String> = scored.into_iter().map(shown).collect();
    let results = results.join(",");
    Ok(match batch.form {
        Form::RerankV2 => {
            let meta = format!(
                r#"{{"api_version":{{"version":"2"}},"tokens":{{"input_tokens":{total}}}}}"#
            );
            format!(r#"{{"id":{id},"results":[{results}],"meta":{meta}}}"#)
        }
        _ => {
            let usage = format!(r#"{{"prompt_tokens":{prompt},"total_tokens":{total}}}"#);
            format!(r#"{{"id":{id},"model":{model},"results":[{results}],"usage":{usage}}}"#)
        }
    }
    .into())
}

#[cfg(test)]
mod tests;
