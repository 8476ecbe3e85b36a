//! What a simulation is made of, beside its plan.

use crate::fault_injector::FaultInjector;
use fault_scenarios::{ClientBehavior, ScheduledAction};
use node_emulator::CancelPolicy;
use std::fmt;

/// What a simulated broker decides by. The former names of the values (`module`, `door`) are still accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum RoutingPolicy {
    /// The product's routing decisions.
    #[value(name = "product", alias = "module")]
    Product,
    /// Each shard request to a replica drawn at random, once.
    Random,
    /// The design's ordinary path, without the exceptions that the product makes.
    Design,
    /// The product's routing decisions behind admission control: quotas of tenants, an adaptive rate, a retry
    /// budget.
    #[value(name = "admission-control", aliases = ["admission-controller", "door"])]
    AdmissionController,
}

impl RoutingPolicy {
    /// The policy as JSON figures name it. Scripts read these words, so they stay.
    pub fn key(self) -> &'static str {
        match self {
            RoutingPolicy::Product => "Module",
            RoutingPolicy::Random => "Random",
            RoutingPolicy::Design => "Design",
            RoutingPolicy::AdmissionController => "Door",
        }
    }
}

impl fmt::Display for RoutingPolicy {
    /// As the command line names it.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            RoutingPolicy::Product => "product",
            RoutingPolicy::Random => "random",
            RoutingPolicy::Design => "design",
            RoutingPolicy::AdmissionController => "admission-control",
        })
    }
}

/// What a simulation is made of, beside its plan.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// How many brokers there are.
    pub brokers: u32,
    /// What they decide by.
    pub policy: RoutingPolicy,
    /// Where all random numbers of the day come from.
    pub seed: u64,
    /// How many placement groups the nodes are in, by turns.
    pub placement_groups: u32,
    /// Cores of a node.
    pub cores: usize,
    /// After how many jobs a started node is warm; none: it warms up with time.
    pub warm_jobs: Option<u32>,
    /// What a node does with work that is cancelled.
    pub cancel: CancelPolicy,
}

/// The faults of a day, and what its clients do.
pub struct FaultSchedule {
    /// Applies them.
    pub injector: FaultInjector,
    /// In the order of their times.
    pub actions: Vec<ScheduledAction>,
    /// What clients do with the responses they get.
    pub clients: ClientBehavior,
}
