//! The table `limits` of the operator's file: the limits of requests and responses.

use std::time::Duration;

use cranetack_inference_api::BodyLimits;
use serde::Deserialize;

const MIB: usize = 1024 * 1024;
/// Maximum of `body_bytes`. Offsets in a body are stored as `u32`, so it must be below 4 GiB.
const MAX_BODY_BYTES: usize = 1 << 30;
/// Maximum of `depth`.
const MAX_DEPTH: usize = 100;

/// The table `limits`: the limits of requests and responses.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size in bytes of one body, after decompression.
    pub body_bytes: usize,
    /// Maximum size in bytes of all request and response bodies in flight together.
    #[serde(rename = "held_bytes")]
    pub byte_budget: usize,
    /// Maximum time in milliseconds from the first byte of a request, or from the start of its
    /// connection for the first request, until the whole request has arrived.
    #[serde(rename = "body_wait_ms")]
    pub request_timeout_ms: u64,
    /// Maximum time in milliseconds for which a client may leave response data unread.
    #[serde(rename = "read_wait_ms")]
    pub unread_timeout_ms: u64,
    /// Maximum nesting of lists and objects in a request body.
    pub depth: usize,
    /// Maximum number of items of one list in a request body.
    pub items: usize,
    /// Maximum size in bytes of one string in a request body.
    #[serde(rename = "text_bytes")]
    pub string_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        let body = BodyLimits::default();
        Limits {
            body_bytes: 16 * MIB,
            byte_budget: 64 * MIB,
            request_timeout_ms: 10_000,
            unread_timeout_ms: 30_000,
            depth: body.depth,
            items: body.items,
            string_bytes: body.string_bytes,
        }
    }
}

impl Limits {
    /// Returns the limits that are checked when a request body is decoded.
    pub fn body_limits(&self) -> BodyLimits {
        BodyLimits {
            depth: self.depth,
            string_bytes: self.string_bytes,
            items: self.items,
        }
    }

    /// Lowers the byte budget to `memory_bytes`, and the size of a body to what can be decoded
    /// within that.
    pub(super) fn within_memory(mut self, memory_bytes: usize) -> Limits {
        let largest_body = self.body_limits().largest_body(memory_bytes);
        self.byte_budget = self.byte_budget.min(memory_bytes);
        self.body_bytes = self.body_bytes.min(largest_body);
        self
    }

    /// Returns the maximum time for a request to arrive.
    pub fn request_timeout(&self) -> Duration {
        Duration::from_millis(self.request_timeout_ms)
    }

    /// Returns the maximum time for which a client may leave response data unread.
    pub fn unread_timeout(&self) -> Duration {
        Duration::from_millis(self.unread_timeout_ms)
    }

    /// Checks the values. An error is one line that names the key.
    pub(super) fn check(&self) -> Result<(), String> {
        for (key, value) in [
            ("body_bytes", self.body_bytes as u64),
            ("body_wait_ms", self.request_timeout_ms),
            ("read_wait_ms", self.unread_timeout_ms),
            ("depth", self.depth as u64),
            ("items", self.items as u64),
            ("text_bytes", self.string_bytes as u64),
        ] {
            if value == 0 {
                return Err(format!("limits.{key}: must be above 0"));
            }
        }
        if self.body_bytes > MAX_BODY_BYTES {
            return Err("limits.body_bytes: must be at most 1073741824".to_owned());
        }
        if self.byte_budget < self.body_bytes {
            return Err(format!(
                "limits.held_bytes: must be at least limits.body_bytes, {}",
                self.body_bytes
            ));
        }
        if self.depth > MAX_DEPTH {
            return Err("limits.depth: must be at most 100".to_owned());
        }
        Ok(())
    }
}
