//! What a probation concludes, with the counts that it rests on. The texts are shown to operators and sent
//! to the configuration service.

use routing::TimeSpan;
use thiserror::Error;

/// The conclusion of one look at the counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not decided yet.
    Pending,
    /// The version passed.
    Proven,
    /// The probation ended without a verdict.
    Unproven(UnprovenReason),
    /// The version makes queries fail.
    Failed(ProbationFailure),
    /// The probation has just been paused.
    Paused(NodeLoss),
}

/// Why a probation ended without a verdict.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum UnprovenReason {
    /// Too few queries ended to judge by.
    #[error("{ended} queries ended, {required} are needed")]
    TooFewQueries {
        /// Queries that ended.
        ended: u64,
        /// The least number to judge by.
        required: u64,
    },
    /// The counts pointed neither way for long enough.
    #[error("more queries failed than before, but not beyond noise, or nodes failed on and off")]
    Inconclusive,
    /// Nodes were failing until the end.
    #[error("nodes were failing until the end")]
    NodesFailing,
}

/// The counts by which a version failed its probation.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error(
    "{failed} of {ended} queries failed in {:.1} s, {failed_before} of {ended_before} before it",
    observed.as_ms() / 1000.0
)]
pub struct ProbationFailure {
    /// Queries that failed on healthy nodes under the version.
    pub failed: u64,
    /// Queries that ended under the version.
    pub ended: u64,
    /// How long these were counted.
    pub observed: TimeSpan,
    /// Queries that failed on healthy nodes in the span before the version.
    pub failed_before: u64,
    /// Queries that ended in the span before the version.
    pub ended_before: u64,
}

/// The counts by which nodes are held to be failing.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error(
    "nodes are failing ({ready} ready, {ready_before} before; \
     {failed_on_nodes} of {ended} queries found a node down)"
)]
pub struct NodeLoss {
    /// Nodes that are ready.
    pub ready: u64,
    /// Nodes that were ready before the version.
    pub ready_before: u64,
    /// Queries that found a node down.
    pub failed_on_nodes: u64,
    /// Queries that ended.
    pub ended: u64,
}
