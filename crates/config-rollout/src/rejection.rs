//! Why a version is rejected or withdrawn. The texts are shown to operators, sent to the configuration
//! service (as the detail of a NACK), and stored with withdrawn versions.

use crate::verdict::ProbationFailure;
use crate::version::Digest;
use routing::Timestamp;
use thiserror::Error;

/// The last version that was rejected or withdrawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Its number, where that could be read.
    pub number: Option<u64>,
    /// Why.
    pub reason: RejectionReason,
    /// When.
    pub at: Timestamp,
}

/// Why a version is rejected or withdrawn.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RejectionReason {
    /// It can't be read or applied; the words are those of whoever read it.
    #[error("{0}")]
    Invalid(String),
    /// Its contents were withdrawn earlier.
    #[error("these contents were withdrawn as version {number}: {reason}")]
    Withdrawn {
        /// The number under which they were withdrawn.
        number: u64,
        /// Why; a text, as it may come from the stored state.
        reason: String,
    },
    /// Its number is known with other contents.
    #[error("a fork: version {number} is {} here, not {}", known.short(), offered.short())]
    Forked {
        /// The number.
        number: u64,
        /// The digest known under it.
        known: Digest,
        /// The digest that was offered.
        offered: Digest,
    },
    /// Its number is not above the highest that was accepted.
    #[error("version {number} is older than version {highest}, accepted before")]
    Older {
        /// The offered number.
        number: u64,
        /// The highest number accepted.
        highest: u64,
    },
    /// The process ended too often during its probation.
    #[error("the broker process ended {ends} times while it was on probation")]
    ProcessEnded {
        /// How often.
        ends: u32,
    },
    /// It failed its probation.
    #[error(transparent)]
    FailedProbation(#[from] ProbationFailure),
}
