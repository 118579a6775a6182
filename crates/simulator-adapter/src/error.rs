//! What can be wrong with a batch.

use cranetack_settings::SettingsError;

/// Why a batch cannot be handled. Each text names the position.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// The line is no batch.
    #[error("not a batch: {0}")]
    NotABatch(serde_json::Error),
    /// A message of an inbox cannot be handled.
    #[error("dispatcher {router}, message {number} of its inbox: {error}")]
    InMessage {
        /// The instance.
        router: u64,
        /// The message's position in the inbox, from 1.
        number: usize,
        /// What is wrong with it.
        error: Box<WireError>,
    },
    /// A message has no name.
    #[error("a message must begin with its name")]
    Unnamed,
    /// A message has an unknown name.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A message is for an instance that does not exist.
    #[error("{0:?} before any \"attach\"")]
    NotAttached(String),
    /// A value is not what it should be.
    #[error("message {message:?}, value {number}: wanted {wanted}, got {got}")]
    UnexpectedValue {
        /// The message's name.
        message: String,
        /// The value's position, from 1.
        number: usize,
        /// What it should be.
        wanted: &'static str,
        /// What it is, shortened.
        got: String,
    },
    /// The settings cannot be decoded.
    #[error("settings: {0}")]
    SettingsForm(serde_json::Error),
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A catalog has an entry of the wrong form.
    #[error("an entry of a catalog must be an array")]
    EntryForm,
    /// A catalog names a kind or zone that the settings do not have.
    #[error("catalog entry {entry:?}: unknown {what} {name:?}")]
    UnknownName {
        /// The entry's endpoint.
        entry: String,
        /// What is named.
        what: &'static str,
        /// The name.
        name: String,
    },
}
