//! Implements simulated nodes: accepts and completes attempts, starts and stops nodes, and publishes endpoints.

use crate::fault_injector::MessageDirection;
use crate::invariants::{PublishedState, ShardRequestIndex};
use crate::run_results::NodeCounts;
use crate::simulation::Simulation;
use crate::simulation::deployment::{self, ENDPOINT_LIST_DELAY, ONE_WAY_LATENCY};
use crate::simulation::event::{AttemptKey, Event};
use crate::simulation::runner::{ClientRequest, RunningAttempt};
use cluster_trace::plan::PlannedNodeEvent;
use node_emulator::{EmulatedNode, JobId, NodeState, SubmitOutcome};
use routing::{
    AttemptOutcome, Endpoint, EndpointList, EndpointListKind, EndpointState, Input, NodeId, PlacementGroupId,
    TimeSpan, Timestamp, WallClockTime, ZoneId,
};

/// Duration of a node's outage after a query of death.
const QUERY_OF_DEATH_OUTAGE: TimeSpan = TimeSpan(30_000);

impl Simulation {
    pub(super) fn handle_node_event(&mut self, node: usize, event: PlannedNodeEvent) {
        match event {
            PlannedNodeEvent::StartWarm => {
                self.nodes[node] = deployment::warm_node(&self.config);
                self.schedule(self.now, Event::EndpointPublished { node });
            }
            PlannedNodeEvent::StartCold => {
                self.nodes[node].start(self.now);
                self.schedule_publication(node, ENDPOINT_LIST_DELAY);
            }
            PlannedNodeEvent::Drain => {
                self.nodes[node].drain();
                self.schedule_publication(node, ONE_WAY_LATENCY);
            }
            PlannedNodeEvent::Stop => self.stop_node(node),
            PlannedNodeEvent::SetSpeed(share) => self.nodes[node].set_speed(share),
        }
    }

    /// Crashes the node's process: its attempts end as lost connections, and discovery publishes that later.
    pub(super) fn stop_node(&mut self, node: usize) {
        for job in self.nodes[node].crash() {
            if let Some(RunningAttempt { key, .. }) = self.jobs.remove(&job) {
                self.job_by_attempt.remove(&key);
                self.send_result(key, node, AttemptOutcome::ConnectionLost);
            }
        }
        self.schedule_publication(node, ENDPOINT_LIST_DELAY);
    }

    // Attempts.

    /// Submits an attempt that has reached a node. If the node does not accept the attempt, sends the result to the
    /// broker at once.
    pub(super) fn handle_attempt(&mut self, key: AttemptKey, node: usize) {
        let index = ShardRequestIndex(key.shard_request.0 as usize);
        let shard_request = &self.shard_requests[index.0];
        let sent = shard_request.attempts.get(key.attempt.0 as usize);
        let sent_at = sent.map_or(self.now, |attempt| attempt.sent_at);
        let work_us = shard_request.work_us;
        self.invariants.shard_request_arrived(self.now, sent_at, index, self.published[node]);
        self.last_job += 1;
        let job = JobId(self.last_job);
        let warm_up_us = self.warm_up_work_us(index);
        let submitted = match self.injector.active_faults[node].is_rejecting() {
            true => SubmitOutcome::Refused,
            false => self.nodes[node].submit_with_warm_up_work(self.now, job, work_us, warm_up_us),
        };
        if self.nodes[node].is_warming_up(self.now) {
            self.invariants.warming_node_loaded(self.now, self.nodes[node].overload_ratio());
        }
        let outcome = match submitted {
            SubmitOutcome::Started | SubmitOutcome::Queued => return self.accept_attempt(key, node, job),
            SubmitOutcome::Refused => AttemptOutcome::Overloaded,
            SubmitOutcome::Unreachable => AttemptOutcome::ConnectFailed,
            SubmitOutcome::Collapsed => {
                self.invariants.node_collapsed(self.now);
                self.stop_node(node);
                AttemptOutcome::ConnectionLost
            }
        };
        self.send_result(key, node, outcome);
    }

    fn accept_attempt(&mut self, key: AttemptKey, node: usize, job: JobId) {
        let index = ShardRequestIndex(key.shard_request.0 as usize);
        self.invariants.shard_request_accepted(self.now, index);
        self.jobs.insert(job, RunningAttempt { key, node });
        self.job_by_attempt.insert(key, job);
        if self.request_of(index).is_some_and(|request| request.is_query_of_death) {
            self.injector.active_faults[node].begin_outage();
            self.schedule(self.now + QUERY_OF_DEATH_OUTAGE, Event::OutageEnds(node));
            self.stop_node(node);
        } else {
            self.schedule_completion(node);
        }
    }

    pub(super) fn handle_cancel(&mut self, key: AttemptKey) {
        let Some(job) = self.job_by_attempt.remove(&key) else { return };
        if let Some(RunningAttempt { node, .. }) = self.jobs.remove(&job) {
            self.nodes[node].cancel(self.now, job);
            self.schedule_completion(node);
        }
    }

    /// Completes the jobs of a node that are due. An event whose time was rescheduled is ignored.
    pub(super) fn handle_completion(&mut self, node: usize) {
        if self.scheduled_completions[node] != Some(self.now) {
            return;
        }
        self.scheduled_completions[node] = None;
        while let Some(job) = self.nodes[node].complete(self.now) {
            let Some(RunningAttempt { key, .. }) = self.jobs.remove(&job) else { continue };
            self.job_by_attempt.remove(&key);
            if self.injector.sample_error(node) {
                self.send_result(key, node, AttemptOutcome::Errored);
            } else {
                let index = ShardRequestIndex(key.shard_request.0 as usize);
                self.invariants.shard_request_answered(self.now, index);
                self.send_result(key, node, AttemptOutcome::Succeeded);
            }
        }
        self.schedule_completion(node);
    }

    pub(super) fn schedule_completion(&mut self, node: usize) {
        if let Some(at) = self.nodes[node].next_completion()
            && self.scheduled_completions[node] != Some(at)
        {
            self.scheduled_completions[node] = Some(at);
            self.schedule(at, Event::JobMayComplete(node));
        }
    }

    /// Sends a result to its broker, unless a network fault drops it.
    fn send_result(&mut self, key: AttemptKey, node: usize, outcome: AttemptOutcome) {
        if let Some(latency) = self.injector.latency(key.broker, node, MessageDirection::FromNode) {
            self.schedule(self.now + latency, Event::ResultArrives { key, outcome });
        }
    }

    fn request_of(&self, index: ShardRequestIndex) -> Option<&ClientRequest> {
        let query = self.queries.partition_point(|query| query.shard_requests.end <= index.0);
        self.queries.get(query).map(|query| &self.requests[query.request])
    }

    /// Returns the work that a shard request counts for on a warming node, in microseconds: the mean of its class.
    fn warm_up_work_us(&self, index: ShardRequestIndex) -> u64 {
        self.request_of(index).map_or(0, |request| self.mean_work_us[request.origin.class])
    }

    // Discovery.

    /// Schedules the publication of a node's state, unless discovery is down.
    pub(super) fn schedule_publication(&mut self, node: usize, delay: TimeSpan) {
        if let Some(added) = self.injector.endpoint_list_delay() {
            self.schedule(self.now + delay + added, Event::EndpointPublished { node });
        }
    }

    fn endpoint(&self, node: usize) -> Endpoint {
        Endpoint {
            node: NodeId(node as u64),
            zone: ZoneId(self.injector.zone_of(node) as u16),
            placement_group: PlacementGroupId(node as u32 % self.config.placement_groups),
            state: deployment::endpoint_state(self.nodes[node].state()),
            started_at: self.nodes[node].started_at().map(wall_clock),
        }
    }

    /// Sends the node's state to all brokers, unless discovery is down.
    pub(super) fn publish_endpoint(&mut self, node: usize) {
        if self.injector.endpoint_list_delay().is_none() {
            return;
        }
        let endpoint = self.endpoint(node);
        self.published[node] = PublishedState { state: endpoint.state, at: self.now };
        for broker in 0..self.brokers.len() {
            let entries = [endpoint.clone()].into();
            let delta =
                EndpointList { kind: EndpointListKind::Delta, wall_clock: wall_clock(self.now), entries };
            self.notify_broker(broker, Input::EndpointList(delta));
        }
    }

    /// Sends the current state of all nodes to a broker.
    pub(super) fn send_endpoint_snapshot(&mut self, broker: usize) {
        let all = (0..self.nodes.len()).map(|node| self.endpoint(node));
        let entries: Vec<Endpoint> =
            all.filter(|endpoint| endpoint.state != EndpointState::Removed).collect();
        for (node, published) in self.nodes.iter().zip(&mut self.published) {
            let state = deployment::endpoint_state(node.state());
            if state != published.state {
                *published = PublishedState { state, at: self.now };
            }
        }
        let snapshot = EndpointList {
            kind: EndpointListKind::Snapshot,
            wall_clock: wall_clock(self.now),
            entries: entries.into(),
        };
        self.notify_broker(broker, Input::EndpointList(snapshot));
    }
}

impl NodeCounts {
    /// Counts nodes by their state at this time.
    pub fn of(nodes: &[EmulatedNode], now: Timestamp) -> NodeCounts {
        let mut counts = NodeCounts::default();
        for node in nodes {
            let count = match node.state() {
                NodeState::Ready if node.is_warming_up(now) => &mut counts.warming_up,
                NodeState::Ready => &mut counts.warm,
                NodeState::Draining => &mut counts.draining,
                NodeState::Down => &mut counts.down,
            };
            *count += 1;
        }
        counts
    }
}

/// Returns the wall-clock time, which is the virtual time: all simulated clocks agree.
fn wall_clock(now: Timestamp) -> WallClockTime {
    WallClockTime(now.0)
}
