//! One day of a scenario: its setup, and how it is played in virtual time or prepared for sockets. The same
//! scenario, size and seed give the same digest; the scenario's name has no part in it.

use crate::fault_injector::{FaultEffect, FaultInjector};
use crate::run_results::RunResults;
use crate::simulation::{FaultSchedule, RoutingPolicy, Simulation, SimulationConfig};
use crate::traffic::{self, NODE_CORES};
use cluster_trace::plan::{Plan, PlanEntry, PlanEvent, PlannedNodeEvent, ReplayConfig};
use fault_scenarios::{CancelBehavior, ClusterSize, FaultAction, NodeTransition, Scenario, ScheduledAction};
use node_emulator::CancelPolicy;
use routing::TimeSpan;
use thiserror::Error;

/// Nodes of a placement group.
const GROUP_NODES: u32 = 5;

/// One day of a scenario.
pub struct ScenarioRun<'a> {
    pub scenario: &'a Scenario,
    pub nodes: u32,
    pub brokers: u32,
    pub zones: u32,
    pub seed: u64,
    pub policy: RoutingPolicy,
}

/// Everything that a day is played with.
struct RunSetup {
    actions: Vec<ScheduledAction>,
    replay: ReplayConfig,
    plan: Plan,
    config: SimulationConfig,
    injector: FaultInjector,
}

/// A day for sockets.
pub struct SocketRun {
    pub plan: Plan,
    pub replay: ReplayConfig,
    pub config: SimulationConfig,
}

/// A scenario has a fault that can't be played on sockets.
#[derive(Debug, Error)]
#[error("{scenario}: {action:?} is not played on sockets")]
pub struct UnsupportedOnSockets {
    pub scenario: String,
    pub action: FaultAction,
}

impl ScenarioRun<'_> {
    fn setup(&self) -> RunSetup {
        let ScenarioRun { scenario, nodes, brokers, zones, seed, policy } = *self;
        let placement_groups = (nodes / GROUP_NODES).max(zones).max(1);
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

    /// Plays the day in virtual time.
    pub fn simulate(&self) -> RunResults {
        let RunSetup { actions, replay, plan, config, injector } = self.setup();
        let faults = FaultSchedule { injector, actions, clients: self.scenario.clients };
        Simulation::with_faults(plan, &replay, config, faults).run(|_, _| true)
    }

    /// The same day with its faults as node events of the plan, which sockets can play as virtual time does:
    /// nodes that crash, drain, restart, or are slow, and the queries, with surges.
    ///
    /// # Errors
    ///
    /// The scenario has another fault, of networks, of discovery, or of nodes' responses.
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

    /// When the last fault is over, in whole seconds.
    pub fn faults_end(&self) -> usize {
        let ends = self.scenario.faults.iter().map(|fault| fault.start_s + fault.duration_s);
        ends.fold(0.0, f64::max).min(self.scenario.duration_s).ceil() as usize
    }
}

/// The plan's event for what a fault does to a node.
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
