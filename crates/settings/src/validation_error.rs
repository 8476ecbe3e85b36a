//! Errors found by the validation of settings documents.

use thiserror::Error;

/// Error in a settings document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ValidationError {
    /// The settings have no such key.
    #[error("`{field}` is unknown: `{nearest}` is the nearest key")]
    UnknownKey {
        /// Path of the key, such as `Tenants[1].QuotaRPS`.
        field: String,
        /// Known key that is most similar.
        nearest: &'static str,
    },
    /// A required key is missing.
    #[error("`{field}` is missing: {allowed} is needed")]
    MissingKey {
        /// Path of the missing key.
        field: String,
        /// Allowed values of the key, as a phrase.
        allowed: String,
    },
    /// A value is out of its range or of the wrong type, or conflicts with another value.
    #[error("`{field}` is {found}: {allowed} is allowed")]
    InvalidValue {
        /// Path of the key.
        field: String,
        /// Value that was found, possibly shortened.
        found: String,
        /// Allowed values of the key, as a phrase.
        allowed: String,
    },
    /// A value is valid, but a running broker can't apply it without a restart.
    #[error("`{field}` is {found}, the broker runs with {running}: that needs a restart")]
    NeedsRestart {
        /// Path of the key.
        field: String,
        /// New value.
        found: String,
        /// Value that the broker runs with.
        running: String,
    },
}

impl ValidationError {
    /// Returns the error of an invalid value.
    pub(crate) fn invalid(
        field: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> ValidationError {
        ValidationError::InvalidValue { field: field.into(), found: found.into(), allowed: allowed.into() }
    }
}
