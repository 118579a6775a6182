//! The fields of a JSON object, each where it stands in the body. Guards against memory spent on what is only
//! passed on, and against a field that is read as another by whoever comes next: a name may stand once.

use std::borrow::Cow;
use std::fmt;
use std::ops::RangeInclusive;

use serde::de::{Deserializer, MapAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::ApiError;

/// Fields that an object may have: more are not of this API.
const FIELDS_MOST: usize = 256;

/// The fields of an object, in their order.
#[derive(Debug, Default)]
pub struct Fields<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Fields<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Object;
        impl<'de> Visitor<'de> for Object {
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
                    if fields.len() == FIELDS_MOST {
                        return Err(serde::de::Error::custom("too many fields"));
                    }
                    fields.push((name, map.next_value()?));
                }
                Ok(Fields(fields))
            }
        }
        deserializer.deserialize_map(Object)
    }
}

/// A name, borrowed where it holds no escapes.
struct Name<'a>(Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Name<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Text;
        impl<'de> Visitor<'de> for Text {
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
        deserializer.deserialize_str(Text)
    }
}

impl<'a> Fields<'a> {
    /// Decodes a body.
    pub fn decode(body: &'a [u8]) -> Result<Fields<'a>, ApiError> {
        serde_json::from_slice(body).map_err(|e| {
            ApiError::invalid(400, "invalid_json", None, format!("not a JSON object: {e}"))
        })
    }

    /// A field; one that is null counts as absent.
    pub fn get(&self, name: &str) -> Option<&'a RawValue> {
        self.0
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| *value)
            .filter(|v| v.get() != "null")
    }

    /// All fields but these, encoded one behind the other, each with a comma behind it.
    pub fn encode_without(&self, left_out: &[&str]) -> String {
        let mut text = String::new();
        for (name, value) in self.0.iter().filter(|(n, _)| !left_out.contains(&&**n)) {
            push_field(&mut text, name, value.get());
        }
        text
    }
}

/// Adds a field and a comma.
pub fn push_field(text: &mut String, name: &str, value: &str) {
    text.push_str(&serde_json::to_string(name).unwrap_or_default());
    text.push(':');
    text.push_str(value);
    text.push(',');
}

/// Decodes known fields and collects what is wrong with all of them.
pub struct Reader<'f, 'a> {
    fields: &'f Fields<'a>,
    problems: Vec<(String, String)>,
}

impl<'f, 'a> Reader<'f, 'a> {
    /// A reader of these fields.
    pub fn new(fields: &'f Fields<'a>) -> Self {
        Reader {
            fields,
            problems: Vec::new(),
        }
    }

    /// Notes that a field is wrong.
    pub fn wrong(&mut self, param: impl Into<String>, message: impl Into<String>) {
        self.problems.push((param.into(), message.into()));
    }

    /// An optional field, of which `what` says what it must be.
    pub fn optional<T: Deserialize<'a>>(
        &mut self,
        name: &str,
        what: &str,
        fits: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let raw = self.fields.get(name)?;
        match serde_json::from_str::<T>(raw.get()) {
            Ok(value) if fits(&value) => Some(value),
            _ => {
                self.wrong(name, format!("must be {what}"));
                None
            }
        }
    }

    /// Notes it if a field is not there.
    pub fn need(&mut self, name: &str, what: &str) {
        if self.fields.get(name).is_none() {
            self.wrong(name, format!("is needed: {what}"));
        }
    }

    /// A text that must be there and not be empty.
    pub fn needed_text(&mut self, name: &str, what: &str) -> String {
        self.need(name, what);
        self.optional::<String>(name, what, |t| !t.is_empty())
            .unwrap_or_default()
    }

    /// A text.
    pub fn text(&mut self, name: &str) -> Option<String> {
        self.optional(name, "a text", |_| true)
    }

    /// Yes or no.
    pub fn flag(&mut self, name: &str) -> Option<bool> {
        self.optional(name, "true or false", |_| true)
    }

    /// A whole number within a range.
    pub fn count(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let what = match (*range.start(), *range.end()) {
            (low, u64::MAX) => format!("a whole number of at least {low}"),
            (low, high) => format!("a whole number from {low} to {high}"),
        };
        self.optional(name, &what, |n| range.contains(n))
    }

    /// A number within a range.
    pub fn number(&mut self, name: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let what = format!("a number from {} to {}", range.start(), range.end());
        self.optional(name, &what, |n| range.contains(n))
    }

    /// The items of a list, at most so many; `None` if it is absent or no list.
    pub fn items(&mut self, name: &str, most: usize) -> Option<Vec<&'a RawValue>> {
        let items: Vec<&'a RawValue> = self.optional(name, "a list", |_| true)?;
        if items.len() > most {
            self.wrong(
                name,
                format!("holds {} items, more than {most}", items.len()),
            );
            return None;
        }
        Some(items)
    }

    /// All is well, or one error that names every field that is wrong.
    pub fn finish(self) -> Result<(), ApiError> {
        let Some((param, _)) = self.problems.first() else {
            return Ok(());
        };
        let all: Vec<String> = self
            .problems
            .iter()
            .map(|(param, what)| format!("{param} {what}"))
            .collect();
        Err(ApiError::value(param, all.join("; ")))
    }
}
