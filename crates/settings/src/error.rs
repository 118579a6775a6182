//! Errors in the settings. Each message spells the key and the value as the settings do.

/// Error for a number out of its range.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{key}: {value} is out of range, must be {expected}")]
pub struct OutOfRange {
    /// The path of the key from the root of the settings.
    pub key: String,
    /// The value in the settings.
    pub value: f64,
    /// The accepted range, in words.
    pub expected: &'static str,
}

/// Error in the settings.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A number is out of its range.
    #[error(transparent)]
    OutOfRange(#[from] OutOfRange),
    /// `report.how` has an unknown value.
    #[error("report.how: {0:?} is unknown, must be piggyback, pull or silent")]
    UnknownReporting(String),
    /// `membership_mode` has an unknown value.
    #[error("membership_mode: {0:?} is unknown, must be ask or push")]
    UnknownMembershipMode(String),
    /// The `key_scope` of a class with idempotency keys has an unknown value.
    #[error("class {class:?}: key_scope is unknown, must be all, zone or cell")]
    UnknownKeyScope {
        /// The name of the class.
        class: String,
    },
    /// The `idempotency` of a class has an unknown value.
    #[error("class {class:?}: idempotency {value:?} is unknown, must be safe, keyed or unsafe")]
    UnknownIdempotency {
        /// The name of the class.
        class: String,
        /// The unknown value.
        value: String,
    },
    /// `domain.stage_of_kind` has an unknown value.
    #[error("domain.stage_of_kind: {0:?} is unknown, must be read, write or both")]
    UnknownRole(String),
}
