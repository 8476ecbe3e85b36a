//! The controller: follows the load by steps, and decides on each offered query.

use crate::adaptive_rate::AdaptiveRate;
use crate::config::{AdmissionConfig, InvalidValue};
use crate::fair_share::{max_min_shares, tenant_weight};
use crate::load_statistics::LoadStatistics;
use crate::mode::{DECREASE_HOLD_RATIO, Finding, Mode, STEPS_PER_WINDOW, find_step};
use crate::offered_query::OfferedQuery;
use crate::rules::{Decision, DecisionCounts, find_rule};
use crate::tenants::{TenantTable, TenantUsage};
use routing::{BrokerConfig, Effect, GroupId, Input, LogEvent, NewQuery, QueryId, TenantId, Tenths};
use std::collections::BTreeSet;

/// Admission control in front of one broker.
pub struct AdmissionController {
    pub(crate) config: AdmissionConfig,
    pub(crate) broker_config: BrokerConfig,
    pub(crate) now: Tenths,
    pub(crate) rate: AdaptiveRate,
    pub(crate) load: LoadStatistics,
    pub(crate) tenants: TenantTable,
    mode: Mode,
    decision_counts: DecisionCounts,
    /// When the first inputs came.
    started_at: Option<Tenths>,
    last_step_at: Tenths,
}

/// What the controller makes of a turn's inputs.
#[derive(Clone, Debug, Default)]
pub struct FilteredTurn {
    /// What the broker gets: all inputs but rejected queries and what belongs to them.
    pub inputs: Vec<Input>,
    /// What is done at once: a log line where the mode changed, then rejections.
    pub effects: Vec<Effect>,
}

/// What was decided on the queries of a turn that are not simply admitted.
#[derive(Default)]
struct TurnDecisions {
    rejected: BTreeSet<QueryId>,
    rejected_groups: BTreeSet<GroupId>,
    at_min_coverage: BTreeSet<QueryId>,
}

impl AdmissionController {
    /// A controller in normal mode.
    ///
    /// # Errors
    /// All values of the configuration that can't be used.
    pub fn new(
        config: AdmissionConfig,
        broker_config: &BrokerConfig,
    ) -> Result<AdmissionController, Vec<InvalidValue>> {
        config.check()?;
        Ok(AdmissionController {
            broker_config: broker_config.clone(),
            now: Tenths::ZERO,
            rate: AdaptiveRate::default(),
            load: LoadStatistics::new(config.window),
            tenants: TenantTable::new(config.window, config.max_tenants as usize),
            mode: Mode::Normal,
            decision_counts: DecisionCounts::default(),
            started_at: None,
            last_step_at: Tenths::ZERO,
            config,
        })
    }

    /// Whether all queries are admitted, or a rate.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Shard requests admitted a second while overloaded; 0 while all are admitted.
    pub fn rate(&self) -> f64 {
        self.rate.per_second()
    }

    /// How many queries each decision fell on.
    pub fn decision_counts(&self) -> DecisionCounts {
        self.decision_counts
    }

    /// Sees a turn's inputs before the broker does, and decides on the queries among them.
    pub fn filter_inputs(&mut self, now: Tenths, inputs: &[Input]) -> FilteredTurn {
        self.now = now;
        if self.started_at.is_none_or(|started_at| started_at > now) {
            self.started_at = Some(now);
            self.last_step_at = now;
        }
        let offered = self.read_inputs(inputs);
        let mut effects = Vec::from_iter(self.advance_steps());
        let decisions = self.decide_all(&offered, &mut effects);
        let inputs = inputs.iter().filter_map(|input| decisions.filter_input(input)).collect();
        FilteredTurn { inputs, effects }
    }

    /// Sees what the broker did: its rejections count as overload.
    pub fn record_effects(&mut self, effects: &[Effect]) {
        self.load.record_effects(self.now, effects);
    }

    /// Counts what ended, takes over a new configuration, and collects the queries with their shard requests.
    fn read_inputs(&mut self, inputs: &[Input]) -> Vec<OfferedQuery> {
        let mut offered: Vec<OfferedQuery> = Vec::new();
        for input in inputs {
            match input {
                Input::AttemptEnded(result) => self.load.record_result(self.now, result),
                Input::Config(broker_config) => self.broker_config = (**broker_config).clone(),
                Input::Query(query) => offered.push(OfferedQuery::new(query)),
                Input::ShardRequest(shard_request) => {
                    let mut newest_first = offered.iter_mut().rev();
                    if let Some(query) = newest_first.find(|query| query.group == shard_request.group) {
                        query.shard_requests += 1;
                    }
                }
                _ => {}
            }
        }
        offered
    }

    // ---- steps

    /// Takes each step that has passed since the last, a window's at most; a log line where the mode changed.
    fn advance_steps(&mut self) -> Option<Effect> {
        let step_length = Tenths((self.config.window.0 / STEPS_PER_WINDOW).max(1));
        let steps = ((self.now - self.last_step_at).0 / step_length.0).min(STEPS_PER_WINDOW);
        if steps == 0 {
            return None;
        }
        self.last_step_at = self.now;
        let previous_mode = self.mode;
        for _ in 0..steps {
            self.take_step();
        }
        self.tenants.forget_idle(self.now);
        if self.mode == Mode::Overloaded {
            self.share_rate();
        }
        self.describe_change(previous_mode).map(Effect::Log)
    }

    fn take_step(&mut self) {
        let is_above = self.load.is_above(self.config.level, self.now);
        let finding = if is_above { Finding::AboveLevel } else { Finding::BelowLevel };
        if let Some(step) = find_step(self, finding) {
            self.mode = step.next;
            (step.action)(self);
        }
    }

    fn share_rate(&mut self) {
        let weight = |tenant| tenant_weight(&self.broker_config, tenant);
        let demands = self.tenants.demands(self.now, self.observed_s(), weight);
        let shares = max_min_shares(self.rate.per_second(), self.config.increase, demands);
        self.tenants.set_shares(shares);
    }

    fn describe_change(&self, previous_mode: Mode) -> Option<LogEvent> {
        match (previous_mode, self.mode) {
            (Mode::Normal, Mode::Overloaded) => {
                Some(LogEvent::AdmissionOverloaded { admitted_per_s: self.rate.per_second() })
            }
            (Mode::Overloaded, Mode::Normal) => Some(LogEvent::AdmissionNormal),
            _ => None,
        }
    }

    /// Guards against a rate that falls to nothing while every step is above the level: one that admits
    /// nothing can never find itself below. As many shard requests a window as make one loss the level.
    pub(crate) fn min_rate(&self) -> f64 {
        1.0 / self.config.level / self.window_s()
    }

    /// Shard requests a second that all tenants request.
    pub(crate) fn requested_per_second(&self) -> f64 {
        self.tenants.requested(self.now) / self.observed_s()
    }

    /// Seconds of the window that the controller has seen: one that began lately has counted less.
    pub(crate) fn observed_s(&self) -> f64 {
        let since_start = self.started_at.map_or(Tenths::ZERO, |started_at| self.now - started_at);
        let observed_s = since_start.min(self.config.window).as_ms() / 1000.0;
        observed_s.max(self.window_s() / STEPS_PER_WINDOW as f64)
    }

    fn window_s(&self) -> f64 {
        self.config.window.as_ms() / 1000.0
    }

    // ---- queries

    fn decide_all(&mut self, offered: &[OfferedQuery], effects: &mut Vec<Effect>) -> TurnDecisions {
        let mut decisions = TurnDecisions::default();
        for query in offered {
            let decision = self.decide(query);
            if decision.is_rejection() {
                decisions.rejected.insert(query.id);
                decisions.rejected_groups.insert(query.group);
                effects.push(Effect::Reject { query: query.id, retry_after: self.retry_after() });
            } else if decision == Decision::AdmitAtMinCoverage {
                decisions.at_min_coverage.insert(query.id);
            }
        }
        decisions
    }

    fn decide(&mut self, query: &OfferedQuery) -> Decision {
        let query = &OfferedQuery { tenant: self.tenants.counted_as(query.tenant), ..*query };
        let shard_requests = f64::from(query.shard_requests);
        let (now, window) = (self.now, self.config.window);
        self.tenant(query.tenant).record_requested(now, window, shard_requests);
        // The last row of each mode holds always.
        let Some(rule) = find_rule(self, query) else { return Decision::Admit };
        (rule.action)(self, query);
        self.decision_counts.record(rule.decision);
        if !rule.decision.is_rejection() {
            self.load.record_admitted(now, shard_requests);
        }
        rule.decision
    }

    pub(crate) fn tenant(&mut self, tenant: TenantId) -> &mut TenantUsage {
        self.tenants.get_or_insert(tenant, self.now, self.rate.per_second())
    }

    /// When a retry may find its budget again: after the time in which the effect of a decrease shows; zero
    /// where the configuration does not let clients be sent a time.
    fn retry_after(&self) -> Tenths {
        let limits = &self.broker_config.limits;
        if !limits.retry_after {
            return Tenths::ZERO;
        }
        self.config.window.times(DECREASE_HOLD_RATIO).min(limits.max_retry_after).max(Tenths(1))
    }
}

impl TurnDecisions {
    /// The input as the broker gets it; none where it belongs to a rejected query.
    fn filter_input(&self, input: &Input) -> Option<Input> {
        match input {
            Input::Query(query) if self.rejected.contains(&query.id) => None,
            Input::Query(query) if self.at_min_coverage.contains(&query.id) => {
                Some(Input::Query(NewQuery { min_coverage_only: true, ..query.clone() }))
            }
            Input::ShardRequest(shard_request) if self.rejected_groups.contains(&shard_request.group) => None,
            Input::ClientLeft(query) if self.rejected.contains(query) => None,
            _ => Some(input.clone()),
        }
    }
}
