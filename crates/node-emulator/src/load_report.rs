//! What a node says of its load.

use std::fmt;

/// The load of a node at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Jobs that wait.
    pub queued: usize,
    /// Jobs that completed in the last second.
    pub completed_per_s: usize,
    /// Jobs that wait or run.
    pub in_flight: usize,
}

impl fmt::Display for LoadReport {
    /// As the protocol has it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LoadReport { queued, completed_per_s, in_flight } = self;
        write!(formatter, "queue={queued},qps={completed_per_s},inflight={in_flight}")
    }
}
