//! A chat answer as it comes.

use std::collections::VecDeque;
use std::time::Duration;

use cranetack_inference_api::events::event_data;
use cranetack_inference_api::{EventSplitter, InvalidEventStream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::call::{error_of, Error};
use crate::link::Link;
use crate::types::ChatChunk;

/// A chat answer as it comes. Dropping it closes its connection, which takes the request back.
pub struct ChatStream {
    body: Incoming,
    _link: Link,
    silence: Duration,
    events: EventSplitter,
    waiting: VecDeque<String>,
    over: bool,
}

impl ChatStream {
    pub(crate) fn new(body: Incoming, link: Link, silence: Duration) -> ChatStream {
        let (events, waiting) = (EventSplitter::default(), VecDeque::new());
        ChatStream {
            body,
            _link: link,
            silence,
            events,
            waiting,
            over: false,
        }
    }

    /// The next event; `None` at the end of a whole answer. After an error nothing comes.
    pub async fn next(&mut self) -> Option<Result<ChatChunk, Error>> {
        loop {
            if let Some(data) = self.waiting.pop_front() {
                return Some(self.chunk(&data));
            }
            if self.over {
                return None;
            }
            match self.fill().await {
                Ok(true) => {}
                Ok(false) => self.over = true,
                Err(error) => {
                    self.over = true;
                    return Some(Err(error));
                }
            }
        }
    }

    /// Waits for further events; `false` at the end.
    async fn fill(&mut self) -> Result<bool, Error> {
        let frame = timeout(self.silence, self.body.frame())
            .await
            .map_err(|_| Error::Broken)?;
        let Some(Ok(frame)) = frame else {
            // What breaks off after the end has been whole.
            return if self.events.is_done() {
                Ok(false)
            } else {
                Err(Error::Broken)
            };
        };
        let Ok(data) = frame.into_data() else {
            return Ok(true);
        };
        let unreadable = |e: InvalidEventStream| Error::Unreadable(e.to_string());
        if let Some(whole) = self.events.push(&data).map_err(unreadable)? {
            self.waiting.extend(event_data(&whole).map_err(unreadable)?);
        }
        Ok(true)
    }

    fn chunk(&mut self, data: &str) -> Result<ChatChunk, Error> {
        #[derive(serde::Deserialize)]
        struct IsError {
            #[serde(rename = "error")]
            _error: serde::de::IgnoredAny,
        }
        if serde_json::from_str::<IsError>(data).is_ok() {
            self.over = true;
            self.waiting.clear();
            return Err(Error::Api {
                status: 200,
                error: error_of(data.as_bytes()),
                retry_after: None,
            });
        }
        serde_json::from_str(data).map_err(|e| Error::Unreadable(e.to_string()))
    }

    /// The text of the first choice, whole.
    pub async fn text(mut self) -> Result<String, Error> {
        let mut text = String::new();
        while let Some(chunk) = self.next().await {
            text.push_str(chunk?.text());
        }
        Ok(text)
    }
}
