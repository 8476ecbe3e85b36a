//! The engine: owns the routing decisions with their clock and timers, feeds them what happens, and carries
//! out what they say.
//!
//! A front end hands a [`QueryRequest`] to [`Engine::submit`] and waits for its [`QueryOutcome`]; discovery
//! calls [`Engine::update_endpoints`]. Both only add inputs; [`Engine::run`] gives the decisions their turns.

mod attempt_table;
mod clock;
mod decider;
mod dispatch;
mod endpoints;
mod handles;
mod id_registry;
mod query;
mod query_table;
mod submission;

#[cfg(test)]
mod tests;

pub use handles::{AcceptedQuery, ReservedMemory};
pub use query::{AdmissionError, QueryOutcome, QueryRequest, RequestedShard};

use crate::codec::read_load_report;
use crate::config_epoch::ConfigEpoch;
use crate::limits::{Limits, to_duration};
use crate::node_pool::{AttemptEnd, AttemptId, NodePool, ProbeReply};
use admission_control::AdmissionConfig;
use attempt_table::{AttemptTable, TimerKind};
use bytes::Bytes;
use clock::BrokerClock;
use decider::Decider;
use id_registry::IdRegistry;
use query_table::QueryTable;
use routing::{AttemptOutcome, AttemptResult, BrokerConfig, Input, ProbeResult, Tenths};
use settings::BrokerSettings;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// How long the event loop sleeps at most while no timer is set.
const LONGEST_SLEEP: Duration = Duration::from_secs(3600);

/// One broker's decisions, and what they are taken from and carried out on.
///
/// It lives on one thread, shared by the front end, discovery and the event loop; no borrow of a cell is held
/// across an `await`.
pub struct Engine {
    limits: Rc<Limits>,
    clock: BrokerClock,
    nodes: Rc<NodePool>,
    decider: RefCell<Decider>,
    /// What has happened since the last turn.
    inputs: RefCell<Vec<Input>>,
    queries: RefCell<QueryTable>,
    attempts: RefCell<AttemptTable>,
    ids: RefCell<IdRegistry>,
    epoch: RefCell<Rc<ConfigEpoch>>,
    /// When the decisions want their next turn.
    wake_at: Cell<Option<Tenths>>,
    /// Notified when there is an input.
    work_ready: Notify,
    /// Notified when the routing decisions want the endpoint list watched.
    pub watch_requested: Notify,
}

impl Engine {
    /// `started_unix`: the Unix time of this moment; `None`: the system's. `admission`: the configuration of
    /// admission control, where it is switched on.
    pub fn new(
        broker_settings: BrokerSettings,
        seed: u64,
        limits: Rc<Limits>,
        started_unix: Option<Tenths>,
        admission: Option<AdmissionConfig>,
    ) -> Rc<Engine> {
        let epoch = Rc::new(ConfigEpoch::new(&broker_settings));
        let BrokerSettings { broker_config, zones, .. } = broker_settings;
        let clock = BrokerClock::start(started_unix);
        let decider = Decider::new(broker_config, seed, clock.start_time(), admission);
        Rc::new(Engine {
            clock,
            nodes: NodePool::new(limits.clone()),
            decider: RefCell::new(decider),
            inputs: RefCell::new(vec![Input::Woken]),
            queries: RefCell::new(QueryTable::new(limits.max_held_bytes)),
            attempts: RefCell::default(),
            ids: RefCell::new(IdRegistry::new(zones)),
            epoch: RefCell::new(epoch),
            wake_at: Cell::default(),
            work_ready: Notify::new(),
            watch_requested: Notify::new(),
            limits,
        })
    }

    fn push_input(&self, input: Input) {
        self.inputs.borrow_mut().push(input);
        self.work_ready.notify_one();
    }

    /// Whether discovery has named a ready node since the start.
    pub fn can_serve(&self) -> bool {
        self.ids.borrow().has_seen_ready_node()
    }

    /// The number of nodes that discovery lists as ready.
    pub fn ready_nodes(&self) -> usize {
        self.ids.borrow().ready_node_count()
    }

    /// The number of queries without an outcome.
    pub fn open_queries(&self) -> usize {
        self.queries.borrow().len()
    }

    /// The attempts in flight, in order: the node's address, and the shard request's id on the wire. A
    /// simulation compares them with what its nodes have, to see whether anything is under way.
    pub fn attempts_in_flight(&self) -> Vec<(SocketAddr, Bytes)> {
        self.nodes.in_flight()
    }

    /// The number of attempts in flight.
    pub fn in_flight_count(&self) -> usize {
        self.nodes.count_in_flight()
    }

    /// The configuration under which queries are accepted now.
    pub fn epoch(&self) -> Rc<ConfigEpoch> {
        self.epoch.borrow().clone()
    }

    /// Accepts queries under another configuration from now on. Both sides change in one step: a query that a
    /// front end has read under the former epoch precedes the change among the inputs, any later one follows
    /// it.
    pub fn apply_config(&self, epoch: ConfigEpoch, broker_config: BrokerConfig) {
        self.epoch.replace(Rc::new(epoch));
        self.push_input(Input::Config(Box::new(broker_config)));
    }

    /// Gives the decisions their turns, at least the configured period apart, for as long as the broker runs.
    pub async fn run(self: Rc<Self>) {
        let period = to_duration(self.limits.turn_period);
        let mut last_turn: Option<Instant> = None;
        loop {
            let due = self.next_due();
            if self.inputs.borrow().is_empty() && due.is_none_or(|due| due > Instant::now()) {
                self.wait_for_work(due).await;
                continue;
            }
            if let Some(last_turn) = last_turn {
                sleep_until(last_turn + period).await;
            }
            last_turn = Some(Instant::now());
            self.turn();
        }
    }

    async fn wait_for_work(&self, due: Option<Instant>) {
        let longest = Instant::now() + LONGEST_SLEEP;
        tokio::select! {
            () = self.work_ready.notified() => {}
            () = self.nodes.results_ready.notified() => {
                self.collect_ended_attempts();
                self.collect_probe_results();
            }
            () = sleep_until(due.unwrap_or(longest)) => {}
        }
    }

    /// When the next turn, or the next timer of an attempt, is due.
    fn next_due(&self) -> Option<Instant> {
        let timer = self.attempts.borrow().next_due();
        self.wake_at.get().into_iter().chain(timer).min().map(|at| self.clock.to_instant(at))
    }

    /// One turn: what has happened goes in, what the decisions say is carried out.
    fn turn(&self) {
        let now = self.clock.now();
        self.end_overdue_attempts(now);
        self.collect_ended_attempts();
        self.collect_probe_results();
        let mut inputs = self.inputs.take();
        if self.wake_at.get().is_some_and(|at| at <= now) {
            self.wake_at.set(None);
            inputs.push(Input::Woken);
        }
        if inputs.is_empty() {
            return;
        }
        self.set_time_left(&mut inputs, now);
        let effects = self.decider.borrow_mut().turn(now, &inputs);
        self.carry_out(now, effects);
    }

    fn end_overdue_attempts(&self, now: Tenths) {
        while let Some(timer) = self.next_due_timer(now) {
            match timer.kind {
                TimerKind::WriteDeadline => self.nodes.abort_incomplete(timer.attempt),
                TimerKind::Timeout => self.nodes.cancel(timer.attempt, AttemptOutcome::TimedOut),
            }
        }
    }

    /// A function of its own: the table is not borrowed while its timer is acted on.
    fn next_due_timer(&self, now: Tenths) -> Option<attempt_table::AttemptTimer> {
        self.attempts.borrow_mut().pop_due(now)
    }

    /// A query's time runs from when its client sent it, not from the turn that takes it in.
    fn set_time_left(&self, inputs: &mut [Input], now: Tenths) {
        let queries = self.queries.borrow();
        for input in inputs {
            if let Input::Query(query) = input {
                let deadline = queries.deadline(query.id).unwrap_or(now);
                query.time_left = (deadline - now).max(Tenths::ZERO);
            }
        }
    }

    /// Takes over the ends of attempts, with the responses that came.
    fn collect_ended_attempts(&self) {
        for ended in self.nodes.fetch_attempt_ends() {
            if let Some(result) = self.attempt_result(ended) {
                self.inputs.borrow_mut().push(Input::AttemptEnded(result));
            }
        }
    }

    /// The result of an attempt, unless its end was known before. A response that there is no room for is an
    /// error.
    fn attempt_result(&self, ended: AttemptEnd) -> Option<AttemptResult> {
        let AttemptEnd { attempt: id, outcome: end, value: response, at } = ended;
        let in_flight = self.attempts.borrow_mut().remove(id)?;
        let AttemptId { shard_request, number: attempt } = id;
        let mut queries = self.queries.borrow_mut();
        let is_kept = response.is_none_or(|response| queries.keep_response(shard_request, &response));
        let outcome = if is_kept { end } else { AttemptOutcome::Errored };
        if matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost) {
            queries.note_lost_node(shard_request);
        }
        let duration = self.clock.to_tenths(at) - in_flight.sent_at;
        Some(AttemptResult { shard_request, attempt, node: in_flight.node, outcome, duration })
    }

    /// Takes over what load probes brought. `is_valid`: the node answered.
    fn collect_probe_results(&self) {
        for ProbeReply { node, report } in self.nodes.fetch_probe_replies() {
            let is_valid = report.is_some();
            let report = report.map(|report| read_load_report(&report)).unwrap_or_default();
            self.push_input(Input::ProbeEnded(ProbeResult { node, is_valid, report }));
        }
    }
}
