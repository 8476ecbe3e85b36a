//! One error in the operator's file.

use thiserror::Error;

/// One error in the operator's file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OperatorConfigError {
    /// The text is no INI.
    #[error("line {line}, column {column}: {reason}")]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// The parser's words.
        reason: String,
    },
    /// There is no such section.
    #[error("line {line}: [{section}] is no section: [{nearest}] is the nearest")]
    UnknownSection {
        /// The line, from 1.
        line: usize,
        /// The section.
        section: String,
        /// The most similar name that there is.
        nearest: &'static str,
    },
    /// There is no such key in its section.
    #[error("line {line}: `{key}` is no key of [{section}]: `{nearest}` is the nearest")]
    UnknownKey {
        /// The line, from 1.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The most similar name that there is.
        nearest: &'static str,
    },
    /// A key is stated more than once.
    #[error("line {line}: `{key}` stands twice in [{section}]")]
    DuplicateKey {
        /// The line, from 1.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A value is not allowed.
    #[error("line {line}: `{key}` of [{section}] is `{found}`: {allowed} is allowed")]
    InvalidValue {
        /// The line, from 1.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        found: String,
        /// What would be allowed.
        allowed: String,
    },
    /// A key is required by others of its section.
    #[error("[{section}] needs `{key}`")]
    MissingKey {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// A bound is less than what it bounds.
    #[error("`{key}` of [control] must be more than `{lower_key}`, or the same")]
    WrongOrder {
        /// The key.
        key: &'static str,
        /// The key of what it bounds.
        lower_key: &'static str,
    },
}
