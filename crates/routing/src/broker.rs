//! The broker's event loop: what comes in goes to the decisions in `policy`, and what these do comes out.

use crate::config::BrokerConfig;
use crate::effective_config::EffectiveConfig;
use crate::effects::Effect;
use crate::inputs::{AttemptOutcome, AttemptResult, Input};
use crate::policy::{COMMON_LIMIT_SHARE, PRESSURE_SLICES, RESEND_SHARE, derive_config};
use crate::state::QueryEvent::{ClientLeft, DeadlineNear, ObjectiveNear, Ready};
use crate::state::QueryEvent::{ResponseReceived, ShardRequestFailed};
use crate::state::{AttemptId, BrokerState, Execution, QueryState, ShardRequestState, Timer};
use crate::time::Tenths;
use std::sync::Arc;

/// The routing decisions of one broker, made from nothing but what that broker was told.
///
/// Make it with [`Broker::start`], give [`Broker::turn`] all that has come in, and carry out what comes back.
pub struct Broker {
    /// The configuration under which queries are accepted now; each keeps its own to its end.
    pub(crate) config: Arc<EffectiveConfig>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) seed: u64,
    pub(crate) state: BrokerState<PRESSURE_SLICES>,
}

impl Broker {
    /// A broker that has just started and knows nothing but its configuration. `seed` is where its chance
    /// comes from, `now` the moment by the clock of all later turns.
    pub fn start(config: BrokerConfig, seed: u64, now: Tenths) -> Broker {
        let mut state = BrokerState {
            now,
            concurrency_limit: f64::from(config.limits.max_open) * COMMON_LIMIT_SHARE,
            endpoint_list_is_stale: true,
            replica_draw: seed,
            ..BrokerState::default()
        };
        if config.watch_on_request {
            state.schedule(now, Timer::WatchEndpoints);
        }
        Broker { config: Arc::new(derive_config(config)), rng: fastrand::Rng::with_seed(seed), seed, state }
    }

    /// Takes in all that has come since the last turn, in order, and tells what to do at this same moment, in
    /// order.
    pub fn turn(&mut self, now: Tenths, inputs: &[Input]) -> Vec<Effect> {
        self.begin_turn(now);
        for input in inputs {
            self.handle(input);
        }
        while let Some(timer) = self.state.pop_due_timer() {
            self.fire(timer);
        }
        for id in std::mem::take(&mut self.state.updated_queries) {
            self.state.rank_shard_requests(id);
            self.advance(id, Ready);
        }
        self.send_queued();
        self.state.request_wake();
        std::mem::take(&mut self.state.effects)
    }

    fn begin_turn(&mut self, now: Tenths) {
        self.state.now = now;
        self.state.average_latency = self.state.mean_latency();
        self.state.superseded_configs.retain(|superseded| superseded.binds_until > now);
        let longest = self.binding_configs().map(|config| config.retry_budget.window).max();
        let window_start = now - longest.unwrap_or_default();
        self.state.forget_before(window_start + self.send_delay(), window_start - self.send_delay());
    }

    fn handle(&mut self, input: &Input) {
        match input {
            Input::EndpointList(list) => self.take_endpoint_list(list),
            Input::EndpointListFailed => self.endpoint_list_failed(),
            Input::Config(config) => self.reconfigure((**config).clone()),
            Input::Query(query) => self.accept(query),
            Input::ShardRequest(shard_request) => self.state.add_shard_request(shard_request),
            Input::ResponseStarted(shard_request) => self.state.mark_response_started(*shard_request),
            Input::AttemptEnded(result) => self.attempt_ended(result),
            Input::ClientLeft(id) => self.advance(*id, ClientLeft),
            Input::ProbeEnded(result) => self.state.record_probe_result(result),
            Input::Woken | Input::Ignored => {}
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Objective(id) => self.advance(id, ObjectiveNear),
            Timer::Deadline(id) => self.advance(id, DeadlineNear),
            Timer::AttemptCheck(attempt) => self.check_attempt(attempt),
            Timer::Resend(shard_request) => self.state.to_send.push(shard_request),
            Timer::FirstPhaseHalfway(id) => self.advance(id, ResponseReceived),
            Timer::AdmissionCheck(id) => self.advance(id, Ready),
            Timer::WatchEndpoints => self.watch_endpoints(),
        }
    }

    /// Sends the queued shard requests; those of one turn to one node share a batch.
    pub(crate) fn send_queued(&mut self) {
        self.state.in_flight_this_turn = (self.state.in_flight.len() + self.state.to_send.len()) as f64;
        for id in std::mem::take(&mut self.state.to_send) {
            let Some((mut query, index)) = self.state.take_query_of(id) else { continue };
            let is_queued = query.shard_requests[index].state == ShardRequestState::Queued;
            if is_queued && query.state == QueryState::InFlight {
                self.send_attempt(&mut query, index);
            }
            let (query_id, state) = (query.id, query.shard_requests[index].state);
            self.state.put_query(query);
            if state == ShardRequestState::Failed {
                self.advance(query_id, ShardRequestFailed);
            }
        }
        self.state.close_batches();
    }

    fn attempt_ended(&mut self, result: &AttemptResult) {
        let Some(meaning) = result.outcome.meaning() else { return };
        let id = AttemptId { shard_request: result.shard_request, number: result.attempt };
        let attempt = self.state.in_flight.remove(&id);
        if let Some(attempt) = &attempt {
            self.learn(attempt, result, meaning);
        }
        if meaning.execution == Execution::Unsent {
            self.state.retries.retain(|retry| retry.attempt != id);
        }
        let Some((mut query, index)) = self.state.take_query_of(id.shard_request) else { return };
        let on_reused_connection = attempt.is_none_or(|attempt| attempt.on_reused_connection());
        if result.outcome == AttemptOutcome::ConnectionLost && !on_reused_connection {
            query.lost_nodes.insert(result.node);
        }
        let before = query.shard_requests[index].state;
        query.shard_requests[index].set_execution(id.number, meaning.execution);
        let after = self.state_after(&query, index, result.outcome);
        query.shard_requests[index].state = after;
        let query_id = query.id;
        self.state.put_query(query);
        match after {
            ShardRequestState::Queued => self.state.to_send.push(id.shard_request),
            ShardRequestState::Received if before != after => self.advance(query_id, ResponseReceived),
            ShardRequestState::Failed if before != after => self.advance(query_id, ShardRequestFailed),
            _ => {}
        }
    }

    /// The newest configuration, and older ones that still bind: what may be done is what all of them allow.
    pub(crate) fn binding_configs(&self) -> impl Iterator<Item = &EffectiveConfig> {
        let superseded = self.state.superseded_configs.iter().map(|superseded| &*superseded.config);
        std::iter::once(&*self.config).chain(superseded)
    }

    /// Schedules a timer after a short share of a latency objective.
    pub(crate) fn schedule_soon(&mut self, latency_objective: Tenths, timer: Timer) {
        let delay = latency_objective.times(RESEND_SHARE).max(Tenths(1));
        self.state.schedule(self.state.now + delay, timer);
    }
}
