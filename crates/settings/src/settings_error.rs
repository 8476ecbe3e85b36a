//! Why a broker can't be configured from a settings text.

use thiserror::Error;

/// Why [`crate::read`] makes nothing of a settings text.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is no JSON, or a key has a value of the wrong type or is missing.
    #[error("settings: {0}")]
    Syntax(#[source] serde_json::Error),
    /// A list that needs one item for each request class has fewer.
    #[error("settings: `{key}` is too short")]
    ListTooShort {
        /// The list's key, without the object that it is in.
        key: &'static str,
    },
    /// A request class has an unknown `Effect`.
    #[error("settings: `Effect` is `{effect}`")]
    UnknownEffect {
        /// The value in the text.
        effect: String,
    },
    /// There are more request classes than class ids.
    #[error("settings: too many request classes")]
    TooManyClasses,
}
