//! Faults of a simulation: carries out what the fault injector decides.

use crate::fault_injector::FaultEffect;
use crate::simulation::Simulation;
use crate::simulation::brokers::SimulatedBroker;
use crate::simulation::deployment::ENDPOINT_LIST_DELAY;
use crate::simulation::event::Event;
use cluster_trace::plan::PlannedNodeEvent;
use fault_scenarios::{NodeCondition, NodeTransition};
use routing::TimeSpan;

/// How late the endpoint list is with a node that became unresponsive.
const UNRESPONSIVE_LIST_DELAY: TimeSpan = TimeSpan(60_000);

impl Simulation {
    pub(super) fn handle_fault_action(&mut self, index: usize) {
        if let Some(effect) = self.injector.apply(self.fault_actions[index].action) {
            self.apply_fault(effect);
        }
    }

    /// A node that a query stopped comes back, unless another fault holds it down.
    pub(super) fn recover_node(&mut self, node: usize) {
        let transition = self.injector.active_faults[node].end_outage();
        self.apply_fault(FaultEffect::ChangeNode { node, transition });
    }

    fn apply_fault(&mut self, effect: FaultEffect) {
        match effect {
            FaultEffect::ChangeNode { node, transition } => match transition {
                NodeTransition::Stops => self.stop_node(node),
                NodeTransition::Drains => self.handle_node_event(node, PlannedNodeEvent::Drain),
                NodeTransition::Starts => self.start_node(node),
                NodeTransition::Unchanged => {}
            },
            FaultEffect::SetSpeed { node, speed_factor } => self.nodes[node].set_speed(speed_factor),
            FaultEffect::BeginPauses { node } => {
                let cycle = self.injector.active_faults[node].longest_pause();
                let interval = cycle.map_or(TimeSpan::ZERO, |cycle| cycle.interval);
                let first = interval.mul_f64(self.injector.random());
                self.schedule(self.now + first, Event::NodePauses(node));
            }
            FaultEffect::Silence { node } => self.silence_node(node),
            FaultEffect::EndSilence { node } => self.start_node(node),
            FaultEffect::RepublishEndpoints => {
                (0..self.brokers.len()).for_each(|broker| self.send_endpoint_snapshot(broker));
            }
            FaultEffect::RestartBroker { broker } => self.restart_broker(broker),
        }
    }

    /// What the node has is lost, and its brokers are not notified.
    fn silence_node(&mut self, node: usize) {
        for job in self.nodes[node].crash() {
            if let Some(running) = self.jobs.remove(&job) {
                self.job_of.remove(&running.key);
            }
        }
        self.schedule_publication(node, UNRESPONSIVE_LIST_DELAY);
    }

    /// Starts a new process, unless another fault still holds the node down.
    fn start_node(&mut self, node: usize) {
        let faults = &self.injector.active_faults[node];
        if faults.condition() == NodeCondition::Ready && !faults.is_unresponsive() {
            let speed_factor = faults.speed_factor();
            self.nodes[node].start(self.now);
            self.nodes[node].set_speed(speed_factor);
            self.schedule_publication(node, ENDPOINT_LIST_DELAY);
        }
    }

    pub(super) fn pause_node(&mut self, node: usize) {
        let Some(cycle) = self.injector.active_faults[node].longest_pause() else { return };
        self.nodes[node].pause(self.now, self.now + cycle.pause);
        self.schedule_finish(node);
        self.schedule(self.now + cycle.interval.max(TimeSpan(1)), Event::NodePauses(node));
    }

    /// Restarts a broker without any state: its clients get no response from it, and it gets no result of its
    /// attempts.
    fn restart_broker(&mut self, broker: usize) {
        let seed = self.config.seed ^ (broker as u64).rotate_left(32) ^ self.now.0 as u64;
        self.brokers[broker] =
            SimulatedBroker::restarted(self.config.policy, &self.broker_config, seed, self.now);
        let mut lost = Vec::new();
        for (index, query) in self.queries.iter_mut().enumerate().filter(|(_, query)| query.broker == broker)
        {
            let shard_requests = &mut self.shard_requests[query.shard_requests.clone()];
            for attempt in shard_requests.iter_mut().flat_map(|shard_request| &mut shard_request.attempts) {
                attempt.is_open = false;
            }
            if std::mem::take(&mut query.is_open) {
                lost.push((index, query.request));
            }
        }
        for (index, request) in lost {
            self.invariants.release_query(self.now, index);
            self.handle_failure(request);
        }
        self.send_endpoint_snapshot(broker);
    }
}
