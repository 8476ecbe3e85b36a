//! Verdicts of a probation, with the counts that support them. The messages are shown to operators and sent to the
//! configuration service.

use routing::TimeSpan;
use thiserror::Error;

/// The result of one evaluation of a probation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No verdict has been reached.
    Pending,
    /// The version passed its probation.
    Proven,
    /// The probation ended without a verdict.
    Unproven(UnprovenReason),
    /// The version makes queries fail.
    Failed(ProbationFailure),
    /// The probation has just been paused because nodes are failing.
    Paused(NodeLoss),
}

/// The reason why a probation ended without a verdict.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum UnprovenReason {
    /// Fewer queries ended than are needed for a verdict.
    #[error("{ended} queries ended, {required} are needed")]
    TooFewQueries {
        /// The number of queries that ended under the version.
        ended: u64,
        /// The minimum number of queries for a verdict.
        required: u64,
    },
    /// The counts did not allow a verdict: the share of failed queries was higher than before but within noise, or
    /// nodes failed intermittently.
    #[error("more queries failed than before, but not beyond noise, or nodes failed on and off")]
    Inconclusive,
    /// Nodes were still failing when the maximum duration of the probation was reached.
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
    /// The number of queries that failed on healthy nodes under the version.
    pub failed: u64,
    /// The number of queries that ended under the version.
    pub ended: u64,
    /// The duration over which `failed` and `ended` were counted.
    pub observed: TimeSpan,
    /// The number of queries that failed on healthy nodes in the baseline window before the version.
    pub failed_before: u64,
    /// The number of queries that ended in the baseline window before the version.
    pub ended_before: u64,
}

/// The counts that indicate failing nodes.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error(
    "nodes are failing ({ready} ready, {ready_before} before; \
     {failed_on_nodes} of {ended} queries found a node down)"
)]
pub struct NodeLoss {
    /// The number of nodes that are ready.
    pub ready: u64,
    /// The number of nodes that were ready before the version was applied.
    pub ready_before: u64,
    /// The number of failed queries with an attempt whose node was down or whose connection was lost.
    pub failed_on_nodes: u64,
    /// The number of queries that ended.
    pub ended: u64,
}
