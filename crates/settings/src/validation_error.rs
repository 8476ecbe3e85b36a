//! One error in a settings document, with the path of its key.

use thiserror::Error;

/// One error in a settings document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ValidationError {
    /// There is no such key.
    #[error("`{field}` is unknown: `{nearest}` is the nearest key")]
    UnknownKey {
        /// The path of the key, such as `Tenants[1].QuotaRPS`.
        field: String,
        /// The most similar key that there is.
        nearest: &'static str,
    },
    /// A key that is needed is not there.
    #[error("`{field}` is missing: {allowed} is needed")]
    MissingKey {
        /// The path at which the key is missing.
        field: String,
        /// What it should hold.
        allowed: String,
    },
    /// A value is not allowed, by itself or with the others.
    #[error("`{field}` is {found}: {allowed} is allowed")]
    InvalidValue {
        /// The path of the value.
        field: String,
        /// The value, shortened.
        found: String,
        /// What would be allowed.
        allowed: String,
    },
    /// The value is allowed, but a running broker can't take it over.
    #[error("`{field}` is {found}, the broker runs with {running}: that needs a restart")]
    NeedsRestart {
        /// The path of the value.
        field: String,
        /// The new value.
        found: String,
        /// The value that the broker runs with.
        running: String,
    },
}

impl ValidationError {
    /// A value that is not allowed.
    pub(crate) fn invalid(
        field: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> ValidationError {
        ValidationError::InvalidValue { field: field.into(), found: found.into(), allowed: allowed.into() }
    }
}
