//! Streamed chat responses.

use std::collections::VecDeque;
use std::time::Duration;

use cranetack_inference_api::events::event_data;
use cranetack_inference_api::{EventSplitter, InvalidEventStream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::error::{decode_api_error, Error};
use crate::types::ChatChunk;

/// A streamed chat response. Dropping it closes its connection, which cancels the request.
pub struct ChatStream {
    body: Incoming,
    _connection: Connection,
    idle_timeout: Duration,
    events: EventSplitter,
    /// Data of the events that were received but not yet returned.
    pending: VecDeque<String>,
    ended: bool,
}

impl ChatStream {
    pub(crate) fn new(
        body: Incoming,
        connection: Connection,
        idle_timeout: Duration,
    ) -> ChatStream {
        ChatStream {
            body,
            _connection: connection,
            idle_timeout,
            events: EventSplitter::default(),
            pending: VecDeque::new(),
            ended: false,
        }
    }

    /// Returns the next event, or `None` at the end of a complete response. After an error from the
    /// service or from the connection, further calls return `None`.
    pub async fn next(&mut self) -> Option<Result<ChatChunk, Error>> {
        loop {
            if let Some(data) = self.pending.pop_front() {
                return Some(self.decode_chunk(&data));
            }
            if self.ended {
                return None;
            }
            match self.read_events().await {
                Ok(true) => {}
                Ok(false) => self.ended = true,
                Err(error) => {
                    self.ended = true;
                    return Some(Err(error));
                }
            }
        }
    }

    /// Reads further events. Returns `false` at the end of the response.
    async fn read_events(&mut self) -> Result<bool, Error> {
        let frame = timeout(self.idle_timeout, self.body.frame())
            .await
            .map_err(|_| Error::StreamBroken)?;
        let Some(Ok(frame)) = frame else {
            // After the last event the response is complete, also if the connection fails then.
            return if self.events.is_done() {
                Ok(false)
            } else {
                Err(Error::StreamBroken)
            };
        };
        let Ok(data) = frame.into_data() else {
            return Ok(true);
        };
        let malformed = |error: InvalidEventStream| Error::Malformed(error.to_string());
        if let Some(complete) = self.events.push(&data).map_err(malformed)? {
            self.pending
                .extend(event_data(&complete).map_err(malformed)?);
        }
        Ok(true)
    }

    /// Decodes the data of an event, which is a chunk or an error of the service.
    fn decode_chunk(&mut self, data: &str) -> Result<ChatChunk, Error> {
        #[derive(serde::Deserialize)]
        struct ErrorEvent {
            #[serde(rename = "error")]
            _error: serde::de::IgnoredAny,
        }
        if serde_json::from_str::<ErrorEvent>(data).is_ok() {
            self.ended = true;
            self.pending.clear();
            return Err(Error::Api {
                status: 200,
                error: decode_api_error(data.as_bytes()),
                retry_after: None,
            });
        }
        serde_json::from_str(data).map_err(|error| Error::Malformed(error.to_string()))
    }

    /// Reads the stream to its end and returns the complete text of the first choice.
    pub async fn text(mut self) -> Result<String, Error> {
        let mut text = String::new();
        while let Some(chunk) = self.next().await {
            text.push_str(chunk?.text());
        }
        Ok(text)
    }
}
