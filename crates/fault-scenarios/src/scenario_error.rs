//! Errors that are reported for a scenario file.

use crate::fault::FaultKind;
use thiserror::Error;

/// An error in a scenario file. Line numbers start at 1.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ScenarioError {
    /// The file is not valid INI.
    #[error("line {line}: {reason}")]
    Syntax {
        /// The line of the error.
        line: usize,
        /// The message of the INI parser.
        reason: String,
    },
    /// A section contains an unknown key.
    #[error("line {line}: unknown key `{key}` in [{section}]; did you mean `{nearest}`?")]
    UnknownKey {
        /// The line of the key.
        line: usize,
        /// The name of the section.
        section: String,
        /// The unknown key.
        key: String,
        /// The allowed key with the most similar spelling.
        nearest: &'static str,
    },
    /// A section contains a key more than once.
    #[error("line {line}: `{key}` is given twice in [{section}]")]
    DuplicateKey {
        /// The line of the first occurrence.
        line: usize,
        /// The name of the section.
        section: String,
        /// The name of the key.
        key: String,
    },
    /// The value of a key is not allowed.
    #[error("line {line}: `{key}` of [{section}] is `{value}`; allowed: {allowed}")]
    InvalidValue {
        /// The line of the key.
        line: usize,
        /// The name of the section.
        section: String,
        /// The name of the key.
        key: String,
        /// The value that was found.
        value: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// A fault has a key that does not apply to its kind.
    #[error("line {line}: `{key}` of [{section}] does not apply to `{kind}`")]
    InapplicableKey {
        /// The line of the key.
        line: usize,
        /// The name of the section.
        section: String,
        /// The name of the key.
        key: String,
        /// The kind of the fault.
        kind: FaultKind,
    },
    /// A section lacks a required key.
    #[error("line {line}: [{section}] needs `{key}`")]
    MissingKey {
        /// The line of the section header.
        line: usize,
        /// The name of the section.
        section: String,
        /// The missing key.
        key: &'static str,
    },
    /// The file contains no fault section.
    #[error("no fault: a section with `what` is needed")]
    NoFaults,
}
