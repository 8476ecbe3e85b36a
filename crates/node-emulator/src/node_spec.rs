//! The specification of an emulated node.

use routing::TimeSpan;

/// The capacity of a node, its warm-up, and the load at which it collapses.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSpec {
    /// The maximum number of jobs that run concurrently.
    pub cores: usize,
    /// The maximum number of queued jobs. Further jobs are refused.
    pub queue_capacity: usize,
    /// The capacity of a node that has just started, as a fraction of the full capacity, 0 to 1.
    pub initial_capacity_share: f64,
    /// The time after which a started node has its full capacity, which grows linearly until then.
    pub warm_up_period: TimeSpan,
    /// The multiple of its current capacity above which the work received within `overload_window` makes a node
    /// collapse during warm-up.
    pub overload_factor: f64,
    /// The time over which received work is summed for the collapse rule.
    pub overload_window: TimeSpan,
    /// The number of completed jobs after which the node has its full capacity, or `None` if the capacity grows with
    /// time, over `warm_up_period`.
    pub warm_up_jobs: Option<u32>,
    /// Determines which cancelled jobs the node drops.
    pub cancel: CancelPolicy,
}

/// The jobs that a node drops on cancellation. `fault_scenarios::CancelBehavior` is the corresponding type of
/// scenario files. Neither package depends on the other, so the benchmark converts between the two types.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CancelPolicy {
    /// Drops queued and running jobs.
    #[default]
    DropAll,
    /// Drops queued jobs. Running jobs are executed to completion.
    DropQueued,
    /// Drops no job. Cancelled jobs are executed, although no response is needed.
    DropNone,
}

impl Default for NodeSpec {
    fn default() -> NodeSpec {
        NodeSpec {
            cores: 4,
            queue_capacity: 64,
            initial_capacity_share: 0.2,
            warm_up_period: TimeSpan(170_000),
            overload_factor: 3.0,
            overload_window: TimeSpan(10_000),
            warm_up_jobs: None,
            cancel: CancelPolicy::DropAll,
        }
    }
}
