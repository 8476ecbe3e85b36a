//! The admission controller, which evaluates the load in steps and decides on each offered query. It collects the
//! inputs of the rules, applies the rules in order and records their decisions. Each rule has a module of its own.
//!
//! In each step (a tenth of the window):
//! 1. [`overload_detection`](crate::overload_detection) determines whether there is overload.
//! 2. [`mode`](crate::mode) determines the next mode and the change of the admitted rate.
//! 3. [`adaptive_rate`](crate::adaptive_rate) computes the rate.
//! 4. [`fair_share`](crate::fair_share) divides the rate among the tenants.
//!
//! For each query in overloaded mode:
//! 1. [`retry_budget`](crate::retry_budget) rejects a retry that exceeds its tenant's budget.
//! 2. [`quota`](crate::quota) determines how a query beyond its tenant's share is handled.
//! 3. [`retry_after`](crate::retry_after) determines when the client of a rejected query may retry.

use crate::adaptive_rate::{AdaptiveRate, initial_rate, min_rate};
use crate::config::{AdmissionConfig, InvalidValue};
use crate::decision::{Decision, DecisionCounts};
use crate::fair_share::{max_min_shares, tenant_weight};
use crate::filtered_turn::{FilteredTurn, TurnDecisions};
use crate::load_statistics::LoadStatistics;
use crate::mode::{Mode, RateChange, StepInputs, has_headroom, next_step};
use crate::mode_change::mode_change;
use crate::offered_query::{OfferedQuery, offered_queries};
use crate::overload_detection::is_overloaded;
use crate::quota::{QuotaDecision, QuotaInputs, check_quota};
use crate::retry_after::retry_after;
use crate::retry_budget::RetryBudget;
use crate::tenants::{TenantTable, TenantUsage};
use crate::window::{STEPS_PER_WINDOW, observed_seconds, step_length};
use routing::{BrokerConfig, ClassId, Effect, Input, LogEvent, TenantId, TimeSpan, Timestamp};

/// An admission controller, which decides which queries are passed to one broker.
pub struct AdmissionController {
    config: AdmissionConfig,
    broker_config: BrokerConfig,
    now: Timestamp,
    mode: Mode,
    rate: AdaptiveRate,
    load: LoadStatistics,
    tenants: TenantTable,
    decision_counts: DecisionCounts,
    /// The start of the observation: the time of the first turn, unless the observation was restarted.
    started_at: Option<Timestamp>,
    last_step_at: Timestamp,
}

/// The observed load on which all steps of a turn are based.
#[derive(Clone, Copy)]
struct ObservedLoad {
    is_overloaded: bool,
    requested_per_second: f64,
}

impl AdmissionController {
    /// Creates a controller in normal mode.
    ///
    /// # Errors
    /// Returns one error for each setting whose value is out of bounds.
    pub fn new(
        config: AdmissionConfig,
        broker_config: &BrokerConfig,
    ) -> Result<AdmissionController, Vec<InvalidValue>> {
        config.check()?;
        Ok(AdmissionController {
            broker_config: broker_config.clone(),
            now: Timestamp::ZERO,
            mode: Mode::Normal,
            rate: AdaptiveRate::default(),
            load: LoadStatistics::new(config.window),
            tenants: TenantTable::new(config.window, config.max_tenants as usize),
            decision_counts: DecisionCounts::default(),
            started_at: None,
            last_step_at: Timestamp::ZERO,
            config,
        })
    }

    /// Returns the current mode.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Returns the admitted rate in shard requests per second, or 0 in normal mode, which has no limit.
    pub fn rate(&self) -> f64 {
        self.rate.per_second()
    }

    /// Returns the number of queries for each decision since the controller was created.
    pub fn decision_counts(&self) -> DecisionCounts {
        self.decision_counts
    }

    /// Processes the inputs of a turn before the broker does: records ended attempts, executes the steps that are due
    /// and decides on the queries.
    pub fn filter_inputs(&mut self, now: Timestamp, inputs: &[Input]) -> FilteredTurn {
        self.set_time(now);
        self.record_inputs(inputs);
        let mode_change = self.advance_steps();
        let mut effects = Vec::from_iter(mode_change.map(Effect::Log));
        let decisions = self.decide_queries(&offered_queries(inputs), &mut effects);
        let inputs = inputs.iter().filter_map(|input| decisions.filter_input(input)).collect();
        FilteredTurn { inputs, effects }
    }

    /// Records the broker's effects of the same turn. Rejections by the broker are a signal of overload.
    pub fn record_effects(&mut self, effects: &[Effect]) {
        self.load.record_effects(self.now, effects);
    }

    /// Sets the current time. If the clock was set back to a time before the start of the observation, the
    /// observation restarts at the new time.
    fn set_time(&mut self, now: Timestamp) {
        self.now = now;
        if self.started_at.is_none_or(|started_at| started_at > now) {
            self.started_at = Some(now);
            self.last_step_at = now;
        }
    }

    /// Records ended attempts, and applies a new configuration.
    fn record_inputs(&mut self, inputs: &[Input]) {
        for input in inputs {
            match input {
                Input::AttemptEnded(result) => self.load.record_result(self.now, result),
                Input::Config(broker_config) => self.broker_config = (**broker_config).clone(),
                _ => {}
            }
        }
    }

    // ---- steps

    /// Executes the steps that are due, at most those of one window: the window has no older data, and a turn after a
    /// long idle period must not take long. Returns the log event if the mode changed.
    fn advance_steps(&mut self) -> Option<LogEvent> {
        let step_length = step_length(self.config.window);
        let steps = ((self.now - self.last_step_at).0 / step_length.0).min(STEPS_PER_WINDOW);
        if steps == 0 {
            return None;
        }
        self.last_step_at = self.now;
        let previous_mode = self.mode;
        let observed = self.observe_load();
        // All steps use the same observed load. At most the first can decrease the rate.
        for _ in 0..steps {
            self.execute_step(observed);
        }
        self.tenants.remove_idle(self.now);
        // The shares are not used in normal mode.
        if self.mode == Mode::Overloaded {
            self.share_rate();
        }
        mode_change(previous_mode, self.mode, self.rate.per_second())
    }

    fn observe_load(&self) -> ObservedLoad {
        ObservedLoad {
            is_overloaded: is_overloaded(
                &self.load.overload_inputs(self.now),
                self.config.overload_threshold,
            ),
            requested_per_second: self.tenants.requested(self.now) / self.observed_s(),
        }
    }

    fn execute_step(&mut self, observed: ObservedLoad) {
        let admitted_per_second = self.rate.per_second();
        let requested_per_second = observed.requested_per_second;
        let min_headroom = self.config.recovery_headroom;
        let inputs = StepInputs {
            is_overloaded: observed.is_overloaded,
            may_decrease: self.rate.may_decrease(self.now, self.config.window),
            has_headroom: has_headroom(admitted_per_second, requested_per_second, min_headroom),
        };
        let step = next_step(self.mode, &inputs);
        self.mode = step.next;
        self.change_rate(step.rate_change);
    }

    fn change_rate(&mut self, rate_change: RateChange) {
        let min_rate = min_rate(self.config.overload_threshold, self.config.window);
        match rate_change {
            RateChange::Keep => {}
            RateChange::Start => {
                let served_per_second = self.load.served(self.now) / self.observed_s();
                self.rate.start(self.now, initial_rate(served_per_second, min_rate));
                self.tenants.refill_buckets();
            }
            RateChange::Decrease => self.rate.decrease(self.now, self.config.decrease_factor, min_rate),
            RateChange::Increase => self.rate.increase(self.config.increase_ratio),
            RateChange::Stop => self.rate.stop(),
        }
    }

    fn share_rate(&mut self) {
        let weight = |tenant| tenant_weight(&self.broker_config, tenant);
        let demands = self.tenants.demands(self.now, self.observed_s(), weight);
        // A tenant's demand may grow as fast as the rate does.
        let headroom = self.config.increase_ratio;
        let shares = max_min_shares(self.rate.per_second(), headroom, demands);
        self.tenants.set_shares(shares);
    }

    fn observed_s(&self) -> f64 {
        let since_start = self.started_at.map_or(TimeSpan::ZERO, |started_at| self.now - started_at);
        observed_seconds(since_start, self.config.window)
    }

    // ---- queries

    fn decide_queries(&mut self, offered: &[OfferedQuery], effects: &mut Vec<Effect>) -> TurnDecisions {
        let mut decisions = TurnDecisions::default();
        for query in offered {
            match self.decide(query) {
                Decision::Admit => {}
                Decision::AdmitAtMinCoverage => decisions.limit_to_min_coverage(query.id),
                Decision::RejectOverRetryBudget | Decision::RejectOverQuota => {
                    decisions.reject(query.id, query.group);
                    let retry_after = retry_after(self.config.window, &self.broker_config.limits);
                    effects.push(Effect::Reject { query: query.id, retry_after });
                }
            }
        }
        decisions
    }

    fn decide(&mut self, query: &OfferedQuery) -> Decision {
        let tenant = self.tenants.accounted_tenant(query.tenant);
        let (now, window) = (self.now, self.config.window);
        self.tenant(tenant).record_requested(now, window, f64::from(query.shard_requests));
        let decision = match self.mode {
            Mode::Normal => Decision::Admit,
            Mode::Overloaded => self.decide_overloaded(tenant, query),
        };
        self.record_decision(tenant, query, decision);
        decision
    }

    /// Applies the rules of overloaded mode in order.
    fn decide_overloaded(&mut self, tenant: TenantId, query: &OfferedQuery) -> Decision {
        let (now, window, burst) = (self.now, self.config.window, self.config.burst);
        let admitted_attempts = self.tenant(tenant).admitted_attempts(now, window);
        if query.is_retry() && self.retry_budget().is_exceeded(admitted_attempts) {
            return Decision::RejectOverRetryBudget;
        }
        self.tenant(tenant).fill_bucket(now, burst);
        match check_quota(&self.quota_inputs(tenant, query)) {
            QuotaDecision::WithinQuota => {
                self.tenant(tenant).take_tokens(f64::from(query.shard_requests));
                Decision::Admit
            }
            QuotaDecision::Exempt => Decision::Admit,
            QuotaDecision::MinCoverageOnly => Decision::AdmitAtMinCoverage,
            QuotaDecision::Reject => Decision::RejectOverQuota,
        }
    }

    fn retry_budget(&self) -> RetryBudget {
        RetryBudget { ratio: self.config.retry_ratio, min_retries: self.config.min_retries }
    }

    fn quota_inputs(&mut self, tenant: TenantId, query: &OfferedQuery) -> QuotaInputs {
        let burst = self.config.burst;
        let usage = self.tenant(tenant);
        let is_limited = usage.is_limited;
        let bucket_covers = usage.bucket_covers(f64::from(query.shard_requests), burst);
        QuotaInputs {
            is_limited,
            bucket_covers,
            allows_partial: self.allows_partial(query.class),
            has_other_tenants: self.tenants.has_others(tenant, self.now),
            is_enforced: self.config.enforce_quotas,
        }
    }

    /// Returns whether queries of the class may be answered with less than complete coverage.
    fn allows_partial(&self, class: ClassId) -> bool {
        let class = self.broker_config.classes.get(&class);
        class.is_some_and(|class| class.min_coverage < class.complete_coverage)
    }

    fn record_decision(&mut self, tenant: TenantId, query: &OfferedQuery, decision: Decision) {
        self.decision_counts.record(decision);
        if decision.is_rejection() {
            return;
        }
        let (now, window) = (self.now, self.config.window);
        self.tenant(tenant).record_admitted(now, window, query.is_retry());
        self.load.record_admitted(now, f64::from(query.shard_requests));
    }

    fn tenant(&mut self, tenant: TenantId) -> &mut TenantUsage {
        self.tenants.get_or_insert(tenant, self.now, self.rate.per_second())
    }
}

#[cfg(test)]
mod tests;
