//! The admission controller's decisions. Read `STEPS` first, what the admission controller is at each step of its window, then `RULES`,
//! what becomes of a query; the rest serves them. `docs/admission.md` tells why.

use crate::config::{AdmissionConfig, InvalidValue};
use crate::state::{Asked, ControllerState, Tenant};
use Found::{Calm, Harmed};
use Mode::{Normal, Overloaded};
use routing::{
    AttemptOutcome, AttemptResult, BrokerConfig, Effect, GroupId, Input, NewQuery, QueryId, TenantId, Tenths,
};
use std::collections::BTreeSet;

/// The starting values (`AdmissionConfig::default()`): the design's starting level of pressure and its window;
/// a decrease and an increase as in congestion control, which halve the rate in three steps and double it in
/// seven; open again at twice what is asked; a second's burst; retries a fifth of first tries and three,
/// as the retry budgets of well-known proxies have it.
impl Default for AdmissionConfig {
    fn default() -> AdmissionConfig {
        AdmissionConfig {
            level: 0.1,
            window: Tenths(50_000),
            decrease: 0.8,
            increase: 0.1,
            open_above: 2.0,
            burst: Tenths(10_000),
            retry_share: 0.2,
            retry_floor: 3.0,
            most_callers: 10_000,
            shares: true,
        }
    }
}

/// Steps of a window: a tenth of it, as its slices. After a cut, harm is not heard of at once: an attempt that
/// finds a queue times out late. Harm found within half a window of a cut is taken as the cut's.
const STEPS_A_WINDOW: i64 = 10;
const HOLD: f64 = 0.5;
/// Harm is judged over this share of the window: what the last steps found, not the whole window's past.
const LATELY: f64 = 0.2;

/// Whether the admission controller lets in all, or a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Normal,
    Overloaded,
}

/// What a step finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Found {
    Calm,
    Harmed,
}

type StepGuard = fn(&AdmissionController) -> bool;
type StepAct = fn(&mut AdmissionController);

/// At a mode, on what a step finds, if the guard holds: the next mode, and what is done.
struct Step(Mode, Found, StepGuard, Mode, StepAct);

#[rustfmt::skip]
const STEPS: &[Step] = &[
    Step(Normal,    Harmed, |_| true,    Overloaded, AdmissionController::close_in),
    Step(Normal,    Calm,   |_| true,    Normal,    |_| ()),
    Step(Overloaded, Harmed, AdmissionController::may_cut, Overloaded, AdmissionController::slow_down),
    Step(Overloaded, Harmed, |_| true,    Overloaded, |_| ()),
    Step(Overloaded, Calm,   AdmissionController::roomy, Normal,    AdmissionController::open_up),
    Step(Overloaded, Calm,   |_| true,    Overloaded, AdmissionController::speed_up),
];

/// What a query is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Admit,
    /// Declined: its tenant's retries are over their budget.
    RejectRetryBudget,
    /// Declined: its tenant asks for more than its share, its bucket does not hold the shard requests, and others
    /// ask. They are not trimmed by it.
    RejectQuota,
    /// Passed, to be served at its minimum coverage only: as `Share`, but its class takes partial answers.
    /// The heaviest shard requests earn most of its priority weight for a few attempts, where a rejection earns nothing.
    AdmitAtMinCoverage,
}

type AskGuard = fn(&mut AdmissionController, &Asked) -> bool;
type AskAct = fn(&mut AdmissionController, &Asked);

/// At a mode, if the guard holds: what the query is told, and what is done.
struct Rule(Mode, AskGuard, Decision, AskAct);

#[rustfmt::skip]
const RULES: &[Rule] = &[
    Rule(Normal,    |_, _| true,        Decision::Admit,  AdmissionController::count_try),
    Rule(Overloaded, AdmissionController::retries_over, Decision::RejectRetryBudget, |_, _| ()),
    Rule(Overloaded, AdmissionController::within,       Decision::Admit,  AdmissionController::take),
    Rule(Overloaded, AdmissionController::bucket_holds, Decision::Admit,  AdmissionController::take),
    Rule(Overloaded, AdmissionController::partial,      Decision::AdmitAtMinCoverage,   AdmissionController::count_try),
    Rule(Overloaded, AdmissionController::others_ask,   Decision::RejectQuota,   |_, _| ()),
    Rule(Overloaded, |_, _| true,        Decision::Admit,  AdmissionController::count_try),
];

/// What an attempt's end is to the admission controller: whether it counts, and whether it is harm. As the module's pressure.
#[rustfmt::skip]
const ENDS: &[(AttemptOutcome, bool, bool)] = &[
    (AttemptOutcome::Succeeded,     true,  false),
    (AttemptOutcome::Errored,      true,  false),
    (AttemptOutcome::Overloaded,         true,  true),
    (AttemptOutcome::TimedOut,     true,  true),
    (AttemptOutcome::ConnectFailed, true,  false),
    (AttemptOutcome::ConnectionLost,      true,  false),
    (AttemptOutcome::Cancelled,    false, false),
    (AttemptOutcome::NotSent,      false, false),
];

/// The admission controller before one broker's module.
pub struct AdmissionController {
    a: AdmissionConfig,
    mode: Mode,
    broker_config: BrokerConfig,
    s: ControllerState,
    /// What each query was told, by the admission controller's count, since it began: passed, retries, share, least.
    pub counts: [u64; 4],
    /// When it first heard anything.
    began: Tenths,
}

impl AdmissionController {
    /// An admission controller that is open, or what is wrong with the configuration.
    pub fn new(
        allowance: AdmissionConfig,
        broker_config: &BrokerConfig,
    ) -> Result<AdmissionController, Vec<InvalidValue>> {
        allowance.check()?;
        let (mode, broker_config, s) = (Normal, broker_config.clone(), ControllerState::default());
        Ok(AdmissionController {
            a: allowance,
            mode,
            broker_config,
            s,
            counts: [0; 4],
            began: Tenths(i64::MAX),
        })
    }

    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Parts a second that it lets in while crowded.
    pub fn rate(&self) -> f64 {
        self.rate_if_crowded()
    }

    /// Sees what a turn brings before the module does: what the module is to hear, and the rejects that go
    /// out at once.
    pub fn pass(&mut self, now: Tenths, heard: &[Input]) -> (Vec<Input>, Vec<Effect>) {
        self.s.now = now;
        if self.began > now {
            (self.began, self.s.stepped_at) = (now, now);
        }
        let mut asked: Vec<Asked> = Vec::new();
        for input in heard {
            match input {
                Input::AttemptEnded(result) => self.ended(result),
                Input::Config(new) => self.broker_config = (**new).clone(),
                Input::Query(new) => asked.push(Asked {
                    id: new.id,
                    group: new.group,
                    tenant: new.tenant,
                    class: new.class,
                    client_attempt: new.client_attempt,
                    shard_requests: 0,
                }),
                Input::ShardRequest(shard_request) => {
                    let own = asked.iter_mut().rev().find(|asked| asked.group == shard_request.group);
                    own.into_iter().for_each(|asked| asked.shard_requests += 1);
                }
                _ => {}
            }
        }
        let mut effects = self.step();
        let (mut groups, mut ids) = (BTreeSet::<GroupId>::new(), BTreeSet::<QueryId>::new());
        let mut least = BTreeSet::<QueryId>::new();
        for asked in &asked {
            match self.decide(asked) {
                (Decision::Admit, _) => {}
                (Decision::AdmitAtMinCoverage, _) => _ = least.insert(asked.id),
                (Decision::RejectRetryBudget | Decision::RejectQuota, retry_after) => {
                    groups.insert(asked.group);
                    ids.insert(asked.id);
                    effects.push(Effect::Reject { query: asked.id, retry_after });
                }
            }
        }
        let kept = |input: &&Input| match input {
            Input::Query(new) => !ids.contains(&new.id),
            Input::ShardRequest(shard_request) => !groups.contains(&shard_request.group),
            Input::ClientLeft(id) => !ids.contains(id),
            _ => true,
        };
        let held = |input: &Input| match input {
            Input::Query(new) if least.contains(&new.id) => {
                Input::Query(NewQuery { min_coverage_only: true, ..new.clone() })
            }
            _ => input.clone(),
        };
        (heard.iter().filter(kept).map(held).collect(), effects)
    }

    /// Sees what the module did: what it turned away counts as crowding.
    pub fn saw(&mut self, effects: &[Effect]) {
        let declined = effects.iter().filter(|effect| matches!(effect, Effect::Reject { .. })).count();
        let attempts = effects.iter().filter(|effect| matches!(effect, Effect::Send { .. })).count();
        let (now, window) = (self.s.now, self.a.window);
        self.s.turned.count(now, window, declined as f64, 0.0);
        self.s.sent.count(now, window, 0.0, attempts as f64);
    }

    // ---- steps

    /// The loop that reads `STEPS`, once for each step that has passed since the last, a window's at most.
    fn step(&mut self) -> Vec<Effect> {
        let slice = Tenths((self.a.window.0 / STEPS_A_WINDOW).max(1));
        let passed = ((self.s.now - self.s.stepped_at).0 / slice.0).min(STEPS_A_WINDOW);
        if passed == 0 {
            return Vec::new();
        }
        self.s.stepped_at = self.s.now;
        let was = self.mode;
        for _ in 0..passed {
            let found = if self.is_harmed() { Harmed } else { Calm };
            let row = STEPS.iter().find(|row| row.0 == self.mode && row.1 == found && row.2(self));
            if let Some(Step(_, _, _, next, act)) = row {
                self.mode = *next;
                act(self);
            }
        }
        self.forget_callers();
        if self.mode == Overloaded {
            self.share_out();
        }
        let word = match (was, self.mode) {
            (Normal, Overloaded) => format!("door crowded: {:.0} parts a second are let in", self.s.rate),
            (Overloaded, Normal) => "door open: all are let in again".to_owned(),
            _ => return Vec::new(),
        };
        vec![Effect::Say(word)]
    }

    /// Pressure as the design counts it, or the module's rejects, past the level; out of as many as make
    /// one of them the level, where fewer were counted.
    fn is_harmed(&self) -> bool {
        let (now, window, least) = (self.s.now, self.a.window, 1.0 / self.a.level);
        let harm = self.s.harm.share(now, window.times(LATELY), least);
        let (declined, _) = self.s.turned.sums(now, window);
        let (_, let_in) = self.s.let_in.sums(now, window);
        harm > self.a.level || declined / let_in.max(least) > self.a.level
    }

    /// What the hosts did of late.
    fn close_in(&mut self) {
        self.s.rate = self.floor().max(self.estimate());
        (self.s.cut_at, self.s.peak) = (self.s.now, self.s.rate);
        for tenant in self.s.tenants.values_mut() {
            tenant.tokens = f64::INFINITY;
        }
    }

    fn slow_down(&mut self) {
        self.s.peak = self.s.rate;
        self.s.rate = self.floor().max(self.s.rate * self.a.decrease);
        self.s.cut_at = self.s.now;
    }

    /// Parts asked a second that the hosts did of late: shard requests that they finished, as many as were asked for
    /// each that the module sent. Guards against a rate that follows harm alone: harm is heard late, and a
    /// rate that grows until it is heard overshoots by as much again.
    fn estimate(&self) -> f64 {
        let (now, window) = (self.s.now, self.a.window);
        let ((_, finished), (_, sent)) = (self.s.delivered.sums(now, window), self.s.sent.sums(now, window));
        let (_, asked) = self.s.let_in.sums(now, window);
        finished * asked / sent.max(1.0) / self.seen()
    }

    /// Guards against a rate that falls to nothing by harm that came of what was let in before the last cut.
    fn may_cut(&self) -> bool {
        self.s.now - self.s.cut_at >= self.a.window.times(HOLD)
    }

    /// Up by an increase a step to where the last cut was, and past it by an increase a window. Guards
    /// against a rate that overshoots by what harm, heard late, does not yet tell: past the last cut it was
    /// too much before.
    fn speed_up(&mut self) {
        let (rate, peak, increase) = (self.s.rate, self.s.peak, self.a.increase);
        let past = rate + peak * increase / STEPS_A_WINDOW as f64;
        self.s.rate = if rate < peak { (rate * (1.0 + increase)).min(peak) } else { past };
    }

    fn open_up(&mut self) {
        self.s.rate = 0.0;
    }

    /// The rate is well over what is asked: the admission controller need not be crowded.
    fn roomy(&self) -> bool {
        self.s.rate >= self.a.open_above * self.asked_rate()
    }

    /// Guards against a rate that falls to nothing while every step finds harm: one that never lets anything
    /// in can never find calm. As many shard requests a window as make one refusal the level.
    fn floor(&self) -> f64 {
        1.0 / self.a.level / self.seconds()
    }

    fn seconds(&self) -> f64 {
        self.a.window.as_ms() / 1000.0
    }

    /// Seconds of the window that the admission controller has seen: an admission controller that began lately has counted less.
    fn seen(&self) -> f64 {
        let since = (self.s.now - self.began).min(self.a.window);
        (since.as_ms() / 1000.0).max(self.seconds() / STEPS_A_WINDOW as f64)
    }

    fn asked_rate(&self) -> f64 {
        let (now, window) = (self.s.now, self.a.window);
        let all: f64 = self.s.tenants.values().map(|tenant| tenant.asked.sums(now, window).1).sum();
        all / self.seen()
    }

    fn rate_if_crowded(&self) -> f64 {
        if self.mode == Overloaded { self.s.rate } else { 0.0 }
    }

    /// Max-min fairness by water-filling: tenants in the order of what they ask for, by weight; who asks
    /// for less than an even share of what is left gets what it asks and an increase more, the rest is
    /// split among the others.
    fn share_out(&mut self) {
        let (now, window, seconds) = (self.s.now, self.a.window, self.seen());
        let mut tenants: Vec<(f64, f64, TenantId)> = self
            .s
            .tenants
            .iter()
            .map(|(no, tenant)| (tenant.asked.sums(now, window).1 / seconds, self.weight(*no), *no))
            .collect();
        tenants.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)).then(a.2.cmp(&b.2)));
        let (mut left, mut weights) = (self.s.rate, tenants.iter().map(|tenant| tenant.1).sum::<f64>());
        for (asks, weight, no) in tenants {
            let even = left * weight / weights.max(f64::MIN_POSITIVE);
            let share = (asks * (1.0 + self.a.increase)).min(even);
            (left, weights) = ((left - share).max(0.0), weights - weight);
            if let Some(tenant) = self.s.tenants.get_mut(&no) {
                (tenant.share, tenant.held) = (share, share < asks * (1.0 + self.a.increase));
            }
        }
    }

    /// A tenant's weight: its quota where one is stated, else the mean of those stated, else 1.
    fn weight(&self, no: TenantId) -> f64 {
        let quotas = &self.broker_config.tenants;
        if quotas.is_empty() {
            return 1.0;
        }
        let mean = quotas.values().map(|tenant| tenant.quota_per_s).sum::<f64>() / quotas.len() as f64;
        quotas.get(&no).map_or(mean, |tenant| tenant.quota_per_s).max(f64::MIN_POSITIVE)
    }

    /// Guards against a memory that grows with every tenant ever seen: one that asked nothing for a window
    /// is forgotten, as it would start anew with a full bucket.
    fn forget_callers(&mut self) {
        let (now, window) = (self.s.now, self.a.window);
        self.s.tenants.retain(|_, tenant| tenant.asked.sums(now, window).1 > 0.0);
    }

    // ---- queries

    /// The loop that reads `RULES`: what the query is told, and when to come back if rejected.
    fn decide(&mut self, asked: &Asked) -> (Decision, Tenths) {
        let asked = &Asked { tenant: self.known(asked.tenant), ..*asked };
        let (shard_requests, now, window) = (f64::from(asked.shard_requests), self.s.now, self.a.window);
        self.tenant(asked.tenant).asked.count(now, window, 0.0, shard_requests);
        let rule = RULES.iter().find(|rule| rule.0 == self.mode && rule.1(self, asked));
        let Some(Rule(_, _, told, act)) = rule else { return (Decision::Admit, Tenths::ZERO) };
        act(self, asked);
        self.counts[*told as usize] += 1;
        if !matches!(told, Decision::RejectRetryBudget | Decision::RejectQuota) {
            self.s.let_in.count(now, window, 0.0, shard_requests);
            self.s.turned.count(now, window, 0.0, 1.0);
            return (*told, Tenths::ZERO);
        }
        self.tenant(asked.tenant).asked.count(now, window, shard_requests, 0.0);
        (*told, self.retry_after())
    }

    /// Guards against a memory bounded by nothing: past the most, tenants share one.
    fn known(&self, no: TenantId) -> TenantId {
        let full = self.s.tenants.len() >= self.a.most_callers as usize;
        if full && !self.s.tenants.contains_key(&no) { TenantId(u32::MAX) } else { no }
    }

    fn tenant(&mut self, no: TenantId) -> &mut Tenant {
        let now = self.s.now;
        let even = self.rate_if_crowded() / (self.s.tenants.len() + 1) as f64;
        self.s.tenants.entry(no).or_insert_with(|| Tenant {
            share: even,
            tokens: f64::INFINITY,
            counted_at: now,
            ..Tenant::default()
        })
    }

    fn count_try(&mut self, asked: &Asked) {
        let retry = f64::from(u8::from(asked.client_attempt > 0));
        let (now, window) = (self.s.now, self.a.window);
        self.tenant(asked.tenant).tries.count(now, window, retry, 1.0 - retry);
    }

    /// A retry, and the tenant's retries of late are past a share of its first tries and a few.
    fn retries_over(&mut self, asked: &Asked) -> bool {
        let (now, window, a) = (self.s.now, self.a.window, &self.a);
        let (share, floor) = (a.retry_share, a.retry_floor);
        let (retries, firsts) = self.tenant(asked.tenant).tries.sums(now, window);
        asked.client_attempt > 0 && retries + 1.0 > floor + share * firsts
    }

    /// Its tenant asks for less than an even share: the bucket is for who asks for more.
    fn within(&mut self, asked: &Asked) -> bool {
        !self.tenant(asked.tenant).held
    }

    /// As `others_ask`, and its class takes partial answers.
    fn partial(&mut self, asked: &Asked) -> bool {
        let class = self.broker_config.classes.get(&asked.class);
        class.is_some_and(|c| c.min_coverage < c.complete_coverage) && self.others_ask(asked)
    }

    /// Others ask too, and shares are kept: one tenant alone has its excess cut by the module.
    fn others_ask(&mut self, asked: &Asked) -> bool {
        if !self.a.shares {
            return false;
        }
        let (now, window) = (self.s.now, self.a.window);
        let others = self.s.tenants.iter().filter(|(no, _)| **no != asked.tenant);
        others.clone().any(|(_, tenant)| tenant.asked.sums(now, window).1 > 0.0)
    }

    /// The bucket holds the query's shard requests, or is full.
    fn bucket_holds(&mut self, asked: &Asked) -> bool {
        let depth = self.depth(asked.tenant);
        let tenant = self.fill(asked.tenant);
        tenant.tokens >= f64::from(asked.shard_requests) || tenant.tokens >= depth
    }

    fn take(&mut self, asked: &Asked) {
        self.count_try(asked);
        self.fill(asked.tenant).tokens -= f64::from(asked.shard_requests);
    }

    fn depth(&mut self, no: TenantId) -> f64 {
        let burst = self.a.burst.as_ms() / 1000.0;
        (self.tenant(no).share * burst).max(1.0)
    }

    /// The bucket as it is now: its share since it was counted, up to its depth.
    fn fill(&mut self, no: TenantId) -> &mut Tenant {
        let (now, depth) = (self.s.now, self.depth(no));
        let tenant = self.tenant(no);
        let since = (now - tenant.counted_at).as_ms() / 1000.0;
        tenant.tokens = (tenant.tokens + tenant.share * since).min(depth);
        tenant.counted_at = now;
        tenant
    }

    /// When a retry may find its budget again: after the half of a window in which a cut is judged; none
    /// where the configuration does not let tenants be told.
    fn retry_after(&self) -> Tenths {
        let limits = &self.broker_config.limits;
        let wait = self.a.window.times(HOLD).min(limits.max_retry_after).max(Tenths(1));
        if limits.retry_after { wait } else { Tenths::ZERO }
    }

    // ---- ends

    fn ended(&mut self, result: &AttemptResult) {
        if let Some((_, counts, harm)) = ENDS.iter().find(|end| end.0 == result.outcome).filter(|end| end.1) {
            let (now, window) = (self.s.now, self.a.window);
            let (harm, counts) = (f64::from(u8::from(*harm)), f64::from(u8::from(*counts)));
            self.s.harm.count(now, window.times(LATELY), harm, counts);
        }
        if result.outcome == AttemptOutcome::Succeeded {
            self.s.delivered.count(self.s.now, self.a.window, 0.0, 1.0);
        }
    }
}
