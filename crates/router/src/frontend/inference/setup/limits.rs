//! The limits of requests and responses in the operator's file.

use std::time::Duration;

use cranetack_inference_api::BodyLimits;
use serde::Deserialize;

const MIB: usize = 1024 * 1024;
/// The largest `body_bytes`: offsets in a body are kept as 32 bits.
const MAX_BODY_BYTES: usize = 1 << 30;
/// The largest `depth`.
const MAX_DEPTH: usize = 100;

/// The limits of requests and responses: the table `limits`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most bytes of one body, decompressed.
    pub body_bytes: usize,
    /// The most bytes of all bodies in flight, of requests and responses.
    pub held_bytes: usize,
    /// How long a request may take to arrive.
    pub body_wait_ms: u64,
    /// How long a client may leave response data unread.
    pub read_wait_ms: u64,
    /// The most lists and objects nested within one another.
    pub depth: usize,
    /// The most items of one list.
    pub items: usize,
    /// The most bytes of one string.
    pub text_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        let body = BodyLimits::default();
        Limits {
            body_bytes: 16 * MIB,
            held_bytes: 64 * MIB,
            body_wait_ms: 10_000,
            read_wait_ms: 30_000,
            depth: body.depth,
            items: body.items,
            text_bytes: body.string_bytes,
        }
    }
}

impl Limits {
    /// The limits that are checked before a body is decoded.
    pub fn body_limits(&self) -> BodyLimits {
        BodyLimits {
            depth: self.depth,
            string_bytes: self.text_bytes,
            items: self.items,
        }
    }

    /// How long a request may take to arrive.
    pub fn body_wait(&self) -> Duration {
        Duration::from_millis(self.body_wait_ms)
    }

    /// How long a client may leave response data unread.
    pub fn read_wait(&self) -> Duration {
        Duration::from_millis(self.read_wait_ms)
    }

    /// What is wrong with the values, in one line that names the key.
    pub(super) fn check(&self) -> Result<(), String> {
        for (key, value) in [
            ("body_bytes", self.body_bytes as u64),
            ("body_wait_ms", self.body_wait_ms),
            ("read_wait_ms", self.read_wait_ms),
            ("depth", self.depth as u64),
            ("items", self.items as u64),
            ("text_bytes", self.text_bytes as u64),
        ] {
            if value == 0 {
                return Err(format!("limits.{key}: must be above 0"));
            }
        }
        if self.body_bytes > MAX_BODY_BYTES {
            return Err("limits.body_bytes: must be at most 1073741824".to_owned());
        }
        if self.held_bytes < self.body_bytes {
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
