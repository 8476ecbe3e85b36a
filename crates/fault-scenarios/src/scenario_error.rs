//! What can be wrong with a scenario's text.

use crate::fault::FaultKind;
use thiserror::Error;

/// One error in a scenario's text. Lines count from 1.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ScenarioError {
    /// The text is not INI.
    #[error("line {line}: {reason}")]
    Syntax {
        /// The line.
        line: usize,
        /// What the INI parser says.
        reason: String,
    },
    /// A section has a key that it can't have.
    #[error("line {line}: unknown key `{key}` in [{section}]; did you mean `{nearest}`?")]
    UnknownKey {
        /// The line.
        line: usize,
        /// The section.
        section: String,
        /// The unknown key.
        key: String,
        /// The allowed key that is spelled most like it.
        nearest: &'static str,
    },
    /// A section has a key more than once.
    #[error("line {line}: `{key}` is given twice in [{section}]")]
    DuplicateKey {
        /// The line of the first one.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A key has a value that it can't have.
    #[error("line {line}: `{key}` of [{section}] is `{value}`; allowed: {allowed}")]
    InvalidValue {
        /// The line.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value as it was read.
        value: String,
        /// Which values are allowed.
        allowed: String,
    },
    /// A fault has a key that means nothing for its kind.
    #[error("line {line}: `{key}` of [{section}] does not apply to `{kind}`")]
    InapplicableKey {
        /// The line.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The fault's kind.
        kind: FaultKind,
    },
    /// A section lacks a key that it needs.
    #[error("line {line}: [{section}] needs `{key}`")]
    MissingKey {
        /// The section's line.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: &'static str,
    },
    /// The text has no section of a fault.
    #[error("no fault: a section with `what` is needed")]
    NoFaults,
}
