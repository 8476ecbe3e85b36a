//! The load report of a node.

use std::fmt;

/// The load of a node at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of jobs in the queue.
    pub queued: usize,
    /// The number of jobs completed within the last second.
    pub completed_per_s: usize,
    /// The number of queued and running jobs.
    pub in_flight: usize,
}

impl fmt::Display for LoadReport {
    /// Formats the report as it is encoded in the protocol.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LoadReport { queued, completed_per_s, in_flight } = self;
        write!(formatter, "queue={queued},qps={completed_per_s},inflight={in_flight}")
    }
}
