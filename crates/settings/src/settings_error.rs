//! Errors of parsing settings.

use thiserror::Error;

/// Error of [`crate::read`].
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON, a required key is missing, or a value has the wrong type.
    #[error("settings: {0}")]
    Syntax(#[source] serde_json::Error),
    /// A list has fewer items than there are request classes.
    #[error("settings: `{key}` is too short")]
    ListTooShort {
        /// Key of the list, without the path of the object that contains it.
        key: &'static str,
    },
    /// A request class has an unknown `Effect`.
    #[error("settings: `Effect` is `{effect}`")]
    UnknownEffect {
        /// Value that was found.
        effect: String,
    },
    /// There are more request classes than class ids.
    #[error("settings: too many request classes")]
    TooManyClasses,
}
