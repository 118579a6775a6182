//! Requests that carry many items: embeddings and rerank. Items stay where they are in the body; a slice of them
//! is encoded by copying their bytes.

use std::borrow::Cow;
use std::ops::Range;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::ApiError;
use crate::fields::{push_field, Fields, Reader};
use crate::scan::{scan, Bounds};
use crate::text_tokens;

/// The form of a request and of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// `/v1/embeddings`
    Embeddings,
    /// `/v1/rerank`: documents are texts or objects with a text; `return_documents` gives them back.
    RerankV1,
    /// `/v2/rerank`: documents are texts; the usage stands under `meta`.
    RerankV2,
}

impl Form {
    fn items(self) -> &'static str {
        match self {
            Form::Embeddings => "input",
            Form::RerankV1 | Form::RerankV2 => "documents",
        }
    }

    /// Where servers take it: they know one form of rerank.
    pub fn target(self) -> &'static str {
        match self {
            Form::Embeddings => "/v1/embeddings",
            Form::RerankV1 | Form::RerankV2 => "/v1/rerank",
        }
    }
}

/// How a client wants its vectors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Encoding {
    /// A list of numbers.
    #[default]
    Float,
    /// 32-bit numbers, little end first, in base64.
    Base64,
}

/// A decoded batch.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Its form.
    pub form: Form,
    /// The model that the client names.
    pub model: String,
    /// Whose request it is, as the client says.
    pub user: Option<String>,
    /// How vectors are wanted.
    pub encoding: Encoding,
    /// How long vectors are wanted.
    pub dimensions: Option<u64>,
    /// How many results are wanted.
    pub top: Option<usize>,
    /// Whether documents are given back with their results.
    pub gives_back: bool,
    /// Tokens that go with every slice: the query's.
    pub common_tokens: u64,
    /// Tokens of each item.
    pub tokens: Vec<u32>,
    body: Bytes,
    items: Vec<Range<u32>>,
    /// The fields that every slice is sent with, but for the model's name.
    rest: String,
}

#[derive(Deserialize)]
struct Document<'a> {
    #[serde(borrow)]
    text: Cow<'a, str>,
}

impl Batch {
    /// Decodes a body.
    pub fn decode(form: Form, body: Bytes, bounds: &Bounds) -> Result<Batch, ApiError> {
        scan(&body, bounds)?;
        let fields = Fields::decode(&body)?;
        let mut reader = Reader::new(&fields);
        let model = reader.needed_text("model", "the name of a model");
        let user = reader.text("user");
        let raws = raw_items(form, &fields, &mut reader, bounds);
        let mut tokens = Vec::with_capacity(raws.len());
        for (at, raw) in raws.iter().enumerate() {
            match item_tokens(form, raw) {
                Some(count) => tokens.push(u32::try_from(count).unwrap_or(u32::MAX)),
                None if raws.len() == 1 && at == 0 && form == Form::Embeddings => {
                    reader.wrong(
                        "input",
                        "must be a text, texts, or token ids that are whole numbers",
                    );
                }
                None => reader.wrong(
                    format!("{}[{at}]", form.items()),
                    "is not as the interface has it",
                ),
            }
        }
        let (mut common_tokens, mut top, mut gives_back) = (0, None, false);
        let (mut encoding, mut dimensions) = (Encoding::Float, None);
        if form == Form::Embeddings {
            let word = reader.optional::<Cow<str>>("encoding_format", "float or base64", |word| {
                matches!(&**word, "float" | "base64")
            });
            if word.as_deref() == Some("base64") {
                encoding = Encoding::Base64;
            }
            dimensions = reader.count("dimensions", 1..=65_536);
        } else {
            common_tokens = text_tokens(&reader.needed_text("query", "a text"));
            top = reader
                .count("top_n", 1..=u64::MAX)
                .map(|n| usize::try_from(n).unwrap_or(usize::MAX));
            gives_back = reader.flag("return_documents").unwrap_or(false);
            reader.count("max_tokens_per_doc", 1..=u64::MAX);
            reader.count("max_chunks_per_doc", 1..=u64::MAX);
        }
        reader.finish()?;
        // Results are chosen, and documents given back, when all slices are here.
        let rest = fields.encode_without(&[form.items(), "model", "top_n", "return_documents"]);
        let start = body.as_ptr() as usize;
        let place = |raw: &&RawValue| {
            let at = raw.get().as_ptr() as usize - start;
            at as u32..(at + raw.get().len()) as u32
        };
        let items = raws.iter().map(place).collect();
        Ok(Batch {
            form,
            model,
            user,
            encoding,
            dimensions,
            top,
            gives_back,
            common_tokens,
            tokens,
            items,
            rest,
            body,
        })
    }

    /// How many items there are.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are none, which no batch is decoded from.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// An item as it came, for giving it back.
    pub(crate) fn item(&self, index: usize) -> &str {
        let Range { start, end } = self.items[index].clone();
        std::str::from_utf8(&self.body[start as usize..end as usize]).unwrap_or("null")
    }

    /// The tokens of a slice.
    pub fn slice_tokens(&self, slice: &Range<usize>) -> u64 {
        self.common_tokens
            + self.tokens[slice.clone()]
                .iter()
                .map(|t| u64::from(*t))
                .sum::<u64>()
    }

    /// The body of a slice, for a server that knows the model by this name.
    pub fn encode(&self, slice: &Range<usize>, model: &str) -> Bytes {
        let held: usize = self.items[slice.clone()]
            .iter()
            .map(ExactSizeIterator::len)
            .sum();
        let mut text = String::with_capacity(self.rest.len() + held + slice.len() + 64);
        text.push('{');
        text.push_str(&self.rest);
        push_field(
            &mut text,
            "model",
            &serde_json::to_string(model).unwrap_or_default(),
        );
        text.push('"');
        text.push_str(self.form.items());
        text.push_str("\":[");
        for index in slice.clone() {
            if index > slice.start {
                text.push(',');
            }
            text.push_str(self.item(index));
        }
        text.push_str("]}");
        text.into()
    }
}

/// The items: one text, or one text as token ids, is a batch of one.
fn raw_items<'a>(
    form: Form,
    fields: &Fields<'a>,
    reader: &mut Reader<'_, 'a>,
    bounds: &Bounds,
) -> Vec<&'a RawValue> {
    let name = form.items();
    let Some(raw) = fields.get(name) else {
        reader.wrong(name, "is needed: a list that is not empty");
        return Vec::new();
    };
    let text = raw.get();
    if form == Form::Embeddings {
        let first = text.strip_prefix('[').map(str::trim_start);
        if text.starts_with('"')
            || first.is_some_and(|f| f.starts_with(|c: char| c.is_ascii_digit()))
        {
            return vec![raw];
        }
    }
    let Some(items) = reader.items(name, bounds.items) else {
        return Vec::new();
    };
    if items.is_empty() {
        reader.wrong(name, "must not be empty");
    }
    items
}

/// The tokens of an item; `None` where it is none. An empty text is no item for a vector.
fn item_tokens(form: Form, raw: &RawValue) -> Option<u64> {
    let text = raw.get();
    match (text.as_bytes()[0], form) {
        (b'"', _) => {
            let text: Cow<str> = serde_json::from_str(text).ok()?;
            (form != Form::Embeddings || !text.is_empty()).then(|| text_tokens(&text).max(1))
        }
        (b'{', Form::RerankV1) => serde_json::from_str::<Document>(text)
            .ok()
            .map(|d| text_tokens(&d.text).max(1)),
        (b'[', Form::Embeddings) => {
            let Counted(count) = serde_json::from_str(text).ok()?;
            (count > 0).then_some(count)
        }
        _ => None,
    }
}

/// Counts whole numbers and keeps none.
struct Counted(u64);

impl<'de> Deserialize<'de> for Counted {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Ids;
        impl<'de> serde::de::Visitor<'de> for Ids {
            type Value = Counted;

            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("token ids")
            }

            fn visit_seq<A: serde::de::SeqAccess<'de>>(
                self,
                mut ids: A,
            ) -> Result<Counted, A::Error> {
                let mut count = 0;
                while ids.next_element::<u32>()?.is_some() {
                    count += 1;
                }
                Ok(Counted(count))
            }
        }
        deserializer.deserialize_seq(Ids)
    }
}

#[cfg(test)]
mod tests;
