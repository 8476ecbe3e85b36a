//! State that is persisted across restarts.

use crate::version::VersionId;

/// State of the version history that must survive a restart, if the broker has a state file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistedState {
    /// The version that was confirmed last, which the broker runs after a restart.
    pub confirmed: VersionId,
    /// The highest number accepted so far.
    pub highest_accepted: u64,
    /// Versions that were withdrawn and must not be applied again.
    pub withdrawn: Vec<WithdrawnVersion>,
    /// The version on probation, or `None` if no probation is in progress or was interrupted.
    pub probation_attempt: Option<ProbationAttempt>,
}

/// A version whose contents are not accepted again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithdrawnVersion {
    /// The number and digest of the version.
    pub version: VersionId,
    /// The reason for the withdrawal. It is kept as text because it may have been stored by an earlier process.
    pub reason: String,
}

/// A version on probation, with the number of processes that applied it and did not finish its probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbationAttempt {
    /// The version on probation.
    pub version: VersionId,
    /// The number of processes that applied the version and did not finish its probation, including the current one.
    pub unfinished_runs: u32,
}

impl PersistedState {
    /// Creates the state of a broker that has accepted no version other than the one it runs.
    pub fn of(running: VersionId) -> PersistedState {
        PersistedState {
            confirmed: running,
            highest_accepted: running.number,
            withdrawn: Vec::new(),
            probation_attempt: None,
        }
    }
}
