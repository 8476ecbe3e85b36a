//! The state of a simulation and its event loop.

use crate::fault_injector::FaultInjector;
use crate::invariants::{InvariantChecker, PublishedState};
use crate::run_results::{NodeCounts, QueryOrigin, RunResults};
use crate::simulation::brokers::SimulatedBroker;
use crate::simulation::config::{FaultSchedule, SimulationConfig};
use crate::simulation::deployment::{self, ONE_WAY_LATENCY};
use crate::simulation::event::{AttemptKey, Event, EventQueue};
use cluster_trace::plan::{Plan, PlanEvent, PlannedShardRequest, ReplayConfig};
use fault_scenarios::{ClientBehavior, ClusterSize, ScheduledAction};
use node_emulator::{EmulatedNode, JobId};
use routing::{AttemptOutcome, BrokerConfig, EndpointState, TimeSpan, Timestamp};
use std::collections::BTreeMap;
use std::ops::Range;

const SECOND: TimeSpan = TimeSpan(10_000);
/// How long a day goes on after its last entry: longer than any deadline.
const TIME_AFTER_LAST_ENTRY: TimeSpan = TimeSpan(200_000);

/// An attempt, as the network knows it.
pub(super) struct Attempt {
    pub(super) node: usize,
    pub(super) sent_at: Timestamp,
    /// Its broker has not got its result.
    pub(super) is_open: bool,
}

pub(super) struct ShardRequest {
    pub(super) work_us: u64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) has_response: bool,
}

/// One sending of a request, to one broker.
pub(super) struct Query {
    pub(super) broker: usize,
    pub(super) request: usize,
    pub(super) shard_requests: Range<usize>,
    pub(super) is_open: bool,
}

/// What a client wants: it may send a query for it more than once.
pub(super) struct ClientRequest {
    pub(super) origin: QueryOrigin,
    pub(super) until: Timestamp,
    pub(super) shard_requests: Vec<PlannedShardRequest>,
    pub(super) client_attempts: u32,
    pub(super) is_query_of_death: bool,
}

/// A job on a node.
pub(super) struct RunningAttempt {
    pub(super) key: AttemptKey,
    pub(super) node: usize,
}

/// A day in virtual time.
pub struct Simulation {
    pub(super) now: Timestamp,
    pub(super) queue: EventQueue,
    pub(super) plan: Plan,
    pub(super) config: SimulationConfig,
    pub(super) brokers: Vec<SimulatedBroker>,
    pub(super) nodes: Vec<EmulatedNode>,
    /// When each node finishes its next job, as far as that is scheduled.
    pub(super) next_finish: Vec<Option<Timestamp>>,
    pub(super) published: Vec<PublishedState>,
    pub(super) jobs: BTreeMap<JobId, RunningAttempt>,
    pub(super) job_of: BTreeMap<AttemptKey, JobId>,
    pub(super) last_job: u64,
    /// By their ids, which count up from 0.
    pub(super) shard_requests: Vec<ShardRequest>,
    pub(super) queries: Vec<Query>,
    pub(super) requests: Vec<ClientRequest>,
    pub(super) injector: FaultInjector,
    pub(super) fault_actions: Vec<ScheduledAction>,
    pub(super) client_behavior: ClientBehavior,
    pub(super) broker_config: BrokerConfig,
    /// By class.
    pub(super) deadlines: Vec<TimeSpan>,
    /// Mean work of a shard request, by class: what one counts for on a warming node.
    pub(super) mean_work_us: Vec<u64>,
    pub(super) hasher: blake3::Hasher,
    pub(super) invariants: InvariantChecker,
    pub(super) results: RunResults,
}

impl Simulation {
    /// A day without faults: the same latency everywhere, clients that never retry.
    pub fn new(plan: Plan, replay: &ReplayConfig, config: SimulationConfig) -> Simulation {
        let cluster = ClusterSize {
            nodes: replay.nodes,
            zones: 1,
            placement_groups: config.placement_groups,
            brokers: config.brokers,
        };
        let injector = FaultInjector::new(cluster, ONE_WAY_LATENCY, ONE_WAY_LATENCY, config.seed);
        let clients = ClientBehavior {
            retries: 0,
            backoff_ms: 0.0,
            retry_after_share: 1.0,
            impatient_share: 0.0,
            tenants: 1,
        };
        Simulation::with_faults(
            plan,
            replay,
            config,
            FaultSchedule { injector, actions: Vec::new(), clients },
        )
    }

    /// A day with faults, and with clients that may retry.
    pub fn with_faults(
        plan: Plan,
        replay: &ReplayConfig,
        config: SimulationConfig,
        faults: FaultSchedule,
    ) -> Simulation {
        let broker_config = deployment::broker_config(replay, &config);
        let nodes: Vec<EmulatedNode> = (0..replay.nodes).map(|_| deployment::stopped_node(&config)).collect();
        let limits = deployment::invariant_limits(replay, ONE_WAY_LATENCY);
        let removed = PublishedState { state: EndpointState::Removed, at: Timestamp(0) };
        let mut simulation = Simulation {
            now: Timestamp(0),
            queue: EventQueue::default(),
            brokers: first_brokers(&config, &broker_config),
            next_finish: vec![None; nodes.len()],
            published: vec![removed; nodes.len()],
            nodes,
            jobs: BTreeMap::new(),
            job_of: BTreeMap::new(),
            last_job: 0,
            shard_requests: Vec::new(),
            queries: Vec::new(),
            requests: Vec::new(),
            injector: faults.injector,
            fault_actions: faults.actions,
            client_behavior: faults.clients,
            deadlines: broker_config.classes.values().map(|class| class.deadline).collect(),
            broker_config,
            mean_work_us: mean_work_us(&plan, replay.classes.len()),
            plan,
            hasher: blake3::Hasher::new(),
            invariants: InvariantChecker::new(limits, config.brokers as usize),
            results: RunResults::new(deployment::class_objectives(replay), replay.tenant_weights.len()),
            config,
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for (index, entry) in self.plan.entries.iter().enumerate() {
            self.queue.schedule(Timestamp(entry.at as i64), Event::PlanEntry(index));
        }
        for (index, scheduled) in self.fault_actions.iter().enumerate() {
            self.queue.schedule(scheduled.at, Event::FaultAction(index));
        }
        self.queue.schedule(Timestamp(0), Event::SecondEnds);
    }

    /// Plays to the end, until nothing is to happen any more that can matter; or until `should_continue`, which gets
    /// the time and the day's end, says no. It is called once for each second of the day. The results of a
    /// day that is broken off are marked as partial, and queries open then break no rule.
    pub fn run(mut self, mut should_continue: impl FnMut(Timestamp, Timestamp) -> bool) -> RunResults {
        let last = Timestamp(self.plan.entries.last().map_or(0, |entry| entry.at) as i64);
        while let Some((at, event)) = self.queue.pop() {
            if at > last + TIME_AFTER_LAST_ENTRY {
                break;
            }
            self.now = at;
            self.results.events += 1;
            if event == Event::SecondEnds {
                if !should_continue(at.min(last), last) {
                    self.results.stopped_at = Some(at);
                    break;
                }
                self.end_second(last);
            } else {
                self.handle(event);
            }
        }
        self.finish()
    }

    fn finish(mut self) -> RunResults {
        if self.results.stopped_at.is_none() {
            self.invariants.finish(self.now);
            self.invariants.check_conservation(self.now, &self.results.query_counts());
        }
        self.results.violations = self.invariants.violations().clone();
        self.results.closest = self.invariants.closest().clone();
        self.results.digest = self.hasher.finalize().to_hex().to_string();
        self.results
    }

    pub(super) fn schedule(&mut self, at: Timestamp, event: Event) {
        self.queue.schedule(at, event);
    }

    /// Records the state of the nodes, once a second as long as anything is planned.
    fn end_second(&mut self, last: Timestamp) {
        let counts = NodeCounts::of(&self.nodes, self.now);
        self.results.second(self.now).nodes = counts;
        if self.now < last {
            self.schedule(self.now + SECOND, Event::SecondEnds);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::PlanEntry(index) => match self.plan.entries[index].event.clone() {
                PlanEvent::Query { class, tenant, shard_requests } => {
                    self.send_query(class, tenant, shard_requests);
                }
                PlanEvent::Node { node, event } => self.handle_node_event(node as usize, event),
            },
            Event::FaultAction(index) => self.handle_fault_action(index),
            Event::BrokerTurn(broker) => self.take_turn(broker),
            Event::AttemptArrives { key, node } => self.handle_attempt(key, node),
            Event::CancelArrives(key) => self.handle_cancel(key),
            Event::NodeFinishes(node) => self.handle_finish(node),
            Event::ResultArrives { key, outcome } => self.handle_result(key, outcome),
            Event::AttemptTimesOut(key) => self.handle_result(key, AttemptOutcome::TimedOut),
            Event::EndpointPublished { node } => self.publish_endpoint(node),
            Event::NodePauses(node) => self.pause_node(node),
            Event::NodeRecovers(node) => self.recover_node(node),
            Event::ClientRetries(request) => self.send_request(request),
            Event::ClientLeaves(query) => self.leave_query(query),
            Event::SecondEnds => {}
        }
    }
}

fn first_brokers(config: &SimulationConfig, broker_config: &BrokerConfig) -> Vec<SimulatedBroker> {
    let seed = |number: u32| config.seed ^ u64::from(number).rotate_left(32);
    let start = |number| SimulatedBroker::first(config.policy, broker_config, seed(number));
    (0..config.brokers).map(start).collect()
}

/// Mean work of a shard request, by class.
fn mean_work_us(plan: &Plan, classes: usize) -> Vec<u64> {
    let (mut work_us, mut counts) = (vec![0; classes], vec![0; classes]);
    for entry in &plan.entries {
        let PlanEvent::Query { class, shard_requests, .. } = &entry.event else { continue };
        work_us[*class] += shard_requests.iter().map(|planned| planned.work_us).sum::<u64>();
        counts[*class] += shard_requests.len() as u64;
    }
    work_us.into_iter().zip(counts).map(|(work_us, count)| work_us / count.max(1)).collect()
}
