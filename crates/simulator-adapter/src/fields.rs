//! The values of a message, read by their positions.

use serde_json::Value;

use crate::error::WireError;

/// The most characters of a wrong value that an error shows.
const SHOWN_LENGTH: usize = 60;
/// Floats below this are exact as whole numbers.
const EXACT_BELOW: f64 = 9e15;

/// The values of one message behind its name.
pub(crate) struct Fields<'a> {
    /// The message's name.
    pub name: &'a str,
    /// Its values.
    pub values: &'a [Value],
}

impl<'a> Fields<'a> {
    /// The error for a value that is not what it should be.
    pub(crate) fn wrong(&self, index: usize, wanted: &'static str) -> WireError {
        let got = self.values.get(index).unwrap_or(&Value::Null);
        WireError::UnexpectedValue {
            message: self.name.to_owned(),
            number: index + 1,
            wanted,
            got: got.to_string().chars().take(SHOWN_LENGTH).collect(),
        }
    }

    /// A value that may be absent.
    pub(crate) fn opt(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|value| !value.is_null())
    }

    pub(crate) fn text(&self, index: usize) -> Result<&'a str, WireError> {
        self.opt(index)
            .and_then(Value::as_str)
            .ok_or_else(|| self.wrong(index, "text"))
    }

    /// Text that may be absent; 0 stands for none too.
    pub(crate) fn opt_text(&self, index: usize) -> Result<Option<&'a str>, WireError> {
        let Some(value) = self.opt(index) else {
            return Ok(None);
        };
        if value.as_u64() == Some(0) {
            return Ok(None);
        }
        match value.as_str() {
            Some(text) => Ok(Some(text)),
            None => Err(self.wrong(index, "text or nothing")),
        }
    }

    pub(crate) fn int(&self, index: usize) -> Result<i64, WireError> {
        self.opt_int(index)?
            .ok_or_else(|| self.wrong(index, "a whole number"))
    }

    pub(crate) fn opt_int(&self, index: usize) -> Result<Option<i64>, WireError> {
        let Some(value) = self.opt(index) else {
            return Ok(None);
        };
        match whole_number(value) {
            Some(number) => Ok(Some(number)),
            None => Err(self.wrong(index, "a whole number")),
        }
    }

    /// A whole number of 0 or more; absent for 0.
    pub(crate) fn count(&self, index: usize) -> Result<u64, WireError> {
        let value = self.opt_int(index)?.unwrap_or(0);
        u64::try_from(value).map_err(|_| self.wrong(index, "a number of 0 or more"))
    }

    pub(crate) fn small(&self, index: usize) -> Result<u32, WireError> {
        u32::try_from(self.int(index)?).map_err(|_| self.wrong(index, "a small number"))
    }

    /// True or false; absent for false.
    pub(crate) fn flag(&self, index: usize) -> Result<bool, WireError> {
        let Some(value) = self.opt(index) else {
            return Ok(false);
        };
        value
            .as_bool()
            .ok_or_else(|| self.wrong(index, "true or false"))
    }

    /// Bytes as hex digits.
    pub(crate) fn bytes(&self, index: usize) -> Result<Vec<u8>, WireError> {
        let text = self.text(index)?;
        let mut bytes = Vec::with_capacity(text.len() / 2);
        for at in (0..text.len()).step_by(2) {
            let digits = text.get(at..at + 2);
            let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
            bytes.push(byte.ok_or_else(|| self.wrong(index, "hex digits"))?);
        }
        Ok(bytes)
    }
}

fn whole_number(value: &Value) -> Option<i64> {
    if let Some(number) = value.as_i64() {
        return Some(number);
    }
    let number = value.as_f64()?;
    let is_whole = number.fract() == 0.0 && number.abs() < EXACT_BELOW;
    is_whole.then_some(number as i64)
}
