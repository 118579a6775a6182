//! The fields of a JSON object as references into the body, so that values that are only passed on
//! are not copied. Duplicate names are rejected: another parser of the same body might use the
//! other value.

use std::borrow::Cow;
use std::fmt;
use std::ops::RangeInclusive;

use serde::de::{Deserializer, MapAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::bounded_list::visit_items;
use crate::error::ApiError;

/// Maximum number of fields of an object. The API defines far fewer.
const MAX_FIELDS: usize = 256;
/// Maximum length of a field's name in bytes.
const MAX_FIELD_NAME_BYTES: usize = 256;
/// Maximum number of invalid fields that an error names.
const MAX_FIELD_ERRORS: usize = 16;

/// The fields of an object, in the order of the body.
#[derive(Debug, Default)]
pub(crate) struct Fields<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Fields<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldsVisitor;
        impl<'de> Visitor<'de> for FieldsVisitor {
            type Value = Fields<'de>;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a JSON object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields<'de>, A::Error> {
                let mut fields: Vec<(Cow<'de, str>, &'de RawValue)> = Vec::new();
                while let Some(Text(name)) = map.next_key()? {
                    if name.len() > MAX_FIELD_NAME_BYTES {
                        return Err(serde::de::Error::custom("a name is too long"));
                    }
                    if fields.iter().any(|(n, _)| *n == name) {
                        return Err(serde::de::Error::custom(format_args!(
                            "{name:?} stands twice"
                        )));
                    }
                    if fields.len() == MAX_FIELDS {
                        return Err(serde::de::Error::custom("too many fields"));
                    }
                    fields.push((name, map.next_value()?));
                }
                Ok(Fields(fields))
            }
        }
        deserializer.deserialize_map(FieldsVisitor)
    }
}

/// A string, borrowed from the body unless it contains escapes.
pub(crate) struct Text<'a>(pub(crate) Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Text<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct TextVisitor;
        impl<'de> Visitor<'de> for TextVisitor {
            type Value = Text<'de>;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a text")
            }

            fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Text<'de>, E> {
                Ok(Text(Cow::Borrowed(text)))
            }

            fn visit_str<E>(self, text: &str) -> Result<Text<'de>, E> {
                Ok(Text(Cow::Owned(text.to_owned())))
            }
        }
        deserializer.deserialize_str(TextVisitor)
    }
}

impl<'a> Fields<'a> {
    /// Decodes a body, which must be a JSON object.
    pub(crate) fn decode(body: &'a [u8]) -> Result<Fields<'a>, ApiError> {
        serde_json::from_slice(body).map_err(|error| {
            let message = format!("not a JSON object: {error}");
            ApiError::invalid_request(400, "invalid_json", None, message)
        })
    }

    /// Returns the value of a field, or `None` if the field is absent or null.
    pub(crate) fn get(&self, name: &str) -> Option<&'a RawValue> {
        let (_, value) = self.0.iter().find(|(n, _)| n == name)?;
        if value.get() == "null" {
            return None;
        }
        Some(value)
    }

    /// Appends all fields except for the excluded ones to `text`, each followed by a comma.
    pub(crate) fn encode_without(&self, excluded: &[&str], text: &mut String) {
        let is_included = |name: &Cow<str>| !excluded.contains(&&**name);
        let included = || self.0.iter().filter(|(name, _)| is_included(name));
        let length: usize = included()
            .map(|(name, value)| json_string(name).len() + value.get().len() + SEPARATOR_BYTES)
            .sum();
        // Without this, the text would grow step by step to up to twice its length.
        text.reserve_exact(length);
        for (name, value) in included() {
            push_field(text, name, value.get());
        }
    }
}

/// Number of bytes of the colon and the comma of an encoded field.
const SEPARATOR_BYTES: usize = 2;

/// Encodes a string as JSON.
pub(crate) fn json_string(text: &str) -> String {
    serde_json::to_string(text).unwrap_or_default()
}

/// Appends a field, whose value is already encoded, and a comma.
pub(crate) fn push_field(text: &mut String, name: &str, value: &str) {
    text.push_str(&json_string(name));
    text.push(':');
    text.push_str(value);
    text.push(',');
}

/// An invalid or missing field.
struct FieldError {
    param: String,
    message: String,
}

/// Decodes known fields and collects the errors of all of them.
pub(crate) struct FieldReader<'f, 'a> {
    fields: &'f Fields<'a>,
    field_errors: Vec<FieldError>,
    /// Number of errors that are not kept.
    further_errors: usize,
}

impl<'f, 'a> FieldReader<'f, 'a> {
    /// Creates a reader of these fields.
    pub(crate) fn new(fields: &'f Fields<'a>) -> Self {
        FieldReader {
            fields,
            field_errors: Vec::new(),
            further_errors: 0,
        }
    }

    /// Adds an error for a field. Its message continues the name of the field.
    pub(crate) fn add_error(&mut self, param: impl Into<String>, message: impl Into<String>) {
        if self.field_errors.len() == MAX_FIELD_ERRORS {
            self.further_errors += 1;
            return;
        }
        self.field_errors.push(FieldError {
            param: param.into(),
            message: message.into(),
        });
    }

    /// Decodes an optional field. Returns `None` if it is absent or invalid, and adds an error if
    /// it is invalid. `expected` describes a valid value.
    pub(crate) fn optional<T: Deserialize<'a>>(
        &mut self,
        name: &str,
        expected: &str,
        is_valid: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let raw = self.fields.get(name)?;
        match serde_json::from_str::<T>(raw.get()) {
            Ok(value) if is_valid(&value) => Some(value),
            _ => {
                self.add_error(name, format!("must be {expected}"));
                None
            }
        }
    }

    /// Adds an error if the field is absent.
    pub(crate) fn require(&mut self, name: &str, expected: &str) {
        if self.fields.get(name).is_none() {
            self.add_error(name, format!("is needed: {expected}"));
        }
    }

    /// Decodes a string that must be present and not empty. Returns an empty string after an error.
    pub(crate) fn required_string(&mut self, name: &str, expected: &str) -> String {
        self.require(name, expected);
        self.optional::<String>(name, expected, |text| !text.is_empty())
            .unwrap_or_default()
    }

    /// Decodes an optional string.
    pub(crate) fn string(&mut self, name: &str) -> Option<String> {
        self.optional(name, "a text", |_| true)
    }

    /// Decodes an optional boolean.
    pub(crate) fn boolean(&mut self, name: &str) -> Option<bool> {
        self.optional(name, "true or false", |_| true)
    }

    /// Decodes an optional integer within a range.
    pub(crate) fn integer(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = match (*range.start(), *range.end()) {
            (low, u64::MAX) => format!("a whole number of at least {low}"),
            (low, high) => format!("a whole number from {low} to {high}"),
        };
        self.optional(name, &expected, |n| range.contains(n))
    }

    /// Decodes an optional number within a range.
    pub(crate) fn number(&mut self, name: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        self.optional(name, &expected, |n| range.contains(n))
    }

    /// Returns the items of an optional list, or `None` if it is absent, invalid or longer than
    /// `limit`.
    pub(crate) fn list(&mut self, name: &str, limit: usize) -> Option<Vec<&'a RawValue>> {
        let raw = self.fields.get(name)?;
        let mut items = Vec::new();
        match visit_items(raw, limit, |item| items.push(item)) {
            Ok(length) if length.is_exceeded() => {
                self.add_error(name, length.error_message());
                None
            }
            Ok(_) => Some(items),
            Err(_) => {
                self.add_error(name, "must be a list");
                None
            }
        }
    }

    /// Returns one error that names all invalid and missing fields, if there are any.
    pub(crate) fn finish(self) -> Result<(), ApiError> {
        let Some(first) = self.field_errors.first() else {
            return Ok(());
        };
        let mut messages: Vec<String> = self
            .field_errors
            .iter()
            .map(|field_error| format!("{} {}", field_error.param, field_error.message))
            .collect();
        if self.further_errors > 0 {
            messages.push(format!("and {} more", self.further_errors));
        }
        Err(ApiError::invalid_value(&first.param, messages.join("; ")))
    }
}
