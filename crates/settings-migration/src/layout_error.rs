//! One error in a shape file.

use thiserror::Error;

/// One error in a shape file.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum LayoutError {
    /// The text is no INI.
    #[error("line {line}: {reason}")]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// The parser's words.
        reason: String,
    },
    /// There is no such key.
    #[error("`{key}` is no key of [{section}]: `{nearest}` is the nearest")]
    UnknownKey {
        /// The section of the key.
        section: String,
        /// The key.
        key: String,
        /// The most similar key that there is, with its section.
        nearest: String,
    },
    /// A value is not allowed.
    #[error("`{key}` of [{section}] is `{found}`: {allowed} is allowed")]
    InvalidValue {
        /// The section of the key.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// The value.
        found: String,
        /// What would be allowed.
        allowed: String,
    },
}
