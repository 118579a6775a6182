//! Errors in the batches that the adapter reads.

use cranetack_settings::SettingsError;

/// Error in a batch. Each message names the position of the error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// The line is not a JSON batch.
    #[error("not a batch: {0}")]
    NotABatch(serde_json::Error),
    /// A message of an inbox cannot be handled.
    #[error("dispatcher {router}, message {number} of its inbox: {error}")]
    InMessage {
        /// The number of the router that the message is for.
        router: u64,
        /// The position of the message in the inbox, from 1.
        number: usize,
        /// The error in the message.
        error: Box<WireError>,
    },
    /// A message has no name.
    #[error("a message must begin with its name")]
    MissingMessageName,
    /// A message has an unknown name.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A message is for a router that has not been attached or has been killed.
    #[error("message {0:?} before any \"attach\"")]
    NotAttached(String),
    /// A value of a message has the wrong type or is out of range.
    #[error("message {message:?}, value {number}: expected {expected}, got {actual}")]
    UnexpectedValue {
        /// The name of the message.
        message: String,
        /// The position of the value after the name, from 1.
        number: usize,
        /// The valid values, in words.
        expected: &'static str,
        /// The value in the message, cut to a maximum length.
        actual: String,
    },
    /// The settings of an "attach" message cannot be decoded.
    #[error("settings: {0}")]
    MalformedSettings(serde_json::Error),
    /// The settings contain an unknown value or a number out of range.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An entry of a catalog is not an array.
    #[error("an entry of a catalog must be an array")]
    EntryNotAnArray,
    /// An entry of a catalog names a kind or zone that the settings do not list.
    #[error("catalog entry {entry:?}: unknown {category} {name:?}")]
    UnknownName {
        /// The endpoint of the entry.
        entry: String,
        /// What the name stands for: "kind" or "zone".
        category: &'static str,
        /// The unknown name.
        name: String,
    },
}
