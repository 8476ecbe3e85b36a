//! States of a rollout, and the events that change them.

/// Whether the running version is on probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The running version is confirmed or is the broker's own file; no probation is in progress.
    Settled,
    /// The running version was applied and is being observed until its verdict.
    OnProbation,
}

/// The result of comparing an offer with the known versions, or the verdict of a probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionEvent {
    /// The offer cannot be read or applied.
    Invalid,
    /// The service has no version for the installation.
    Empty,
    /// The offered contents were withdrawn earlier.
    Withdrawn,
    /// The offered number was accepted earlier with other contents.
    Forked,
    /// The offered number does not exceed the highest accepted number.
    Older,
    /// The offered version is the running version.
    Unchanged,
    /// The offer has a higher number and the running contents.
    Renumbered,
    /// The offer has a higher number and the contents that were confirmed last, while other contents are on
    /// probation.
    Reverted,
    /// The offer has a higher number and other contents.
    Newer,
    /// The running version passed its probation.
    Proven,
    /// The probation ended without a verdict.
    Unproven,
    /// The running version failed its probation.
    Failed,
    /// The probation was paused because nodes are failing.
    Paused,
}
