//! Sets up one run of a scenario, simulates it in virtual time or prepares it for sockets. The same scenario, size
//! and seed give the same digest, under any name of the scenario.

use crate::fault_injector::{FaultEffect, FaultInjector};
use crate::run_results::RunResults;
use crate::simulation::{FaultSchedule, RoutingPolicy, Simulation, SimulationConfig};
use crate::traffic::{self, NODE_CORES};
use cluster_trace::plan::{Plan, PlanEntry, PlanEvent, PlannedNodeEvent, ReplayConfig};
use fault_scenarios::{CancelBehavior, ClusterSize, FaultAction, NodeTransition, Scenario, ScheduledAction};
use node_emulator::CancelPolicy;
use routing::TimeSpan;
use thiserror::Error;

/// Number of nodes per placement group.
const NODES_PER_PLACEMENT_GROUP: u32 = 5;

/// One run of a scenario.
pub struct ScenarioRun<'a> {
    pub scenario: &'a Scenario,
    pub nodes: u32,
    pub brokers: u32,
    pub zones: u32,
    pub seed: u64,
    pub policy: RoutingPolicy,
}

/// The generated inputs of a run.
struct RunSetup {
    actions: Vec<ScheduledAction>,
    replay: ReplayConfig,
    plan: Plan,
    config: SimulationConfig,
    injector: FaultInjector,
}

/// A run for sockets, whose plan contains the faults as node events.
pub struct SocketRun {
    pub plan: Plan,
    pub replay: ReplayConfig,
    pub config: SimulationConfig,
}

/// A scenario has a fault that is not supported on sockets.
#[derive(Debug, Error)]
#[error("{scenario}: {action:?} is not supported on sockets")]
pub struct UnsupportedOnSockets {
    pub scenario: String,
    pub action: FaultAction,
}

impl ScenarioRun<'_> {
    fn setup(&self) -> RunSetup {
        let ScenarioRun { scenario, nodes, brokers, zones, seed, policy } = *self;
        let placement_groups = (nodes / NODES_PER_PLACEMENT_GROUP).max(zones).max(1);
        let cluster = ClusterSize { nodes, zones, placement_groups, brokers };
        let actions = scenario.schedule(&cluster, seed);
        let replay = traffic::replay_config(nodes, scenario, seed);
        let plan = traffic::build_plan(&replay, &actions, scenario.duration_s);
        let (near, far) = (
            TimeSpan::from_ms(scenario.intra_zone_latency_ms),
            TimeSpan::from_ms(scenario.inter_zone_latency_ms),
        );
        let injector = FaultInjector::new(cluster, near, far, seed);
        let cancel = match scenario.cancel {
            CancelBehavior::DropAll => CancelPolicy::DropAll,
            CancelBehavior::DropQueued => CancelPolicy::DropQueued,
            CancelBehavior::DropNone => CancelPolicy::DropNone,
        };
        let warm_jobs = Some(scenario.warm_up_jobs).filter(|jobs| *jobs > 0);
        let cores = NODE_CORES;
        let config = SimulationConfig { brokers, policy, seed, placement_groups, cores, warm_jobs, cancel };
        RunSetup { actions, replay, plan, config, injector }
    }

    /// Simulates the run in virtual time.
    pub fn simulate(&self) -> RunResults {
        let RunSetup { actions, replay, plan, config, injector } = self.setup();
        let faults = FaultSchedule { injector, actions, clients: self.scenario.clients };
        Simulation::with_faults(plan, &replay, config, faults).run(|_, _| true)
    }

    /// Returns the run with its faults as node events of the plan, so that virtual time and sockets can execute the
    /// same plan. Nodes that crash, drain, restart or are slow can be expressed so, as can surges of queries.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario has any other fault, such as of networks, discovery or nodes' responses.
    pub fn to_socket_run(&self) -> Result<SocketRun, UnsupportedOnSockets> {
        let RunSetup { actions, replay, mut plan, config, mut injector } = self.setup();
        for scheduled in &actions {
            let effect = match scheduled.action {
                FaultAction::Outage { .. }
                | FaultAction::BeginDrain { .. }
                | FaultAction::FinishDrain { .. }
                | FaultAction::Slowdown { .. } => injector.apply(scheduled.action),
                FaultAction::TrafficSurge { .. } | FaultAction::HeavyQueries { .. } => None,
                action => {
                    let scenario = self.scenario.name.clone();
                    return Err(UnsupportedOnSockets { scenario, action });
                }
            };
            if let Some(event) = effect.and_then(node_event) {
                plan.entries.push(PlanEntry { at: scheduled.at.0.max(0) as u64, event });
            }
        }
        plan.entries.sort_by_key(|entry| entry.at);
        Ok(SocketRun { plan, replay, config })
    }

    /// Returns the time at which the last fault ends, in seconds from the start of the run, rounded up.
    pub fn faults_end(&self) -> usize {
        let ends = self.scenario.faults.iter().map(|fault| fault.start_s + fault.duration_s);
        ends.fold(0.0, f64::max).min(self.scenario.duration_s).ceil() as usize
    }
}

/// Returns the plan's event for a change of a node, or `None` if there is no such event.
fn node_event(effect: FaultEffect) -> Option<PlanEvent> {
    let (node, event) = match effect {
        FaultEffect::ChangeNode { node, transition } => match transition {
            NodeTransition::Stops => (node, PlannedNodeEvent::Stop),
            NodeTransition::Drains => (node, PlannedNodeEvent::Drain),
            NodeTransition::Starts => (node, PlannedNodeEvent::StartCold),
            NodeTransition::Unchanged => return None,
        },
        FaultEffect::SetSpeed { node, speed_factor } => (node, PlannedNodeEvent::SetSpeed(speed_factor)),
        _ => return None,
    };
    Some(PlanEvent::Node { node: node as u32, event })
}

#[cfg(test)]
mod tests;
