//! What outlives the process.

use crate::version::VersionId;

/// What must outlive the process, where there is a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistedState {
    /// The version that a restart goes on with.
    pub confirmed: VersionId,
    /// The highest number accepted.
    pub highest_accepted: u64,
    /// Versions that were withdrawn.
    pub withdrawn: Vec<WithdrawnVersion>,
    /// The version on probation, if there is one.
    pub probation_attempt: Option<ProbationAttempt>,
}

/// A version whose contents are not taken again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithdrawnVersion {
    /// The version.
    pub version: VersionId,
    /// Why it was withdrawn, as text: it may have been stored by an earlier process.
    pub reason: String,
}

/// A version on probation, and how often it was applied by a process that did not see its probation's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbationAttempt {
    /// The version.
    pub version: VersionId,
    /// How often it was applied so.
    pub unfinished_runs: u32,
}

impl PersistedState {
    /// The state of a broker that knows nothing but what it runs.
    pub fn of(running: VersionId) -> PersistedState {
        PersistedState {
            confirmed: running,
            highest_accepted: running.number,
            withdrawn: Vec::new(),
            probation_attempt: None,
        }
    }
}
