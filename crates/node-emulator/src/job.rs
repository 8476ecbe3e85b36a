//! The jobs of a node.

/// One attempt of a shard request at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// What became of a job that was submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It runs.
    Started,
    /// It waits for a core.
    Queued,
    /// Refused unseen: the queue is full, or the node is draining.
    Refused,
    /// There is no process.
    Unreachable,
    /// By this job the node collapses: its driver is to crash it now.
    Collapsed,
}

/// A job that runs or waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    /// Its name.
    pub id: JobId,
    /// Microseconds of work at full speed.
    pub work_us: u64,
}
