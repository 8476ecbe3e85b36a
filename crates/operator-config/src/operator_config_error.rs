//! Errors in the operator's file.

use thiserror::Error;

/// Error in the operator's file. Lines are counted from 1.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OperatorConfigError {
    /// The text is not valid INI.
    #[error("line {line}, column {column}: invalid INI syntax: {reason}")]
    Syntax {
        /// Line of the error.
        line: usize,
        /// Column of the error, counted from 1.
        column: usize,
        /// Message of the INI parser.
        reason: String,
    },
    /// A section is unknown.
    #[error("line {line}: unknown section [{section}]; did you mean [{nearest}]?")]
    UnknownSection {
        /// Line of the section's header.
        line: usize,
        /// Unknown section.
        section: String,
        /// Known section with the most similar name.
        nearest: &'static str,
    },
    /// A key is unknown in its section.
    #[error("line {line}: unknown key `{key}` in section [{section}]; did you mean `{nearest}`?")]
    UnknownKey {
        /// Line of the key.
        line: usize,
        /// Section that contains the key.
        section: String,
        /// Unknown key.
        key: String,
        /// Known key of the section with the most similar name.
        nearest: &'static str,
    },
    /// A key is set more than once.
    #[error("line {line}: `{key}` in section [{section}] is set more than once, first on this line")]
    DuplicateKey {
        /// Line of the first occurrence of the key.
        line: usize,
        /// Section that contains the key.
        section: String,
        /// Duplicate key.
        key: String,
    },
    /// A value has the wrong type or is out of its range.
    #[error("line {line}: `{key}` in section [{section}] is `{found}`, expected {allowed}")]
    InvalidValue {
        /// Line of the key, or of the section's header if admission control rejects the value.
        line: usize,
        /// Section that contains the key.
        section: String,
        /// Key with the invalid value.
        key: String,
        /// Value that was found.
        found: String,
        /// Allowed values of the key, as a phrase.
        allowed: String,
    },
    /// A key is missing that other keys of its section require.
    #[error("`{key}` is missing in section [{section}]: the other keys of the section require it")]
    MissingKey {
        /// Section that lacks the key.
        section: &'static str,
        /// Missing key, followed by ` = ` and its value if only one value is possible.
        key: &'static str,
    },
    /// An upper bound is less than the value it limits.
    #[error("`{key}` in section [control] is less than `{lower_key}`, expected at least the same value")]
    WrongOrder {
        /// Key whose value is the upper bound.
        key: &'static str,
        /// Key whose value must not exceed the upper bound.
        lower_key: &'static str,
    },
}
