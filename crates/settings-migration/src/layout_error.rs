//! Errors in shape files.

use thiserror::Error;

/// Error in a shape file.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum LayoutError {
    /// The text is not valid INI.
    #[error("line {line}: invalid INI syntax: {reason}")]
    Syntax {
        /// Line of the error, counted from 1.
        line: usize,
        /// Message of the INI parser.
        reason: String,
    },
    /// A key is unknown in its section.
    #[error("unknown key `{key}` in section [{section}]; did you mean {nearest}?")]
    UnknownKey {
        /// Section that contains the key.
        section: String,
        /// Unknown key.
        key: String,
        /// Phrase with the most similar known key and its section.
        nearest: String,
    },
    /// A value has the wrong type or is out of its range.
    #[error("`{key}` in section [{section}] is `{found}`, expected {allowed}")]
    InvalidValue {
        /// Section that contains the key.
        section: &'static str,
        /// Key with the invalid value.
        key: &'static str,
        /// Value that was found.
        found: String,
        /// Allowed values of the key, as a phrase.
        allowed: String,
    },
}
