//! Brokers of a simulation: they collect inputs, take turns, and their effects are carried out.

use crate::baseline::{Baseline, BaselinePolicy};
use crate::fault_injector::MessageDirection;
use crate::invariants::{QueryEnd, ShardRequestIndex};
use crate::simulation::Simulation;
use crate::simulation::config::RoutingPolicy;
use crate::simulation::deployment::TURN_PERIOD;
use crate::simulation::event::{AttemptKey, Event};
use crate::simulation::runner::Attempt;
use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker};
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, Broker, BrokerConfig, Effect, Input, NodeId, QueryId,
    ShardRequestId, TimeSpan, Timestamp,
};

/// What decides for a broker.
enum RoutingEngine {
    Product(Box<Broker>),
    Admitted(Box<AdmittedBroker>),
    Baseline(Box<Baseline>),
}

impl RoutingEngine {
    fn new(policy: RoutingPolicy, config: &BrokerConfig, seed: u64, now: Timestamp) -> RoutingEngine {
        let baseline = |policy| RoutingEngine::Baseline(Box::new(Baseline::new(policy, config, seed)));
        let broker = || Broker::start(config.clone(), seed, now);
        match policy {
            RoutingPolicy::Product => RoutingEngine::Product(Box::new(broker())),
            RoutingPolicy::AdmissionController => {
                let controller = AdmissionController::new(AdmissionConfig::default(), config)
                    .unwrap_or_else(|_| unreachable!("the default admission configuration is valid"));
                RoutingEngine::Admitted(Box::new(AdmittedBroker::new(controller, broker())))
            }
            RoutingPolicy::Random => baseline(BaselinePolicy::Random),
            RoutingPolicy::Design => baseline(BaselinePolicy::Design),
        }
    }

    fn turn(&mut self, now: Timestamp, inputs: &[Input]) -> Vec<Effect> {
        match self {
            RoutingEngine::Product(broker) => broker.turn(now, inputs),
            RoutingEngine::Admitted(admitted) => admitted.turn(now, inputs),
            RoutingEngine::Baseline(baseline) => baseline.turn(now, inputs),
        }
    }
}

/// A broker and its turns.
pub(super) struct SimulatedBroker {
    engine: RoutingEngine,
    /// Inputs since its last turn.
    inputs: Vec<Input>,
    last_turn: Timestamp,
    next_turn: Option<Timestamp>,
    /// The earliest wake-up that was requested and has not come.
    wake_at: Option<Timestamp>,
}

impl SimulatedBroker {
    /// A broker as the day begins; it may take its first turn at once.
    pub(super) fn first(policy: RoutingPolicy, config: &BrokerConfig, seed: u64) -> SimulatedBroker {
        let last_turn = Timestamp(-TURN_PERIOD.0);
        SimulatedBroker { last_turn, ..SimulatedBroker::restarted(policy, config, seed, Timestamp(0)) }
    }

    /// A broker without any state.
    pub(super) fn restarted(
        policy: RoutingPolicy,
        config: &BrokerConfig,
        seed: u64,
        now: Timestamp,
    ) -> SimulatedBroker {
        let engine = RoutingEngine::new(policy, config, seed, now);
        SimulatedBroker { engine, inputs: Vec::new(), last_turn: now, next_turn: None, wake_at: None }
    }
}

impl Simulation {
    /// Hands an input to a broker for its next turn.
    pub(super) fn notify_broker(&mut self, broker: usize, input: Input) {
        self.brokers[broker].inputs.push(input);
        let due = self.now.max(self.brokers[broker].last_turn + TURN_PERIOD);
        self.schedule_turn(broker, due);
    }

    fn schedule_turn(&mut self, broker: usize, at: Timestamp) {
        if self.brokers[broker].next_turn.is_none_or(|turn| turn > at) {
            self.brokers[broker].next_turn = Some(at);
            self.schedule(at, Event::BrokerTurn(broker));
        }
    }

    pub(super) fn take_turn(&mut self, broker: usize) {
        let now = self.now;
        let state = &mut self.brokers[broker];
        if state.next_turn != Some(now) {
            return;
        }
        (state.next_turn, state.last_turn) = (None, now);
        state.wake_at = state.wake_at.filter(|at| *at > now);
        let mut inputs = std::mem::take(&mut state.inputs);
        self.update_time_left(&mut inputs);
        inputs.push(Input::Woken);
        for effect in self.brokers[broker].engine.turn(now, &inputs) {
            let line = format!("{} {broker} {effect:?}\n", now.0);
            self.hasher.update(line.as_bytes());
            self.apply_effect(broker, effect);
        }
        // An earlier turn may have taken the place of the one that a wake-up was scheduled for; the decider
        // requests a wake-up only once.
        if let Some(at) = self.brokers[broker].wake_at {
            self.schedule_turn(broker, at);
        }
    }

    /// Queries have waited for this turn: sets what is left of their time now.
    fn update_time_left(&self, inputs: &mut [Input]) {
        for input in inputs {
            if let Input::Query(new) = input {
                let query = self.queries.get(new.id.0 as usize);
                let until = query.map_or(self.now, |query| self.requests[query.request].until);
                new.time_left = (until - self.now).max(TimeSpan::ZERO);
            }
        }
    }

    fn apply_effect(&mut self, broker: usize, effect: Effect) {
        match effect {
            Effect::Send { shard_request, node, timeout } => {
                self.send_attempt(broker, shard_request, node, timeout);
            }
            Effect::Cancel { shard_request, attempt } => {
                self.cancel_attempt(AttemptKey { broker, shard_request, attempt });
            }
            Effect::Respond { query, complete } => {
                let counted = self.answered_shard_requests(query);
                let end = QueryEnd::Responded { complete, counted };
                self.end_query(broker, query, &end, TimeSpan::ZERO);
            }
            Effect::Reject { query, retry_after } => {
                self.end_query(broker, query, &QueryEnd::Rejected, retry_after);
            }
            Effect::Fail { query } => self.end_query(broker, query, &QueryEnd::Failed, TimeSpan::ZERO),
            Effect::Wake { after } => {
                let at = (self.now + after).max(self.now + TURN_PERIOD);
                let state = &mut self.brokers[broker];
                state.wake_at = Some(state.wake_at.map_or(at, |earlier| earlier.min(at)));
            }
            // Simulated nodes report no load by probes, and brokers are configured for that.
            Effect::Probe { .. } | Effect::CloseIdle { .. } | Effect::WatchEndpoints | Effect::Log(_) => {}
        }
    }

    fn send_attempt(&mut self, broker: usize, id: ShardRequestId, node: NodeId, timeout: TimeSpan) {
        let sent_at = self.now;
        let Some(shard_request) = self.shard_requests.get_mut(id.0 as usize) else { return };
        let attempt = AttemptNumber(shard_request.attempts.len() as u16);
        let node = node.0 as usize;
        shard_request.attempts.push(Attempt { node, sent_at, is_open: true });
        self.results.record_attempt(sent_at);
        let key = AttemptKey { broker, shard_request: id, attempt };
        if let Some(latency) = self.injector.latency(broker, node, MessageDirection::ToNode) {
            self.schedule(sent_at + latency, Event::AttemptArrives { key, node });
        }
        self.schedule(sent_at + timeout, Event::AttemptTimesOut(key));
    }

    fn cancel_attempt(&mut self, key: AttemptKey) {
        let shard_request = self.shard_requests.get(key.shard_request.0 as usize);
        let attempt = shard_request.and_then(|request| request.attempts.get(key.attempt.0 as usize));
        let node = attempt.map(|attempt| attempt.node);
        let latency = |node| self.injector.latency(key.broker, node, MessageDirection::ToNode);
        if let Some(latency) = node.and_then(latency) {
            self.schedule(self.now + latency, Event::CancelArrives(key));
        }
        // For its broker a cancelled attempt has ended at once.
        self.handle_result(key, AttemptOutcome::Cancelled);
    }

    fn answered_shard_requests(&self, query: QueryId) -> Vec<ShardRequestIndex> {
        let query = self.queries.get(query.0 as usize);
        let shard_requests = query.map_or(0..0, |query| query.shard_requests.clone());
        let answered = shard_requests.filter(|index| self.shard_requests[*index].has_response);
        answered.map(ShardRequestIndex).collect()
    }

    /// The first result of an attempt reaches its broker; later ones are dropped.
    pub(super) fn handle_result(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        let Some(shard_request) = self.shard_requests.get_mut(key.shard_request.0 as usize) else { return };
        let attempt = shard_request.attempts.get_mut(key.attempt.0 as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_open) else { return };
        attempt.is_open = false;
        let (node, duration) = (NodeId(attempt.node as u64), self.now - attempt.sent_at);
        shard_request.has_response |= outcome == AttemptOutcome::Succeeded;
        let AttemptKey { broker, shard_request, attempt } = key;
        let result = AttemptResult { shard_request, attempt, node, outcome, duration };
        self.notify_broker(broker, Input::AttemptEnded(result));
    }

    fn end_query(&mut self, broker: usize, id: QueryId, end: &QueryEnd, retry_after: TimeSpan) {
        let own_query = self.queries.get_mut(id.0 as usize).filter(|query| query.broker == broker);
        let ended = own_query.map(|query| (query.request, std::mem::take(&mut query.is_open)));
        // An unknown query, or one of another broker, breaks a rule.
        let index = if ended.is_some() { id.0 as usize } else { usize::MAX };
        // A client that has left gets nothing of it.
        if ended.is_some_and(|(_, was_open)| !was_open) && self.invariants.is_released(index) {
            return;
        }
        let coverage = self.invariants.query_ended(self.now, index, end);
        let Some((coverage, (request, _))) = coverage.zip(ended) else { return };
        match end {
            QueryEnd::Responded { .. } => {
                let origin = self.requests[request].origin;
                self.results.record_response(self.now, origin, coverage);
            }
            QueryEnd::Rejected => self.handle_rejection(request, retry_after),
            QueryEnd::Failed => self.handle_failure(request),
        }
    }
}
