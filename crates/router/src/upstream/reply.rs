//! What workers say: outcomes from the heads of their answers, and load reports.

use cranetack_routing_policy::{LoadReport, Outcome, RejectReason};
use cranetack_settings::Report;
use http::{HeaderMap, StatusCode};
use serde::Deserialize;

use crate::core::AttemptReport;

/// The header, and the comment in a stream, that bears a load report.
const LOAD: &str = "x-load";
/// The header by which a server says that it has not run the request.
const NOT_RUN: &str = "x-not-run";

/// The head of an answer, decoded.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The answer follows.
    Stream,
    /// The prompt has been read; the body says how much of it was found kept.
    Read,
    /// The attempt has ended like this.
    Ended(Outcome),
}

/// What a server is asked for, and so which answers have a meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// To read a prompt: the state, not an answer.
    State,
    /// To answer the request.
    Answer,
}

/// The statuses that a server may give with the promise that it has not run the request.
const TURNED_AWAY: [StatusCode; 2] = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT];

impl Reply {
    /// Decodes the head of an answer to an attempt. What a server may not say to what it was asked proves nothing: it
    /// counts as an error, after which the request may have run. So does the promise of not having run it beside any
    /// status that the protocol does not give it.
    pub fn decode(expected: Expected, status: StatusCode, headers: &HeaderMap) -> Reply {
        let not_run = headers.get(NOT_RUN).is_some_and(|v| v.as_bytes() == b"1");
        match (expected, status) {
            (Expected::Answer, StatusCode::OK) => Reply::Stream,
            (Expected::State, StatusCode::ACCEPTED) => Reply::Read,
            (_, StatusCode::GONE) if not_run => {
                Reply::Ended(Outcome::Rejected(RejectReason::NoKvState))
            }
            (_, status) if not_run && TURNED_AWAY.contains(&status) => {
                Reply::Ended(Outcome::Rejected(RejectReason::Overloaded))
            }
            _ => Reply::Ended(Outcome::ServerError),
        }
    }
}

/// The prompt tokens that the body of a reader's answer says were kept.
pub fn kept_tokens(body: &[u8]) -> u64 {
    #[derive(Deserialize)]
    struct Body {
        cached_tokens: u64,
    }
    serde_json::from_slice::<Body>(body).map_or(0, |b| b.cached_tokens)
}

/// The load report among the headers of an answer.
pub fn load_of(headers: &HeaderMap, columns: &Report) -> Option<LoadReport> {
    headers
        .get(LOAD)
        .and_then(|v| v.to_str().ok())
        .and_then(|text| load(text, columns))
}

/// A load report: `TEXT name=figure, name=figure`. Guards against one that cannot be read, which would take the
/// place of the one before and make a server look as if it had never reported: that is none.
pub fn load(text: &str, columns: &Report) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    for pair in text.split([',', ' ', '\n']) {
        let Some((name, figure)) = pair.trim().split_once('=') else {
            continue;
        };
        let (name, figure) = (
            name.trim(),
            figure.trim().parse::<f64>().ok().filter(|f| f.is_finite()),
        );
        match name {
            "inflight" => load.in_flight = figure,
            "queue" => load.queued = figure,
            "util" => load.slot_utilization = figure,
            _ if columns.memory_column.as_deref() == Some(name) => load.memory_utilization = figure,
            _ if columns.pending_column.as_deref() == Some(name) => {
                load.pending_kilotokens = figure
            }
            _ => {}
        }
    }
    (load != LoadReport::default()).then_some(load)
}

/// The end of a stream, in which its last events tell what the answer used and how the worker fares.
#[derive(Default)]
pub struct Tail(Vec<u8>);

/// Bytes of a stream's end that are looked at: its last few events.
const TAIL: usize = 1_024;

impl Tail {
    /// Adds what has come.
    pub fn push(&mut self, data: &[u8]) {
        self.0.extend_from_slice(data);
        if self.0.len() > 2 * TAIL {
            self.0.drain(..self.0.len() - TAIL);
        }
    }

    /// What the end says of an attempt that was served.
    pub fn ended(&self, columns: &Report) -> AttemptReport {
        let text = String::from_utf8_lossy(&self.0);
        let after = |word: &str| text.rfind(word).map(|at| &text[at + word.len()..]);
        let digits = |t: &str| {
            t.trim_start()
                .chars()
                .take_while(char::is_ascii_digit)
                .collect::<String>()
        };
        let kept = after("\"cached_tokens\":")
            .and_then(|t| digits(t).parse().ok())
            .unwrap_or(0);
        let load = after(": X-LoadReport:")
            .and_then(|t| t.lines().next())
            .and_then(|line| load(line, columns));
        AttemptReport {
            cached_tokens: kept,
            load,
            ..Outcome::Completed.into()
        }
    }
}

#[cfg(test)]
mod tests;
