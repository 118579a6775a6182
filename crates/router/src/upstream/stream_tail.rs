//! The end of a response stream, whose last events contain the number of cached tokens and a load
//! report.

use cranetack_routing_policy::Outcome;
use cranetack_settings::LoadReportSettings;

use super::load_report;
use crate::core::AttemptReport;

/// Minimum number of bytes kept from the end of a long stream; they cover its last few events.
const TAIL_BYTES: usize = 1_024;
/// Key of the number of cached tokens in the usage event.
const CACHED_TOKENS_KEY: &str = "\"cached_tokens\":";
/// Prefix of the event-stream comment that carries a load report.
const LOAD_COMMENT: &str = ": X-LoadReport:";

/// The last bytes of a stream.
#[derive(Default)]
pub(crate) struct StreamTail(Vec<u8>);

impl StreamTail {
    /// Adds data that has arrived.
    pub(crate) fn push(&mut self, data: &[u8]) {
        let data = &data[data.len().saturating_sub(TAIL_BYTES)..];
        if self.0.len() + data.len() > 2 * TAIL_BYTES {
            let kept = TAIL_BYTES.min(self.0.len());
            self.0.drain(..self.0.len() - kept);
        }
        self.0.extend_from_slice(data);
    }

    /// Returns the report of an attempt that completed with this stream.
    pub(crate) fn report(&self, columns: &LoadReportSettings) -> AttemptReport {
        let text = String::from_utf8_lossy(&self.0);
        let cached_tokens = after_last(&text, CACHED_TOKENS_KEY)
            .and_then(leading_number)
            .unwrap_or(0);
        let load = after_last(&text, LOAD_COMMENT)
            .and_then(|rest| rest.lines().next())
            .and_then(|line| load_report::parse(line, columns));
        AttemptReport {
            cached_tokens,
            load,
            ..Outcome::Completed.into()
        }
    }
}

/// Returns the text after the last occurrence of `marker`.
fn after_last<'a>(text: &'a str, marker: &str) -> Option<&'a str> {
    text.rfind(marker).map(|at| &text[at + marker.len()..])
}

/// Returns the number at the beginning of a text, after any white space.
fn leading_number(text: &str) -> Option<u64> {
    let digits: String = text
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

#[cfg(test)]
mod tests;
