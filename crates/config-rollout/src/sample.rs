//! Counts of how queries ended, the measure of a probation.

/// How queries of the running version ended, counted since it was applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Queries that ended.
    pub ended: u64,
    /// Of these: late, failed, or rejected.
    pub failed: u64,
    /// Of the failed ones: those with an attempt that found its node down, or lost its connection.
    pub failed_on_nodes: u64,
    /// Nodes that are ready now.
    pub ready_nodes: u64,
}

impl Sample {
    /// The sum of both counts, with the larger number of ready nodes.
    pub(crate) fn merge(self, other: Sample) -> Sample {
        Sample {
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
            failed_on_nodes: self.failed_on_nodes + other.failed_on_nodes,
            ready_nodes: self.ready_nodes.max(other.ready_nodes),
        }
    }

    /// What was counted after `earlier`.
    pub(crate) fn since(self, earlier: Sample) -> Sample {
        Sample {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            failed_on_nodes: self.failed_on_nodes.saturating_sub(earlier.failed_on_nodes),
            ready_nodes: self.ready_nodes,
        }
    }

    /// Queries that failed although their nodes were up.
    pub(crate) fn failed_on_healthy_nodes(self) -> u64 {
        self.failed.saturating_sub(self.failed_on_nodes)
    }
}
