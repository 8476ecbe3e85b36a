//! Runs a scenario against one broker: keeps its clock, its inputs and its effects.

use crate::configuration::default_config;
use crate::words::{Words, check_keys, name};
use routing::{Broker, BrokerConfig, Effect, Input, NodeId, QueryId, ShardRequestId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// The seed of the broker in every scenario.
const SEED: u64 = 1;

/// An attempt that the broker has sent.
pub struct SentAttempt {
    pub node: NodeId,
    pub sent_at: Timestamp,
    pub is_in_flight: bool,
}

#[derive(Default)]
pub struct ScenarioRunner {
    /// The configuration according to the statements so far; in effect from the start, or from `configure`
    /// on.
    pub config: BrokerConfig,
    pub class_names: Vec<String>,
    broker: Option<Broker>,
    pub now: Timestamp,
    wake_ups: BTreeSet<Timestamp>,
    /// The inputs since the last turn.
    pub inputs: Vec<Input>,
    /// The effects since the last `at` statement or input, in the scenario notation.
    pub effects: Vec<String>,
    /// The attempts of each shard request, indexed by attempt number.
    pub attempts: BTreeMap<ShardRequestId, Vec<SentAttempt>>,
    pub shard_requests: BTreeMap<ShardRequestId, QueryId>,
    /// The queries without a final response.
    pub open: BTreeSet<QueryId>,
    /// The nodes that the endpoint list reported as draining or removed.
    pub ineligible: BTreeSet<NodeId>,
    /// The queries whose second phase has not started.
    pub awaiting_second_phase: BTreeSet<QueryId>,
}

impl ScenarioRunner {
    pub fn new() -> ScenarioRunner {
        ScenarioRunner { config: default_config(), ..ScenarioRunner::default() }
    }

    /// Runs one statement.
    pub fn execute(&mut self, words: Words) {
        match words[0] {
            ">" => return self.expect(&words[1..].to_vec()),
            "at" => return self.advance(Timestamp::from_ms(words[1].trim_end_matches(':').parse().unwrap())),
            _ => check_keys(&words),
        }
        if !self.configure(&words) {
            self.receive(&words);
        }
    }

    /// Processes the wake-ups before `at`, then sets the clock to `at`.
    pub fn advance(&mut self, at: Timestamp) {
        self.turn();
        self.effects.clear();
        while let Some(wake) = self.wake_ups.first().copied().filter(|wake| *wake < at) {
            self.wake_ups.remove(&wake);
            self.now = self.now.max(wake);
            self.inputs.push(Input::Woken);
            self.turn();
        }
        self.now = at;
        if self.wake_ups.remove(&at) {
            self.inputs.push(Input::Woken);
        }
    }

    /// Runs a turn of the broker with the pending inputs; the first turn starts the broker.
    pub fn turn(&mut self) {
        let (config, now) = (&self.config, self.now);
        let is_new = self.broker.is_none();
        let broker = self.broker.get_or_insert_with(|| Broker::start(config.clone(), SEED, now));
        if self.inputs.is_empty() && !is_new {
            return;
        }
        let inputs = std::mem::take(&mut self.inputs);
        for effect in broker.turn(now, &inputs) {
            self.check_invariants(&effect);
            let recorded = self.record_effect(effect);
            self.effects.push(recorded);
        }
    }

    /// Checks an effect against the invariants of every scenario: one final response for each query, nothing
    /// sent after it, and nothing sent to a node that is draining or was removed.
    fn check_invariants(&mut self, effect: &Effect) {
        match effect {
            Effect::Respond { query, .. } if self.awaiting_second_phase.remove(query) => {}
            Effect::Respond { query, .. } | Effect::Reject { query, .. } | Effect::Fail { query } => {
                assert!(self.open.remove(query), "second final response for query {}", name(query.0));
            }
            Effect::Send { shard_request, node, .. } => {
                let is_open = self.open.contains(&self.shard_requests[shard_request]);
                assert!(
                    is_open,
                    "shard request {} sent after the final response of its query",
                    name(shard_request.0)
                );
                let is_eligible = !self.ineligible.contains(node);
                assert!(
                    is_eligible,
                    "shard request {} sent to the draining or removed node {}",
                    name(shard_request.0),
                    name(node.0)
                );
            }
            _ => {}
        }
    }

    /// Records an effect and returns it in the scenario notation.
    fn record_effect(&mut self, effect: Effect) -> String {
        match effect {
            Effect::Send { shard_request, node, timeout } => {
                let attempt = SentAttempt { node, sent_at: self.now, is_in_flight: true };
                self.attempts.entry(shard_request).or_default().push(attempt);
                format!("send {} {} {}", name(shard_request.0), name(node.0), timeout.as_ms())
            }
            Effect::Cancel { shard_request, attempt } => {
                format!("cancel {} {}", name(shard_request.0), attempt.0)
            }
            Effect::Respond { query, complete } => {
                format!("respond {} {}", name(query.0), if complete { "complete" } else { "partial" })
            }
            Effect::Reject { query, .. } => format!("reject {}", name(query.0)),
            Effect::Fail { query } => format!("fail {}", name(query.0)),
            Effect::Wake { after } => {
                self.wake_ups.insert(self.now + after);
                "wake".to_owned()
            }
            Effect::Probe { node } => format!("probe {}", name(node.0)),
            Effect::CloseIdle { node } => format!("close {}", name(node.0)),
            Effect::WatchEndpoints => "watch".to_owned(),
            Effect::Log(event) => format!("log {event}"),
        }
    }
}
