//! Limits of a request body that are checked before it is decoded. The check makes one pass over
//! the body and allocates no memory. It does not detect invalid JSON, which decoding rejects.

use crate::error::ApiError;

/// Limits of a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum nesting depth of lists and objects.
    pub depth: usize,
    /// Maximum length of a string in bytes.
    pub string_bytes: usize,
    /// Maximum number of items of each list whose items are decoded: messages, inputs, documents
    /// and tools.
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
    /// Checks the nesting depth and the length of strings. The number of items is checked when the
    /// lists are decoded.
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
        Err(ApiError::invalid_request(400, "too_deep", None, message))
    }

    fn check_string(&self, length: usize, at: usize) -> Result<(), ApiError> {
        if length <= self.string_bytes {
            return Ok(());
        }
        let limit = self.string_bytes;
        let message = format!("the text at byte {at} holds more than {limit} bytes");
        Err(ApiError::invalid_request(
            400,
            "text_too_long",
            None,
            message,
        ))
    }
}

/// Returns the length in bytes of the string at the beginning of `text`, which follows the opening
/// quote. Excludes the closing quote.
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
