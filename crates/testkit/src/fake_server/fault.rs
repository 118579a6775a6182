//! How a fake server answers a request: by its own setting, or as the request asks for.

use std::time::Duration;

use serde::Deserialize;

/// What a fake server does with a request that has its slot.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Answers by its path: vectors, scores, or a chat stream.
    Answer,
    /// Processes the prompt, as a prefill server does.
    #[serde(rename = "read")]
    Prefill,
    /// Begins to work and never ends.
    Hang,
    /// Closes the connection once the request is received.
    #[serde(rename = "break")]
    CloseConnection,
    /// Streams one event and closes the connection.
    #[serde(rename = "break_stream")]
    TruncateStream,
    /// Streams events without end, and keeps its slot all the while.
    #[serde(rename = "stream_on")]
    StreamEndlessly,
    /// Rejects the request, saying that it has not run.
    #[serde(rename = "full")]
    Reject,
    /// Answers with an error, and may have run.
    Error,
}

/// How an answer is malformed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MalformedAnswer {
    /// The last item has no result, or the stream no end.
    #[serde(rename = "missing")]
    MissingItem,
    /// The first item has two results.
    #[serde(rename = "doubled")]
    DuplicateItem,
    /// A result belongs to no item.
    #[serde(rename = "out_of_range")]
    IndexOutOfRange,
    /// A result is not a number.
    #[serde(rename = "nan")]
    NotANumber,
    /// The answer is not JSON.
    NotJson,
}

/// What the body of a request asks of the server, in a field `toy` that a router passes on without
/// reading it: `{"does": "break", "on": 6, "times": 1}` closes the connection at the slice of a
/// batch whose id ends in `.6`, once.
#[derive(Deserialize, Clone, Copy, Default)]
#[serde(default)]
pub(super) struct RequestedFault {
    #[serde(rename = "does")]
    pub(super) behaviour: Option<Behaviour>,
    #[serde(rename = "spoils")]
    pub(super) malformed: Option<MalformedAnswer>,
    #[serde(rename = "ms")]
    service_time_ms: Option<u64>,
    #[serde(rename = "on")]
    slice: Option<u64>,
    /// How often the request may be received before the fault no longer applies.
    #[serde(rename = "times")]
    pub(super) repetitions: Option<usize>,
}

/// The part of a request's body that is meant for the fake server.
#[derive(Deserialize, Default)]
struct RequestBody {
    #[serde(default, rename = "toy")]
    requested: RequestedFault,
}

impl RequestedFault {
    /// Decodes the fault for the request with this id.
    pub(super) fn decode(id: &str, body: &[u8]) -> RequestedFault {
        let body: RequestBody = serde_json::from_slice(body).unwrap_or_default();
        let requested = body.requested;
        match requested.slice {
            Some(slice) if slice != slice_number(id) => requested.without_fault(),
            _ => requested,
        }
    }

    /// The same request for a service time, without a fault.
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

/// The number of a slice, at the end of the id of its request.
fn slice_number(id: &str) -> u64 {
    id.rsplit_once('.')
        .and_then(|(_, number)| number.parse().ok())
        .unwrap_or(0)
}

#[cfg(test)]
mod tests;
