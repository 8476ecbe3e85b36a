//! Event loop of the broker. It handles inputs, collects the inputs of the rules in `policy`, calls the rules, and
//! returns their decisions as effects. Each step has its own file:
//!
//! - `accept`: accepts queries and determines their objective, deadline and configuration.
//! - `admit`: decides whether a query is sent, waits or is rejected.
//! - `select`: selects the shard requests to send.
//! - `send`: sends attempts, retries and hedges.
//! - `attempt_ended`: processes the results of attempts.
//! - `finish`: responds to queries, rejects them or fails them.
//! - `nodes`: provides the state of nodes to the rules.
//! - `endpoints`, `reconfigure`: process endpoint lists and configuration changes.

mod accept;
mod admit;
mod attempt_ended;
mod endpoints;
mod finish;
mod nodes;
mod reconfigure;
mod select;
mod send;

use crate::config::BrokerConfig;
use crate::effective_config::EffectiveConfig;
use crate::effects::Effect;
use crate::ids::QueryId;
use crate::inputs::Input;
use crate::policy::concurrency_limit::ConcurrencyLimit;
use crate::policy::polling;
use crate::policy::query_lifecycle::{Step, TRANSITIONS};
use crate::policy::reconfiguration::derive_config;
use crate::policy::send_delay::max_send_delay;
use crate::state::{BrokerState, QueryEvent, QueryState, ShardRequestState, Timer};
use crate::time::{TimeSpan, Timestamp};
use std::sync::Arc;

/// Routing state machine of one broker. Its decisions depend only on its configuration, its seed and its inputs.
///
/// Create it with [`Broker::start`], pass new inputs to [`Broker::turn`], and carry out the returned effects.
pub struct Broker {
    /// Configuration for new queries. Each open query keeps the one under which it was accepted.
    config: Arc<EffectiveConfig>,
    rng: fastrand::Rng,
    seed: u64,
    state: BrokerState,
}

impl Broker {
    /// Creates a broker without nodes or queries. All its random numbers derive from `seed`, and `now` must come
    /// from the clock that all later turns use.
    pub fn start(config: BrokerConfig, seed: u64, now: Timestamp) -> Broker {
        let limit = ConcurrencyLimit::initial(config.limits.max_open);
        let mut state = BrokerState::new(now, seed, limit);
        if config.watch_on_request {
            state.timers.schedule(now, Timer::WatchEndpoints);
        }
        Broker { config: Arc::new(derive_config(config)), rng: fastrand::Rng::with_seed(seed), seed, state }
    }

    /// Handles the inputs since the last turn, in order, and fires the timers that are due. Returns the effects
    /// that the front end must carry out now, in order.
    pub fn turn(&mut self, now: Timestamp, inputs: &[Input]) -> Vec<Effect> {
        self.begin_turn(now);
        for input in inputs {
            self.handle(input);
        }
        while let Some(timer) = self.state.timers.pop_due(now) {
            self.fire(timer);
        }
        for id in std::mem::take(&mut self.state.queries.updated) {
            self.state.queries.rank_shard_requests(id);
            self.advance(id, QueryEvent::Reevaluate);
        }
        self.send_queued();
        if let Some(after) = self.state.timers.next_wake_up(now) {
            self.state.effects.push(Effect::Wake { after });
        }
        std::mem::take(&mut self.state.effects)
    }

    fn begin_turn(&mut self, now: Timestamp) {
        self.state.now = now;
        self.state.mean_latency = self.state.nodes.mean_latency();
        self.state.superseded_configs.retain(|superseded| superseded.binds_until > now);
        self.state.quarantine.remove_expired(now);
        let windows = self.binding_configs().map(|config| config.retry_budget.window);
        let max_window = windows.max().unwrap_or_default();
        let send_delay = self.max_send_delay();
        self.state.retries.remove_expired(now, max_window, send_delay);
        // Kept for as long as the retry budget keeps accepted requests.
        self.state.recent_shard_requests.remove_before(now - max_window + send_delay);
    }

    fn handle(&mut self, input: &Input) {
        match input {
            Input::EndpointList(list) => self.apply_endpoint_list(list),
            Input::EndpointListFailed { pending } => self.endpoint_list_failed(*pending),
            Input::Config(config) => self.reconfigure((**config).clone()),
            Input::Query(query) => self.accept(query),
            Input::ShardRequest(shard_request) => self.accept_shard_request(shard_request),
            Input::ResponseStarted(id) => self.state.queries.mark_response_started(*id),
            Input::AttemptEnded(result) => self.attempt_ended(result),
            Input::ClientLeft(id) => self.advance(*id, QueryEvent::ClientLeft),
            Input::ProbeEnded(result) => self.probe_ended(result),
            Input::Woken | Input::Ignored => {}
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Objective(id) => self.advance(id, QueryEvent::ObjectiveNear),
            Timer::Deadline(id) => self.advance(id, QueryEvent::DeadlineNear),
            Timer::AttemptCheck(attempt) => self.check_attempt(attempt),
            Timer::Resend(shard_request) => self.state.queries.to_send.push(shard_request),
            // Evaluated as after a response, because the responses received so far may be sufficient now.
            Timer::FirstPhaseEnd(id) => self.advance(id, QueryEvent::ResponseReceived),
            Timer::AdmissionCheck(id) => self.advance(id, QueryEvent::Reevaluate),
            Timer::WatchEndpoints => self.watch_endpoints(),
        }
    }

    /// Applies the matching rows of [`TRANSITIONS`] to a query, in order, up to the first one that moves the query.
    fn advance(&mut self, id: QueryId, event: QueryEvent) {
        let Some(mut query) = self.state.queries.take(id) else { return };
        for row in TRANSITIONS {
            if !row.applies(self, &query, event) {
                continue;
            }
            match row.step {
                Step::Record(record) => record(self, &query),
                Step::Move(to, action) => {
                    query.state = to;
                    action(self, &mut query);
                    break;
                }
            }
        }
        match query.state {
            QueryState::Finished => self.remove_query(&query),
            QueryState::Responded => {
                self.state.queries.put(query);
                self.advance(id, QueryEvent::ResponseSent);
            }
            _ => self.state.queries.put(query),
        }
    }

    /// Sends the queued shard requests. Those of the same turn to the same node share a batch.
    fn send_queued(&mut self) {
        let queries = &mut self.state.queries;
        self.state.in_flight_this_turn = (queries.in_flight.len() + queries.to_send.len()) as f64;
        for id in std::mem::take(&mut queries.to_send) {
            let Some((mut query, index)) = self.state.queries.take_query_of(id) else { continue };
            let is_queued = query.shard_requests[index].state == ShardRequestState::Queued;
            if is_queued && query.state == QueryState::InFlight {
                self.send_attempt(&mut query, index);
            }
            let query_id = query.id;
            let has_failed = query.shard_requests[index].state == ShardRequestState::Failed;
            self.state.queries.put(query);
            if has_failed {
                self.advance(query_id, QueryEvent::ShardRequestFailed);
            }
        }
        self.state.nodes.close_batches();
    }

    /// Returns the newest configuration and the former ones that still apply. An action is permitted only if all
    /// of them allow it.
    fn binding_configs(&self) -> impl Iterator<Item = &EffectiveConfig> {
        let superseded = self.state.superseded_configs.iter().map(|superseded| &*superseded.config);
        std::iter::once(&*self.config).chain(superseded)
    }

    /// Returns the maximum time from a decision to send an attempt to its arrival at the node.
    fn max_send_delay(&self) -> TimeSpan {
        max_send_delay(&self.config.broker)
    }

    /// Schedules `timer` after the polling interval for `latency_objective`.
    fn poll(&mut self, latency_objective: TimeSpan, timer: Timer) {
        let at = self.state.now + polling::interval(latency_objective);
        self.state.timers.schedule(at, timer);
    }
}
