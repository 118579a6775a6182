//! Typed access to the values of a message by position.

use serde_json::Value;

use crate::error::WireError;

/// Maximum number of characters of an unexpected value in an error message.
const MAX_SHOWN_CHARACTERS: usize = 60;
/// Whole numbers below this bound have an exact representation as `f64`.
const EXACT_INTEGER_BOUND: f64 = 9e15;

/// The name of a message and the values that follow it.
pub(crate) struct Fields<'a> {
    /// The name of the message.
    pub name: &'a str,
    /// The values that follow the name.
    pub values: &'a [Value],
}

impl<'a> Fields<'a> {
    /// Returns the error for a value of the wrong type or out of range. `expected` describes the
    /// valid values.
    pub(crate) fn unexpected_value(&self, index: usize, expected: &'static str) -> WireError {
        let actual = self.values.get(index).unwrap_or(&Value::Null);
        WireError::UnexpectedValue {
            message: self.name.to_owned(),
            number: index + 1,
            expected,
            actual: actual
                .to_string()
                .chars()
                .take(MAX_SHOWN_CHARACTERS)
                .collect(),
        }
    }

    /// A value that may be absent; null counts as absent.
    pub(crate) fn optional(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|value| !value.is_null())
    }

    pub(crate) fn text(&self, index: usize) -> Result<&'a str, WireError> {
        self.optional(index)
            .and_then(Value::as_str)
            .ok_or_else(|| self.unexpected_value(index, "text"))
    }

    /// Text that may be absent; 0 counts as absent.
    pub(crate) fn optional_text(&self, index: usize) -> Result<Option<&'a str>, WireError> {
        let Some(value) = self.optional(index) else {
            return Ok(None);
        };
        if value.as_u64() == Some(0) {
            return Ok(None);
        }
        match value.as_str() {
            Some(text) => Ok(Some(text)),
            None => Err(self.unexpected_value(index, "text, 0 or null")),
        }
    }

    pub(crate) fn int(&self, index: usize) -> Result<i64, WireError> {
        self.optional_int(index)?
            .ok_or_else(|| self.unexpected_value(index, "a whole number"))
    }

    pub(crate) fn optional_int(&self, index: usize) -> Result<Option<i64>, WireError> {
        let Some(value) = self.optional(index) else {
            return Ok(None);
        };
        match whole_number(value) {
            Some(number) => Ok(Some(number)),
            None => Err(self.unexpected_value(index, "a whole number")),
        }
    }

    /// A whole number of at least 0; an absent value counts as 0.
    pub(crate) fn unsigned(&self, index: usize) -> Result<u64, WireError> {
        let value = self.optional_int(index)?.unwrap_or(0);
        u64::try_from(value).map_err(|_| self.unexpected_value(index, "a number of at least 0"))
    }

    pub(crate) fn unsigned_32(&self, index: usize) -> Result<u32, WireError> {
        u32::try_from(self.int(index)?)
            .map_err(|_| self.unexpected_value(index, "a number from 0 to 4294967295"))
    }

    /// A boolean; an absent value counts as false.
    pub(crate) fn flag(&self, index: usize) -> Result<bool, WireError> {
        let Some(value) = self.optional(index) else {
            return Ok(false);
        };
        value
            .as_bool()
            .ok_or_else(|| self.unexpected_value(index, "true or false"))
    }

    /// Bytes that are written as pairs of hexadecimal digits.
    pub(crate) fn bytes(&self, index: usize) -> Result<Vec<u8>, WireError> {
        let text = self.text(index)?;
        let mut bytes = Vec::with_capacity(text.len() / 2);
        for at in (0..text.len()).step_by(2) {
            let digits = text.get(at..at + 2);
            let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
            bytes.push(byte.ok_or_else(|| self.unexpected_value(index, "pairs of hex digits"))?);
        }
        Ok(bytes)
    }
}

fn whole_number(value: &Value) -> Option<i64> {
    if let Some(number) = value.as_i64() {
        return Some(number);
    }
    let number = value.as_f64()?;
    let is_whole = number.fract() == 0.0 && number.abs() < EXACT_INTEGER_BOUND;
    is_whole.then_some(number as i64)
}
