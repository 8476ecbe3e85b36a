//! Counts of query outcomes, which a probation evaluates.

/// Cumulative outcomes of the queries of the running version since it was applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// The number of queries that ended.
    pub ended: u64,
    /// The number of ended queries that were late, failed or rejected.
    pub failed: u64,
    /// The number of failed queries with an attempt whose node was down or whose connection was lost.
    pub failed_on_nodes: u64,
    /// The number of nodes that are currently ready.
    pub ready_nodes: u64,
}

impl Sample {
    /// Adds the counts of both samples, and takes the larger number of ready nodes.
    pub(crate) fn merge(self, other: Sample) -> Sample {
        Sample {
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
            failed_on_nodes: self.failed_on_nodes + other.failed_on_nodes,
            ready_nodes: self.ready_nodes.max(other.ready_nodes),
        }
    }

    /// Returns the counts added since `earlier`.
    pub(crate) fn since(self, earlier: Sample) -> Sample {
        Sample {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            failed_on_nodes: self.failed_on_nodes.saturating_sub(earlier.failed_on_nodes),
            ready_nodes: self.ready_nodes,
        }
    }

    /// Returns the number of queries that failed although their nodes were up.
    pub(crate) fn failed_on_healthy_nodes(self) -> u64 {
        self.failed.saturating_sub(self.failed_on_nodes)
    }
}
