//! Behaviours and faults of a fake server, which a test sets on the server or a request asks for in
//! its body.

use std::time::Duration;

use serde::Deserialize;

/// What a fake server does with a request that has got a slot.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Responds according to the path of the request: embeddings, scores, or a chat stream.
    Answer,
    /// Responds as a prefill endpoint that has processed the prompt.
    #[serde(rename = "read")]
    Prefill,
    /// Keeps the slot and never responds.
    Hang,
    /// Closes the connection without a response after the service time.
    #[serde(rename = "break")]
    CloseConnection,
    /// Streams one event and closes the connection.
    #[serde(rename = "break_stream")]
    TruncateStream,
    /// Streams events until the connection is closed. A release of the slot is recorded both when
    /// the stream begins and when it ends.
    #[serde(rename = "stream_on")]
    StreamEndlessly,
    /// Rejects the request with status 503 and a header that says that it was not executed.
    #[serde(rename = "full")]
    Reject,
    /// Responds with status 500. The request may have been executed.
    Error,
}

/// How a response is malformed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MalformedResponse {
    /// The result of the last item is missing, or the end of the chat stream.
    #[serde(rename = "missing")]
    MissingItem,
    /// The result of the first item is sent twice.
    #[serde(rename = "doubled")]
    DuplicateItem,
    /// The index of a result is beyond the last item.
    #[serde(rename = "out_of_range")]
    IndexOutOfRange,
    /// A score or a dimension of an embedding is `null` in place of a number.
    #[serde(rename = "nan")]
    NotANumber,
    /// The response body is not JSON.
    NotJson,
}

/// The fault that a request asks for in the field `toy` of its body, which a router passes on
/// unchanged. For example, `{"does": "break", "on": 6, "times": 1}` closes the connection once, at
/// the slice of a batch whose request id ends in `.6`.
#[derive(Deserialize, Clone, Copy, Default)]
#[serde(default)]
pub(super) struct RequestedFault {
    #[serde(rename = "does")]
    pub(super) behaviour: Option<Behaviour>,
    #[serde(rename = "spoils")]
    pub(super) malformed: Option<MalformedResponse>,
    #[serde(rename = "ms")]
    service_time_ms: Option<u64>,
    /// Number of the slice to which the fault is limited.
    #[serde(rename = "on")]
    slice: Option<u64>,
    /// Number of attempts with the same request id at this server to which the fault applies;
    /// further ones have no fault. Without it, the fault applies to all of them.
    #[serde(rename = "times")]
    pub(super) repetitions: Option<usize>,
}

/// The part of a request body that is meant for the fake server.
#[derive(Deserialize, Default)]
struct RequestBody {
    #[serde(default, rename = "toy")]
    requested: RequestedFault,
}

impl RequestedFault {
    /// Decodes the fault that applies to the request with this id.
    pub(super) fn decode(id: &str, body: &[u8]) -> RequestedFault {
        let body: RequestBody = serde_json::from_slice(body).unwrap_or_default();
        let requested = body.requested;
        match requested.slice {
            Some(slice) if slice != slice_number(id) => requested.without_fault(),
            _ => requested,
        }
    }

    /// Returns a copy that keeps the requested service time but has no fault.
    pub(super) fn without_fault(self) -> RequestedFault {
        RequestedFault {
            service_time_ms: self.service_time_ms,
            ..RequestedFault::default()
        }
    }

    pub(super) fn service_time(&self) -> Option<Duration> {
        self.service_time_ms.map(Duration::from_millis)
    }
}

/// Returns the slice number at the end of a request id, or 0 if the id has none.
fn slice_number(id: &str) -> u64 {
    id.rsplit_once('.')
        .and_then(|(_, number)| number.parse().ok())
        .unwrap_or(0)
}

#[cfg(test)]
mod tests;
