//! The fields of a JSON object, left where they stand in the body, so that no memory is spent on
//! what is only passed on. A name may occur once: of two fields with one name, the next reader of
//! the body might take the other.

use std::borrow::Cow;
use std::fmt;
use std::ops::RangeInclusive;

use serde::de::{Deserializer, MapAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::ApiError;

/// The most fields of an object. The API defines far fewer.
const MAX_FIELDS: usize = 256;

/// The fields of an object, in their order.
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
                while let Some(Name(name)) = map.next_key()? {
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

/// A field's name, borrowed if it holds no escapes.
struct Name<'a>(Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Name<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NameVisitor;
        impl<'de> Visitor<'de> for NameVisitor {
            type Value = Name<'de>;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a name")
            }

            fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Name<'de>, E> {
                Ok(Name(Cow::Borrowed(text)))
            }

            fn visit_str<E>(self, text: &str) -> Result<Name<'de>, E> {
                Ok(Name(Cow::Owned(text.to_owned())))
            }
        }
        deserializer.deserialize_str(NameVisitor)
    }
}

impl<'a> Fields<'a> {
    /// Decodes a body.
    pub(crate) fn decode(body: &'a [u8]) -> Result<Fields<'a>, ApiError> {
        serde_json::from_slice(body).map_err(|error| {
            let message = format!("not a JSON object: {error}");
            ApiError::invalid(400, "invalid_json", None, message)
        })
    }

    /// The value of a field; null counts as absent.
    pub(crate) fn get(&self, name: &str) -> Option<&'a RawValue> {
        let (_, value) = self.0.iter().find(|(n, _)| n == name)?;
        if value.get() == "null" {
            return None;
        }
        Some(value)
    }

    /// Encodes all fields but these, each followed by a comma.
    pub(crate) fn encode_without(&self, excluded: &[&str]) -> String {
        let mut text = String::new();
        for (name, value) in &self.0 {
            if !excluded.contains(&&**name) {
                push_field(&mut text, name, value.get());
            }
        }
        text
    }
}

/// Encodes a string as JSON.
pub(crate) fn json_string(text: &str) -> String {
    serde_json::to_string(text).unwrap_or_default()
}

/// Appends a field and a comma.
pub(crate) fn push_field(text: &mut String, name: &str, value: &str) {
    text.push_str(&json_string(name));
    text.push(':');
    text.push_str(value);
    text.push(',');
}

/// What is wrong with a field.
struct Problem {
    param: String,
    message: String,
}

/// Decodes known fields, and collects the problems of all of them.
pub(crate) struct FieldReader<'f, 'a> {
    fields: &'f Fields<'a>,
    problems: Vec<Problem>,
}

impl<'f, 'a> FieldReader<'f, 'a> {
    /// A reader of these fields.
    pub(crate) fn new(fields: &'f Fields<'a>) -> Self {
        FieldReader {
            fields,
            problems: Vec::new(),
        }
    }

    /// Reports a problem with a field.
    pub(crate) fn report(&mut self, param: impl Into<String>, message: impl Into<String>) {
        self.problems.push(Problem {
            param: param.into(),
            message: message.into(),
        });
    }

    /// An optional field. `expected` describes a valid value.
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
                self.report(name, format!("must be {expected}"));
                None
            }
        }
    }

    /// Reports a field that is absent.
    pub(crate) fn require(&mut self, name: &str, expected: &str) {
        if self.fields.get(name).is_none() {
            self.report(name, format!("is needed: {expected}"));
        }
    }

    /// A string that must be present and not empty.
    pub(crate) fn required_string(&mut self, name: &str, expected: &str) -> String {
        self.require(name, expected);
        self.optional::<String>(name, expected, |text| !text.is_empty())
            .unwrap_or_default()
    }

    /// An optional string.
    pub(crate) fn string(&mut self, name: &str) -> Option<String> {
        self.optional(name, "a text", |_| true)
    }

    /// An optional boolean.
    pub(crate) fn boolean(&mut self, name: &str) -> Option<bool> {
        self.optional(name, "true or false", |_| true)
    }

    /// An optional whole number within a range.
    pub(crate) fn integer(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = match (*range.start(), *range.end()) {
            (low, u64::MAX) => format!("a whole number of at least {low}"),
            (low, high) => format!("a whole number from {low} to {high}"),
        };
        self.optional(name, &expected, |n| range.contains(n))
    }

    /// An optional number within a range.
    pub(crate) fn number(&mut self, name: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        self.optional(name, &expected, |n| range.contains(n))
    }

    /// The items of an optional list, at most `limit`; `None` if it is absent or invalid.
    pub(crate) fn list(&mut self, name: &str, limit: usize) -> Option<Vec<&'a RawValue>> {
        let items: Vec<&'a RawValue> = self.optional(name, "a list", |_| true)?;
        if items.len() > limit {
            let message = format!("holds {} items, more than {limit}", items.len());
            self.report(name, message);
            return None;
        }
        Some(items)
    }

    /// Returns one error that names every field with a problem, if there are any.
    pub(crate) fn finish(self) -> Result<(), ApiError> {
        let Some(first) = self.problems.first() else {
            return Ok(());
        };
        let messages: Vec<String> = self
            .problems
            .iter()
            .map(|problem| format!("{} {}", problem.param, problem.message))
            .collect();
        Err(ApiError::invalid_value(&first.param, messages.join("; ")))
    }
}
