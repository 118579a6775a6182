//! Limits of a request body that are checked before it is decoded. The check makes one pass over
//! the body and allocates no memory. It does not detect invalid JSON, which decoding rejects.

use crate::error::ApiError;

/// Memory that decoding holds for each item of a list, in bytes: references to the item, its token
/// count and its range.
const ITEM_BYTES: usize = 64;
/// Number of copies of a string with escapes that decoding holds at once: the decoder's buffer,
/// which may be twice as large as the string, and the decoded string.
const STRING_COPIES: usize = 3;
/// Memory that decoding holds for everything else, in bytes.
const DECODING_OVERHEAD_BYTES: usize = 16 * 1024;

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
    /// Returns the maximum number of bytes that decoding a body holds beside the body itself: an
    /// encoded copy of its fields, one string, and the items of one list.
    pub fn decoding_bytes(&self, body_bytes: usize) -> usize {
        let string_bytes = STRING_COPIES * self.string_bytes.min(body_bytes);
        // An item and its separator have at least two bytes.
        let items = self.items.min(body_bytes / 2);
        body_bytes + string_bytes + items * ITEM_BYTES + DECODING_OVERHEAD_BYTES
    }

    /// Returns the size in bytes of the largest body that can be decoded within `budget` bytes.
    pub fn largest_body(&self, budget: usize) -> usize {
        let fixed = self.items * ITEM_BYTES + DECODING_OVERHEAD_BYTES;
        let budget = budget.saturating_sub(fixed);
        // A body of at most one string is held in copies of the body and of the string.
        let small = budget / (2 + STRING_COPIES);
        let large = budget.saturating_sub(STRING_COPIES * self.string_bytes) / 2;
        small.min(self.string_bytes).max(large)
    }

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
