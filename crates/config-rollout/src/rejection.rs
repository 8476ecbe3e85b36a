//! Reasons for rejecting or withdrawing a version. The messages are shown to operators, sent to the configuration
//! service as the detail of a NACK, and persisted with withdrawn versions.

use crate::verdict::ProbationFailure;
use crate::version::Digest;
use routing::Timestamp;
use thiserror::Error;

/// The most recent rejection or withdrawal of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The number of the version, or `None` if it could not be read.
    pub number: Option<u64>,
    /// The reason for the rejection or withdrawal.
    pub reason: RejectionReason,
    /// The time of the rejection or withdrawal.
    pub at: Timestamp,
}

/// The reason why a version is rejected or withdrawn.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RejectionReason {
    /// The version cannot be read or applied. The message is that of the reader of the response.
    #[error("{0}")]
    Invalid(String),
    /// The offered contents were withdrawn earlier.
    #[error("these contents were withdrawn as version {number}: {reason}")]
    Withdrawn {
        /// The number under which the contents were withdrawn.
        number: u64,
        /// The reason for the withdrawal. It is kept as text because it may come from the persisted state.
        reason: String,
    },
    /// The offered number was accepted earlier with other contents.
    #[error("a fork: version {number} is {} here, not {}", known.short(), offered.short())]
    Forked {
        /// The offered number.
        number: u64,
        /// The digest recorded for this number.
        known: Digest,
        /// The offered digest.
        offered: Digest,
    },
    /// The offered number does not exceed the highest accepted number.
    #[error("version {number} is older than version {highest}, accepted before")]
    Older {
        /// The offered number.
        number: u64,
        /// The highest number accepted so far.
        highest: u64,
    },
    /// The process ended too many times while the version was on probation.
    #[error("the broker process ended {ends} times while it was on probation")]
    ProcessEnded {
        /// The number of times that the process ended.
        ends: u32,
    },
    /// The version failed its probation.
    #[error(transparent)]
    FailedProbation(#[from] ProbationFailure),
}
