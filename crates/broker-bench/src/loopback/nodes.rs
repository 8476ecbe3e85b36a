//! Implements the nodes of a run on sockets: node models decide, scripted servers respond, and discovery publishes.

use crate::invariants::{PublishedState, ShardRequestIndex};
use crate::loopback::LoopbackError;
use crate::loopback::quiescence::{WireId, parse_wire_id};
use crate::loopback::state::{LoopbackRun, UNIX_START};
use crate::simulation::SimulationConfig;
use crate::simulation::deployment::{self, ENDPOINT_LIST_DELAY};
use crate::simulation::settings_text::ZONE_NAME;
use cluster_trace::plan::PlannedNodeEvent;
use node_emulator::{EmulatedNode, JobId, NodeState, ReceivedEvent, ScriptedNode, SubmitOutcome};
use routing::{EndpointState, Timestamp};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use tokio::sync::mpsc;

/// Outcomes of an attempt in the nodes' protocol.
const SUCCEEDED: char = 'S';
const OVERLOADED: char = 'B';

/// Identifies a connection of a broker to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionKey {
    pub(super) node: usize,
    pub(super) connection: usize,
}

impl ConnectionKey {
    pub(super) fn of(received: &ReceivedEvent) -> ConnectionKey {
        ConnectionKey { node: received.node, connection: received.connection }
    }
}

/// Identifies an attempt at its node. A newer attempt at the shard request on the same connection has the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) connection: ConnectionKey,
    /// The shard request's id in the nodes' protocol.
    pub(super) id: String,
}

/// An attempt that a node has accepted and not completed.
pub(super) struct RunningJob {
    pub(super) key: AttemptKey,
    pub(super) shard_request: ShardRequestIndex,
}

/// The jobs of all nodes, by id and by attempt.
#[derive(Default)]
pub(super) struct RunningJobs {
    by_id: BTreeMap<JobId, RunningJob>,
    by_attempt: BTreeMap<AttemptKey, JobId>,
    last_id: u64,
}

impl RunningJobs {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(super) fn contains(&self, key: &AttemptKey) -> bool {
        self.by_attempt.contains_key(key)
    }

    pub(super) fn attempts(&self) -> impl Iterator<Item = &AttemptKey> {
        self.by_id.values().map(|job| &job.key)
    }

    fn next_id(&mut self) -> JobId {
        self.last_id += 1;
        JobId(self.last_id)
    }

    /// Adds a job. Returns the job that it replaces, if there is one: an earlier attempt at the same shard request on
    /// the same connection.
    pub(super) fn insert(&mut self, id: JobId, job: RunningJob) -> Option<JobId> {
        let replaced = self.by_attempt.insert(job.key.clone(), id);
        if let Some(replaced) = &replaced {
            self.by_id.remove(replaced);
        }
        self.by_id.insert(id, job);
        replaced
    }

    fn remove(&mut self, id: JobId) -> Option<RunningJob> {
        let job = self.by_id.remove(&id)?;
        self.by_attempt.remove(&job.key);
        Some(job)
    }

    fn remove_attempt(&mut self, key: &AttemptKey) -> Option<JobId> {
        let id = self.by_attempt.remove(key)?;
        self.by_id.remove(&id);
        Some(id)
    }
}

/// All nodes, indexed by node.
pub(super) struct Nodes {
    /// The nodes' sockets.
    pub(super) servers: Vec<ScriptedNode>,
    pub(super) models: Vec<EmulatedNode>,
    events: mpsc::UnboundedReceiver<ReceivedEvent>,
    /// Events that were received and are not handled yet.
    pub(super) inbox: Vec<ReceivedEvent>,
    pub(super) jobs: RunningJobs,
}

impl Nodes {
    /// Reserves addresses for nodes whose processes are not running; connections to them are refused.
    pub(super) fn reserve(count: u32, config: &SimulationConfig) -> io::Result<Nodes> {
        let (sender, events) = mpsc::unbounded_channel();
        let servers = (0..count as usize).map(|index| ScriptedNode::reserve(index, sender.clone()));
        Ok(Nodes {
            servers: servers.collect::<io::Result<Vec<ScriptedNode>>>()?,
            models: (0..count).map(|_| deployment::stopped_node(config)).collect(),
            events,
            inbox: Vec::new(),
            jobs: RunningJobs::default(),
        })
    }

    /// Moves received events to the inbox.
    pub(super) fn receive_events(&mut self) {
        while let Ok(received) = self.events.try_recv() {
            self.inbox.push(received);
        }
    }

    async fn respond(&self, key: &AttemptKey, outcome: char, now: Timestamp, value: &str) {
        let ConnectionKey { node, connection } = key.connection;
        let load = self.models[node].load(now).to_string();
        self.servers[node].respond_with_load(connection, &key.id, outcome, &load, value).await;
    }
}

/// The published state of the nodes, and scheduled publications.
pub(super) struct Publications {
    /// Publications to come, ordered by time.
    scheduled: VecDeque<ScheduledPublication>,
    /// The state that was published last, indexed by node.
    published: Vec<PublishedState>,
}

struct ScheduledPublication {
    at: Timestamp,
    node: usize,
}

impl Publications {
    /// Returns publications in which all nodes are removed.
    pub(super) fn all_removed(nodes: usize) -> Publications {
        let removed = PublishedState { state: EndpointState::Removed, at: Timestamp(0) };
        Publications { scheduled: VecDeque::new(), published: vec![removed; nodes] }
    }

    /// Schedules a publication. All have the same delay, so that appending keeps the order by time.
    fn schedule(&mut self, at: Timestamp, node: usize) {
        self.scheduled.push_back(ScheduledPublication { at, node });
    }

    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<usize> {
        self.scheduled.pop_front_if(|publication| publication.at <= now).map(|publication| publication.node)
    }
}

impl LoopbackRun {
    // Attempts.

    /// Completes the jobs that are due, in the order of the nodes.
    pub(super) async fn complete_jobs(&mut self) -> Result<(), LoopbackError> {
        for node in 0..self.nodes.models.len() {
            while let Some(id) = self.nodes.models[node].complete(self.now) {
                let Some(RunningJob { key, shard_request }) = self.nodes.jobs.remove(id) else { continue };
                self.invariants.shard_request_answered(self.now, shard_request);
                // The value contains the shard request's id, so that the client can check that it is the right one.
                let value = format!("v{}", key.id);
                self.nodes.respond(&key, SUCCEEDED, self.now, &value).await;
                self.settle().await?;
            }
        }
        Ok(())
    }

    /// Submits an attempt that has reached its node, and responds if the node does not accept it.
    pub(super) async fn handle_attempt(&mut self, key: AttemptKey) -> Result<(), LoopbackError> {
        let node = key.connection.node;
        self.hasher.update(format!("{} {node} {}\n", self.now.0, key.id).as_bytes());
        self.results.record_attempt(self.now);
        let (shard_request, work_us) =
            self.shard_request_of(&key.id).unwrap_or((ShardRequestIndex(usize::MAX), 0));
        let published = self.publications.published[node];
        self.invariants.shard_request_arrived(self.now, self.now, shard_request, published);
        let job = self.nodes.jobs.next_id();
        let outcome = self.nodes.models[node].submit(self.now, job, work_us);
        if self.nodes.models[node].is_warming_up(self.now) {
            self.invariants.warming_node_loaded(self.now, self.nodes.models[node].overload_ratio());
        }
        match outcome {
            SubmitOutcome::Started | SubmitOutcome::Queued => {
                self.accept_attempt(job, RunningJob { key, shard_request });
            }
            SubmitOutcome::Refused => self.nodes.respond(&key, OVERLOADED, self.now, "").await,
            // The node stopped while the attempt was in flight.
            SubmitOutcome::Unreachable => {}
            SubmitOutcome::Collapsed => {
                self.invariants.node_collapsed(self.now);
                self.stop_node(node).await?;
            }
        }
        Ok(())
    }

    fn accept_attempt(&mut self, id: JobId, job: RunningJob) {
        self.invariants.shard_request_accepted(self.now, job.shard_request);
        let node = job.key.connection.node;
        // Of two attempts at one shard request on one connection, the broker waits only for the newer one.
        if let Some(replaced) = self.nodes.jobs.insert(id, job) {
            self.nodes.models[node].cancel(self.now, replaced);
        }
    }

    pub(super) fn handle_cancel(&mut self, key: &AttemptKey) {
        if let Some(job) = self.nodes.jobs.remove_attempt(key) {
            self.nodes.models[key.connection.node].cancel(self.now, job);
        }
    }

    /// Returns the shard request with this id in the nodes' protocol, and its work in microseconds.
    fn shard_request_of(&self, id: &str) -> Option<(ShardRequestIndex, u64)> {
        let WireId { query, shard } = parse_wire_id(id)?;
        let query = self.queries.get(query)?;
        let index = query.position_of(shard)?;
        Some((ShardRequestIndex(query.first_shard_request + index), query.shard_requests[index].work_us))
    }

    // Node state.

    pub(super) async fn handle_node_event(
        &mut self,
        node: usize,
        event: PlannedNodeEvent,
    ) -> Result<(), LoopbackError> {
        match event {
            PlannedNodeEvent::StartWarm => {
                self.nodes.models[node] = deployment::warm_node(&self.config);
                self.nodes.servers[node].listen()?;
                return self.publish_endpoint(node).await;
            }
            PlannedNodeEvent::StartCold => {
                self.nodes.models[node].start(self.now);
                self.nodes.servers[node].listen()?;
                self.publications.schedule(self.now + ENDPOINT_LIST_DELAY, node);
            }
            PlannedNodeEvent::Drain => {
                self.nodes.models[node].drain();
                return self.publish_endpoint(node).await;
            }
            PlannedNodeEvent::Stop => self.stop_node(node).await?,
            PlannedNodeEvent::SetSpeed(share) => self.nodes.models[node].set_speed(share),
        }
        self.settle().await
    }

    /// Crashes the node's process: its connections are lost, and discovery publishes that after its delay.
    async fn stop_node(&mut self, node: usize) -> Result<(), LoopbackError> {
        for job in self.nodes.models[node].crash() {
            self.nodes.jobs.remove(job);
        }
        self.nodes.servers[node].stop().await?;
        self.publications.schedule(self.now + ENDPOINT_LIST_DELAY, node);
        Ok(())
    }

    /// Publishes the node's state in discovery.
    pub(super) async fn publish_endpoint(&mut self, node: usize) -> Result<(), LoopbackError> {
        let model = &self.nodes.models[node];
        let phase = match model.state() {
            NodeState::Ready => "ready",
            NodeState::Draining => "draining",
            NodeState::Down => "gone",
        };
        let up_since_ms = model.started_at().map_or(0.0, |at| (UNIX_START + (at - Timestamp::ZERO)).as_ms());
        let state = deployment::endpoint_state(model.state());
        let id = format!("h-{node}");
        let entry = json!({
            "id": id,
            "host_port": self.nodes.servers[node].address.to_string(),
            "locality": ZONE_NAME,
            "cell": node as u32 % self.config.placement_groups,
            "phase": phase,
            "up_since_ms": up_since_ms,
        });
        self.catalog.set(&id, entry);
        self.publications.published[node] = PublishedState { state, at: self.now };
        self.settle().await
    }
}
