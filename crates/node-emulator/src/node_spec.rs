//! What a node is made of.

use routing::TimeSpan;

/// The capacity of a node, how it warms up and what makes it collapse.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSpec {
    /// Jobs that run at once.
    pub cores: usize,
    /// Jobs that wait at the most; one more is refused.
    pub queue_capacity: usize,
    /// Just started it has this share of its capacity...
    pub initial_capacity_share: f64,
    /// ...and all of it after this; between, its share grows linearly.
    pub warm_up_period: TimeSpan,
    /// Sent more than this multiple of its capacity while it warms up...
    pub overload_factor: f64,
    /// ...over this long, it collapses.
    pub overload_window: TimeSpan,
    /// So many completed jobs warm it up, however long that takes; none: time does.
    pub warm_up_jobs: Option<u32>,
    /// What a cancelled job costs.
    pub cancel: CancelPolicy,
}

/// What a job that is cancelled costs from then on. `fault_scenarios::CancelBehavior` is the same in a scenario's
/// text: neither package depends on the other, and the bench translates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CancelPolicy {
    /// Nothing, wherever it was.
    #[default]
    DropAll,
    /// A waiting job is dropped; a running one goes on to its end.
    DropQueued,
    /// Both go on, for nobody.
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
