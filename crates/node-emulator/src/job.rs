//! The jobs of a node and the outcomes of submitting them.

/// The id of a job, which is one attempt of a shard request at a node. It is assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// The outcome of submitting a job to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job started on a free core.
    Started,
    /// The job waits in the queue for a core.
    Queued,
    /// The job was refused without being executed, as the queue is full or the node is draining.
    Refused,
    /// The node is down.
    Unreachable,
    /// The job overloads the node during warm-up. The caller has to crash the node.
    Collapsed,
}

/// A running or queued job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub id: JobId,
    /// The duration at full capacity, in microseconds.
    pub work_us: u64,
}
