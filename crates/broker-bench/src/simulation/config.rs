//! The configuration of a simulation: policy, size and faults.

use crate::fault_injector::FaultInjector;
use fault_scenarios::{ClientBehavior, ScheduledAction};
use node_emulator::CancelPolicy;
use std::fmt;

/// The routing policy of simulated brokers. The former names of the values (`module`, `door`) are still accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum RoutingPolicy {
    /// The product's routing decisions.
    #[value(name = "product", alias = "module")]
    Product,
    /// A single attempt at each shard request, at a random replica.
    Random,
    /// The ordinary path of the design, without the product's exceptions from it.
    Design,
    /// The product's routing decisions behind admission control: quotas of tenants, an adaptive rate, a retry
    /// budget.
    #[value(name = "admission-control", aliases = ["admission-controller", "door"])]
    AdmissionController,
}

impl RoutingPolicy {
    /// Returns the name of the policy in JSON results, which scripts read. It differs from the command line's.
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
    /// Writes the name of the policy on the command line.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            RoutingPolicy::Product => "product",
            RoutingPolicy::Random => "random",
            RoutingPolicy::Design => "design",
            RoutingPolicy::AdmissionController => "admission-control",
        })
    }
}

/// The configuration of a simulation, without its plan.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of brokers, at least 1.
    pub brokers: u32,
    /// The routing policy of all brokers.
    pub policy: RoutingPolicy,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Number of placement groups; nodes are assigned to them round-robin.
    pub placement_groups: u32,
    /// Number of cores of each node.
    pub cores: usize,
    /// Number of jobs after which a started node is warm, or `None` if it warms up over time.
    pub warm_jobs: Option<u32>,
    /// How nodes treat cancelled jobs.
    pub cancel: CancelPolicy,
}

/// The faults of a run and the behavior of its clients.
pub struct FaultSchedule {
    /// The injector that applies the actions.
    pub injector: FaultInjector,
    /// Beginnings and ends of faults, ordered by time.
    pub actions: Vec<ScheduledAction>,
    /// How clients retry and when they leave.
    pub clients: ClientBehavior,
}
