//! Limits of a request body that are checked before it is decoded. The check takes one pass and no
//! memory. It does not say whether the body is JSON: decoding does.

use crate::error::ApiError;

/// The limits of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// The most lists and objects nested within one another.
    pub depth: usize,
    /// The most bytes of one string.
    pub string_bytes: usize,
    /// The most items of a list whose items are decoded: messages, inputs, documents, tools.
    pub items: usize,
}

impl Default for BodyLimits {
    fn default() -> Self {
        BodyLimits {
            depth: 64,
            string_bytes: 4 * 1024 * 1024,
            items: 16_384,
        }
    }
}

impl BodyLimits {
    /// Checks the nesting and the length of strings.
    pub fn check(&self, body: &[u8]) -> Result<(), ApiError> {
        let mut depth = 0_usize;
        let mut at = 0;
        while at < body.len() {
            match body[at] {
                b'[' | b'{' => {
                    depth += 1;
                    self.check_depth(depth, at)?;
                }
                b']' | b'}' => depth = depth.saturating_sub(1),
                b'"' => {
                    let length = string_length(&body[at + 1..]);
                    self.check_string(length, at)?;
                    at += 1 + length;
                }
                _ => {}
            }
            at += 1;
        }
        Ok(())
    }

    fn check_depth(&self, depth: usize, at: usize) -> Result<(), ApiError> {
        if depth <= self.depth {
            return Ok(());
        }
        let message = format!("nests deeper than {} at byte {at}", self.depth);
        Err(ApiError::invalid(400, "too_deep", None, message))
    }

    fn check_string(&self, length: usize, at: usize) -> Result<(), ApiError> {
        if length <= self.string_bytes {
            return Ok(());
        }
        let limit = self.string_bytes;
        let message = format!("the text at byte {at} holds more than {limit} bytes");
        Err(ApiError::invalid(400, "text_too_long", None, message))
    }
}

/// The length of the string that begins here, without its closing quote.
fn string_length(text: &[u8]) -> usize {
    let mut at = 0;
    while at < text.len() {
        match text[at] {
            b'"' => return at,
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
    text.len()
}

#[cfg(test)]
mod tests;
