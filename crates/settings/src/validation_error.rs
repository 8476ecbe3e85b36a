//! One thing wrong in a settings document, with the key that it stands at.

use thiserror::Error;

/// One thing wrong in a settings document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ValidationError {
    /// There is no such key.
    #[error("`{field}` is unknown: `{nearest}` is the nearest key")]
    UnknownKey {
        /// Where the key stands, such as `Tenants[1].QuotaRPS`.
        field: String,
        /// The most similar key that there is.
        nearest: &'static str,
    },
    /// A key that is needed is not there.
    #[error("`{field}` is missing: {allowed} is needed")]
    MissingKey {
        /// Where the key should stand.
        field: String,
        /// What it should hold.
        allowed: String,
    },
    /// A value is not allowed, by itself or with the others.
    #[error("`{field}` is {found}: {allowed} is allowed")]
    InvalidValue {
        /// Where the value stands.
        field: String,
        /// The value, shortened.
        found: String,
        /// What would be allowed.
        allowed: String,
    },
    /// The value is allowed, but a running broker can't take it over.
    #[error("`{field}` is {found}, the broker runs with {running}: that needs a restart")]
    NeedsRestart {
        /// Where the value stands.
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
