//! Batch requests, which contain many items: embeddings and rerank. Items are kept as byte ranges
//! of the body, and a slice is encoded by copying the bytes of its items.

use std::borrow::Cow;
use std::fmt;
use std::ops::Range;

use bytes::Bytes;
use serde::de::{Deserializer, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::body_limits::BodyLimits;
use crate::error::ApiError;
use crate::estimate_tokens;
use crate::fields::{json_string, push_field, FieldReader, Fields, Text};

/// Maximum value of `dimensions`.
pub(crate) const MAX_DIMENSIONS: usize = 65_536;
/// Estimated size in bytes of a slice's body beside its items, their separators and the shared
/// fields.
const ENCODING_OVERHEAD_BYTES: usize = 64;

/// Form of a batch request and of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchForm {
    /// Form of `/v1/embeddings`.
    Embeddings,
    /// Form of `/v1/rerank`. Documents are strings or objects with a `text`, and are included in
    /// the response if `return_documents` is set.
    RerankV1,
    /// Form of `/v2/rerank`. Documents are strings, and the response has its token usage under
    /// `meta`.
    RerankV2,
}

impl BatchForm {
    /// Returns the name of the field with the items.
    fn items_field(self) -> &'static str {
        match self {
            BatchForm::Embeddings => "input",
            BatchForm::RerankV1 | BatchForm::RerankV2 => "documents",
        }
    }

    /// Returns the path of the request to an endpoint. Endpoints serve only one form of rerank.
    pub fn endpoint_path(self) -> &'static str {
        match self {
            BatchForm::Embeddings => "/v1/embeddings",
            BatchForm::RerankV1 | BatchForm::RerankV2 => "/v1/rerank",
        }
    }
}

/// Encoding of vectors in the response to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VectorEncoding {
    /// A JSON list of numbers.
    #[default]
    Float,
    /// Little-endian 32-bit floating-point numbers, encoded in base64.
    Base64,
}

/// A decoded batch request.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchRequest {
    /// Form of the request.
    pub form: BatchForm,
    /// Name of the model, as the client sent it.
    pub model: String,
    /// Value of `user` in the request.
    pub user: Option<String>,
    /// Encoding of vectors in the response.
    pub encoding: VectorEncoding,
    /// Number of dimensions of the vectors that the client requested.
    pub dimensions: Option<u64>,
    /// Maximum number of results in the response, if the client limits it.
    pub top_n: Option<usize>,
    /// Whether the response includes the document of each result.
    pub return_documents: bool,
    /// Number of tokens that are sent with every slice: those of the query.
    pub shared_tokens: u64,
    /// Number of tokens of each item.
    pub item_tokens: Vec<u32>,
    body: Bytes,
    /// Byte range of each item in the body.
    items: Vec<Range<u32>>,
    /// Encoded fields that are sent with every slice, except for `model`. Each is followed by a
    /// comma.
    shared_fields: String,
}

/// Fields that only embeddings or only rerank requests have.
#[derive(Default)]
struct FormFields {
    encoding: VectorEncoding,
    dimensions: Option<u64>,
    shared_tokens: u64,
    top_n: Option<usize>,
    return_documents: bool,
}

impl BatchRequest {
    /// Decodes the body of a request.
    pub fn decode(
        form: BatchForm,
        body: Bytes,
        limits: &BodyLimits,
    ) -> Result<BatchRequest, ApiError> {
        limits.check(&body)?;
        let fields = Fields::decode(&body)?;
        let mut reader = FieldReader::new(&fields);
        let model = reader.required_string("model", "the name of a model");
        let user = reader.string("user");
        let raw_items = read_items(form, &fields, &mut reader, limits);
        let item_tokens = read_item_tokens(form, &raw_items, &mut reader);
        let form_fields = match form {
            BatchForm::Embeddings => FormFields::read_embeddings(&mut reader),
            BatchForm::RerankV1 | BatchForm::RerankV2 => FormFields::read_rerank(&mut reader),
        };
        reader.finish()?;
        // The router itself applies `top_n` and `return_documents` when all slices have been
        // served.
        let excluded = [form.items_field(), "model", "top_n", "return_documents"];
        let mut shared_fields = String::new();
        fields.encode_without(&excluded, &mut shared_fields);
        let items = raw_items
            .iter()
            .map(|raw| byte_range_in(&body, raw))
            .collect();
        Ok(BatchRequest {
            form,
            model,
            user,
            encoding: form_fields.encoding,
            dimensions: form_fields.dimensions,
            top_n: form_fields.top_n,
            return_documents: form_fields.return_documents,
            shared_tokens: form_fields.shared_tokens,
            item_tokens,
            items,
            shared_fields,
            body,
        })
    }

    /// Returns the number of bytes that the request holds: its body, the shared fields and the items.
    pub fn memory_bytes(&self) -> usize {
        let item_bytes = size_of::<Range<u32>>() + size_of::<u32>();
        let name_bytes = self.model.len() + self.user.as_ref().map_or(0, String::len);
        self.body.len() + self.shared_fields.len() + name_bytes + self.len() * item_bytes
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no items. Decoding rejects such batches.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns an item as it is encoded in the body.
    pub(crate) fn item(&self, index: usize) -> &str {
        let Range { start, end } = self.items[index].clone();
        std::str::from_utf8(&self.body[start as usize..end as usize]).unwrap_or("null")
    }

    /// Returns the number of tokens of a slice, the shared tokens included.
    pub fn slice_tokens(&self, slice: &Range<usize>) -> u64 {
        let items = self.item_tokens[slice.clone()].iter();
        self.shared_tokens + items.map(|tokens| u64::from(*tokens)).sum::<u64>()
    }

    /// Returns the maximum size in bytes of the encoded body of a slice.
    pub fn encoded_bytes(&self, slice: &Range<usize>, model: &str) -> usize {
        let items = self.items[slice.clone()].iter();
        let items_length: usize = items.map(ExactSizeIterator::len).sum();
        let model_length = json_string(model).len();
        self.shared_fields.len()
            + items_length
            + slice.len()
            + model_length
            + ENCODING_OVERHEAD_BYTES
    }

    /// Encodes the body of a slice for an endpoint. `model` is the endpoint's name of the model.
    pub fn encode(&self, slice: &Range<usize>, model: &str) -> Bytes {
        let mut text = String::with_capacity(self.encoded_bytes(slice, model));
        text.push('{');
        text.push_str(&self.shared_fields);
        push_field(&mut text, "model", &json_string(model));
        text.push('"');
        text.push_str(self.form.items_field());
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

impl FormFields {
    fn read_embeddings(reader: &mut FieldReader) -> FormFields {
        let format = reader.optional::<Cow<str>>("encoding_format", "float or base64", |word| {
            matches!(&**word, "float" | "base64")
        });
        let encoding = match format.as_deref() {
            Some("base64") => VectorEncoding::Base64,
            _ => VectorEncoding::Float,
        };
        FormFields {
            encoding,
            dimensions: reader.integer("dimensions", 1..=MAX_DIMENSIONS as u64),
            ..FormFields::default()
        }
    }

    fn read_rerank(reader: &mut FieldReader) -> FormFields {
        let query = reader.required_string("query", "a text");
        let top_n = reader.integer("top_n", 1..=u64::MAX);
        let return_documents = reader.boolean("return_documents").unwrap_or(false);
        reader.integer("max_tokens_per_doc", 1..=u64::MAX);
        reader.integer("max_chunks_per_doc", 1..=u64::MAX);
        FormFields {
            shared_tokens: estimate_tokens(&query),
            top_n: top_n.map(|n| usize::try_from(n).unwrap_or(usize::MAX)),
            return_documents,
            ..FormFields::default()
        }
    }
}

/// Returns the byte range of a value within the body from which it was decoded.
fn byte_range_in(body: &Bytes, raw: &RawValue) -> Range<u32> {
    let start = raw.get().as_ptr() as usize - body.as_ptr() as usize;
    start as u32..(start + raw.get().len()) as u32
}

/// Returns the items. A single input of embeddings, which is a string or a list of token ids, is a
/// batch of one item.
fn read_items<'a>(
    form: BatchForm,
    fields: &Fields<'a>,
    reader: &mut FieldReader<'_, 'a>,
    limits: &BodyLimits,
) -> Vec<&'a RawValue> {
    let name = form.items_field();
    let Some(raw) = fields.get(name) else {
        reader.add_error(name, "is needed: a list that is not empty");
        return Vec::new();
    };
    if form == BatchForm::Embeddings && is_single_input(raw.get()) {
        return vec![raw];
    }
    let Some(items) = reader.list(name, limits.items) else {
        return Vec::new();
    };
    if items.is_empty() {
        reader.add_error(name, "must not be empty");
    }
    items
}

/// Returns whether an input is a string or a list that begins with a number.
fn is_single_input(text: &str) -> bool {
    let first_item = text.strip_prefix('[').map(str::trim_start);
    text.starts_with('"')
        || first_item.is_some_and(|item| item.starts_with(|c: char| c.is_ascii_digit()))
}

/// Returns the number of tokens of each valid item, and adds an error for each invalid one.
fn read_item_tokens(
    form: BatchForm,
    raw_items: &[&RawValue],
    reader: &mut FieldReader,
) -> Vec<u32> {
    let mut all_tokens = Vec::with_capacity(raw_items.len());
    for (index, raw) in raw_items.iter().enumerate() {
        match count_item_tokens(form, raw) {
            Some(tokens) => all_tokens.push(u32::try_from(tokens).unwrap_or(u32::MAX)),
            None if raw_items.len() == 1 && form == BatchForm::Embeddings => reader.add_error(
                "input",
                "must be a text, texts, or token ids that are whole numbers",
            ),
            None => reader.add_error(
                format!("{}[{index}]", form.items_field()),
                "is not as the interface has it",
            ),
        }
    }
    all_tokens
}

#[derive(Deserialize)]
struct Document<'a> {
    #[serde(borrow)]
    text: Text<'a>,
}

/// Returns the number of tokens of an item, or `None` if it is invalid. An empty string is invalid
/// for embeddings because it has no vector.
fn count_item_tokens(form: BatchForm, raw: &RawValue) -> Option<u64> {
    let text = raw.get();
    match (text.as_bytes()[0], form) {
        (b'"', _) => {
            let Text(text) = serde_json::from_str(text).ok()?;
            if form == BatchForm::Embeddings && text.is_empty() {
                return None;
            }
            Some(estimate_tokens(&text).max(1))
        }
        (b'{', BatchForm::RerankV1) => {
            let document: Document = serde_json::from_str(text).ok()?;
            Some(estimate_tokens(&document.text.0).max(1))
        }
        (b'[', BatchForm::Embeddings) => {
            let TokenIdCount(count) = serde_json::from_str(text).ok()?;
            (count > 0).then_some(count)
        }
        _ => None,
    }
}

/// Number of token ids in a list. The ids themselves are not kept.
struct TokenIdCount(u64);

impl<'de> Deserialize<'de> for TokenIdCount {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct CountVisitor;
        impl<'de> Visitor<'de> for CountVisitor {
            type Value = TokenIdCount;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("token ids")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut ids: A) -> Result<TokenIdCount, A::Error> {
                let mut count = 0;
                while ids.next_element::<u32>()?.is_some() {
                    count += 1;
                }
                Ok(TokenIdCount(count))
            }
        }
        deserializer.deserialize_seq(CountVisitor)
    }
}

#[cfg(test)]
mod tests;
