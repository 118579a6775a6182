//! What makes settings unusable. Each text names the key or the value as the settings spell it.

/// A figure that cannot be meant.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{key}: {figure} is out of range, {expected}")]
pub struct OutOfRange {
    /// The key, from the settings' root.
    pub key: String,
    /// What it holds.
    pub figure: f64,
    /// What it may hold.
    pub expected: &'static str,
}

/// Why settings cannot be used.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A figure is out of range.
    #[error(transparent)]
    OutOfRange(#[from] OutOfRange),
    /// `report.how` has an unknown value.
    #[error("unknown way of reporting {0:?}")]
    UnknownReporting(String),
    /// `membership_mode` has an unknown value.
    #[error("unknown membership mode {0:?}")]
    UnknownMembershipMode(String),
    /// The `key_scope` of a keyed class has an unknown value.
    #[error("class {class:?}: unknown key scope")]
    UnknownKeyScope {
        /// The class.
        class: String,
    },
    /// The `idempotency` of a class has an unknown value.
    #[error("class {class:?}: unknown effect {value:?}")]
    UnknownIdempotency {
        /// The class.
        class: String,
        /// The value.
        value: String,
    },
    /// `domain.stage_of_kind` has an unknown value.
    #[error("unknown stage {0:?}")]
    UnknownRole(String),
}
