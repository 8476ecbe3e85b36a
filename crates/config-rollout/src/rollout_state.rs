//! The two states of a rollout, and the events that move it from one to the other.

/// Whether the running version is still on probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The running version is confirmed, or is the broker's own file.
    Settled,
    /// The running version was applied, and is observed until the verdict.
    OnProbation,
}

/// An offer as it compares with what is known, or the verdict of the probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionEvent {
    /// The offer can't be read or applied.
    Invalid,
    /// The service has no version for the installation.
    Empty,
    /// The offered contents were withdrawn earlier.
    Withdrawn,
    /// The offered number is known with other contents.
    Forked,
    /// The offered number is not above the highest that was accepted.
    Older,
    /// The offered version is the running one.
    Unchanged,
    /// A higher number with the contents that run.
    Renumbered,
    /// A higher number with the contents that were confirmed last, while others are on probation.
    Reverted,
    /// A higher number with other contents.
    Newer,
    /// The running version passed its probation.
    Proven,
    /// The probation ended without a verdict.
    Unproven,
    /// The running version failed its probation.
    Failed,
    /// The probation is paused.
    Paused,
}
