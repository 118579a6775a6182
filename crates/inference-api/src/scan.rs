//! A look at a body before anything is made of it: how deep it nests and how long its longest text is. One pass,
//! no memory. It does not say whether the body is JSON; whoever decodes it does.

use crate::error::ApiError;

/// What a body may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Lists and objects within one another.
    pub depth: usize,
    /// Bytes of one text.
    pub text: usize,
    /// Items of a list that is served one by one: messages, inputs, documents, tools.
    pub items: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            depth: 64,
            text: 4 * 1024 * 1024,
            items: 16_384,
        }
    }
}

/// Checks nesting and the length of texts.
pub fn scan(body: &[u8], bounds: &Bounds) -> Result<(), ApiError> {
    let mut depth = 0_usize;
    let mut at = 0;
    while at < body.len() {
        match body[at] {
            b'[' | b'{' => {
                depth += 1;
                if depth > bounds.depth {
                    let message = format!("nests deeper than {} at byte {at}", bounds.depth);
                    return Err(ApiError::invalid(400, "too_deep", None, message));
                }
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            b'"' => {
                let end = text_end(&body[at + 1..]);
                if end > bounds.text {
                    let message = format!(
                        "the text at byte {at} holds more than {} bytes",
                        bounds.text
                    );
                    return Err(ApiError::invalid(400, "text_too_long", None, message));
                }
                at += 1 + end;
            }
            _ => {}
        }
        at += 1;
    }
    Ok(())
}

/// Where the text that begins here ends.
fn text_end(text: &[u8]) -> usize {
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
