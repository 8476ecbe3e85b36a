//! All decisions of one broker. Make it with `Broker::start`, then give `Broker::turn` what has been heard
//! and carry out what comes back. What it hears is in `inputs.rs`, what it does in `effects.rs`, what it is
//! handed at start in `configuration.rs`, what it remembers in `state.rs`; `docs/design.md` tells why. Read
//! `TABLE` first, the life of a query, then `ENDS`, what each end of an attempt means. The rest serves them.

use crate::config::{BrokerConfig, Idempotency, RequestClass, RetryBudget, ShardLayout};
use crate::effects::Effect;
use crate::ids::{AttemptNumber, ClassId, NodeId, QueryId, ShardRequestId};
use crate::inputs::{AttemptOutcome, AttemptResult, EndpointList, Input, NewQuery};
use crate::state::QueryEvent::{
    self, ClientLeft, DeadlineNear, ObjectiveNear, Ready, ResponseReceived, ResponseSent, ShardRequestFailed,
};
use crate::state::QueryState::{self, BetweenPhases, Finished, InFlight, PastObjective, Pending, Responded};
use crate::state::{
    Attempt, BrokerState, ClassPolicy, ConnectionUse, Execution, Node, Query, ShardRequest,
    ShardRequestState, Timer,
};
use crate::state::{EffectiveConfig, InFlightAttempt};
use crate::time::Tenths;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The design page's figures: score below which a shard request stays unsent, the base's ceiling, the pressure from
/// which it rises, and the span over which pressure (by so many slices) and latency are smoothed.
const CUT: f64 = 0.0001;
const FULL_BASE: f64 = 10.0;
const START: f64 = 0.1;
const SPAN: Tenths = Tenths(50_000);
pub(crate) const SLICES: usize = 10;
/// The span over which connections lost after a lull are counted.
const LONG: Tenths = Tenths(300_000);
/// Weights are told with this much rounding at the most, half of what an answer may fall short.
const ROUNDING: f64 = 0.00005;
/// A new latency counts for this share of a node's smoothed one.
const NEWEST: f64 = 0.25;
/// So many latencies make a mean that luck does not bend.
const STEADY: f64 = 32.0;
/// Before anything was heard, a shard request lasts this share of the shortest latency objective.
const GUESS: f64 = 0.125;
/// Patience with an attempt, in average latencies, and its bounds (the lower for room too) in latency objectives.
const PATIENCE: f64 = 3.0;
const PATIENCE_BOUNDS: [f64; 2] = [0.2, 0.5];
/// Single shard requests spread this far about a smoothed latency; past the latency objective they are out of reach.
const SPREAD: f64 = 1.5;
/// A waiting shard request tries again after this share of its latency objective, the endpoint list after one of its silence.
const AGAIN: f64 = 0.05;
/// Where no budget is stated, further attempts stay under this share of what was taken in `SPAN`.
const OWN_FURTHER: f64 = 0.25;
/// Room for shard requests out aims at shard requests that take this share of the latency objective, grows by this factor at the most
/// in the time of one, and only where this share of it was used: all may use that, and the rest as far as
/// they pay.
const ROOM_TARGET: f64 = 0.25;
const ROOM_GROW: f64 = 1.5;
const CROWDED: f64 = 0.5;
/// Word of holders' load is waited for, and is news, for this share of the latency objective; a holder that told
/// nothing counts as one with so many shard requests ahead.
const WORD: f64 = 0.02;
const UNHEARD: f64 = 32.0;
/// Answers leave before the latency objective by two turns and this share of it.
const GOAL_MARGIN: f64 = 0.02;
/// Chance of being whole under which nothing is sent; deviations by which chance may pass what is meant.
const UNLIKELY: f64 = 0.03;
const LUCK: f64 = 3.0;

type Guard = fn(&mut Broker, &Query) -> bool;
type Act = fn(&mut Broker, &mut Query);

struct Row(&'static [QueryState], QueryEvent, Guard, QueryState, Act);

const OPEN: &[QueryState] = &[Pending, InFlight, PastObjective, BetweenPhases];

/// The life of a query: at a stage, on a signal, if the guard holds, go to the next stage and act. The
/// first row that fits is taken; where none fits, nothing happens.
#[rustfmt::skip]
const TABLE: &[Row] = &[
    Row(&[Pending],    Ready,      |b, r| b.state.is_barred(r),   Finished, Broker::give_up),
    Row(&[Pending],    Ready,      Broker::may_probe,     Pending,    Broker::probe),
    Row(&[Pending],    Ready,      Broker::awaits_word,   Pending,    |_, _| ()),
    Row(&[Pending],    Ready,      Broker::unlikely,      Finished,     Broker::give_up),
    Row(&[Pending],    Ready,      Broker::may_wait,      Pending,    Broker::wait),
    Row(&[Pending],    Ready,      Broker::no_room,       Finished,     Broker::turn_away),
    Row(&[Pending],    Ready,      |_, _| true,           InFlight,   Broker::ask),
    Row(&[BetweenPhases],  Ready,      |_, _| true,           InFlight,   Broker::ask),
    Row(&[InFlight],   ResponseReceived,     |_, r| r.scouting,     InFlight,   Broker::ask),
    Row(&[InFlight],   ResponseReceived,     Broker::complete,      Responded, Broker::answer),
    Row(&[InFlight],   ShardRequestFailed,   Broker::complete,      Responded, Broker::answer),
    Row(&[InFlight],   ShardRequestFailed,   Broker::can_mend,      InFlight,   Broker::ask),
    Row(&[InFlight],   ShardRequestFailed,   Broker::beyond_hope,   Finished,     Broker::give_up),
    Row(&[InFlight],   ObjectiveNear,   Broker::has_least,     Responded, Broker::answer),
    Row(&[InFlight],   ObjectiveNear,   Broker::late_is_worth, PastObjective,  |_, _| ()),
    Row(&[InFlight],   ObjectiveNear,   |_, _| true,           Finished,     Broker::give_up),
    Row(&[PastObjective],  ResponseReceived,     Broker::has_least,     Responded, Broker::answer),
    Row(&[PastObjective],  ShardRequestFailed,   |b, r| !b.late_is_worth(r), Finished, Broker::give_up),
    Row(&[Responded], ResponseSent,       Broker::leads_on,      BetweenPhases,  Broker::clear_parts),
    Row(&[Responded], ResponseSent,       |_, _| true,           Finished,     |_, _| ()),
    Row(OPEN,         DeadlineNear, Broker::has_least,     Responded, Broker::answer),
    Row(OPEN,         DeadlineNear, |_, _| true,           Finished,     Broker::give_up),
    Row(OPEN,         ClientLeft, |_, _| true,           Finished,     |_, _| ()),
];

/// What an attempt's end tells: what became of the effect, whether it is harm that counts as pressure, whether
/// the node is to blame, and whether its process looks down.
struct End(AttemptOutcome, Execution, bool, bool, bool);

#[rustfmt::skip]
const ENDS: &[End] = &[
    //  end                    effect            harm   blame  down
    End(AttemptOutcome::Succeeded,     Execution::MaybeExecuted, false, false, false),
    End(AttemptOutcome::Errored,      Execution::MaybeExecuted, false, true,  false),
    End(AttemptOutcome::Overloaded,         Execution::NotExecuted,   true,  true,  false),
    End(AttemptOutcome::TimedOut,     Execution::MaybeExecuted, true,  true,  false),
    End(AttemptOutcome::ConnectFailed, Execution::NotExecuted,   false, true,  true),
    End(AttemptOutcome::ConnectionLost,      Execution::MaybeExecuted, false, true,  true),
    End(AttemptOutcome::Cancelled,    Execution::MaybeExecuted, false, false, false),
    End(AttemptOutcome::NotSent,      Execution::Unsent,       false, false, false),
];

/// Decides for one broker, from nothing but what that broker was told.
pub struct Broker {
    /// Those under which queries are taken now; each keeps its own to its end.
    terms: Arc<EffectiveConfig>,
    rng: fastrand::Rng,
    seed: u64,
    state: BrokerState,
}

impl Broker {
    /// A broker that has just started and knows nothing but its configuration.
    pub fn start(config: BrokerConfig, seed: u64, now: Tenths) -> Broker {
        let room = f64::from(config.limits.max_open) * CROWDED;
        let mut state = BrokerState { now, endpoint_list_is_stale: true, room, ..BrokerState::default() };
        state.timers.extend(config.watch_on_request.then_some((now, Timer::WatchEndpoints)));
        let (terms, rng) = (Arc::new(Broker::read(config)), fastrand::Rng::with_seed(seed));
        Broker { terms, rng, seed, state }
    }

    /// What decisions need of a configuration, worked out once.
    fn read(p: BrokerConfig) -> EffectiveConfig {
        let row = |c: &RequestClass| ClassPolicy {
            goal: c.latency_objective.min(c.deadline),
            stretch: c.objective_stretch,
            deadline: c.deadline,
            late_life: (c.deadline - c.latency_objective).max(Tenths::ZERO).times(c.late_weight_share),
            late_pays: c.late_weight_share > p.late_failure_cost,
            least: c.min_coverage.min(c.complete_coverage),
            whole: c.complete_coverage,
            two_steps: c.second_parts > 0,
            effect: c.effect,
            dedup_window: c.dedup_window,
            priority_weight: c.priority_weight,
        };
        // A broker's own restraint where none is stated: one node's outage must not double the load.
        let own = RetryBudget { floor: p.limits.max_attempts.into(), share: OWN_FURTHER, window: SPAN };
        let rows = p.classes.iter().map(|(no, c)| (*no, Arc::new(row(c)))).collect();
        let shortest_goal =
            p.classes.values().map(|c| c.latency_objective.min(c.deadline)).min().unwrap_or(SPAN);
        EffectiveConfig {
            rows,
            retry_budget: p.rules.retry_budget.clone().unwrap_or(own),
            shortest_goal,
            config: p,
        }
    }

    /// Takes a new configuration. What outlives the old one goes by what it means: rates by tenant, payoffs by
    /// class, attempts by time. The old one binds on, beside the new, for as long as a window of its rules
    /// reaches back. Guards against a change that would let twice the budget through in one window.
    fn prescribe(&mut self, config: BrokerConfig) {
        let old = std::mem::replace(&mut self.terms, Arc::new(Broker::read(config)));
        let rules = &old.config.rules;
        let binds =
            (old.retry_budget.window + self.leaves_by()).max(rules.warm_up_period).max(rules.overload_window);
        let (now, new) = (self.state.now, &self.terms);
        self.state.room = self.state.room.min(f64::from(new.config.limits.max_open.max(1)));
        let alike =
            |a: &ClassPolicy, b: &ClassPolicy| (a.priority_weight, a.least) == (b.priority_weight, b.least);
        let same = |no: &_| old.rows.get(no).zip(new.rows.get(no)).is_some_and(|(a, b)| alike(a, b));
        self.state.pays.retain(|no, _| same(no));
        let named = |no: &_| new.config.tenants.contains_key(no);
        self.state.tenants.retain(|no, rate| named(no) || rate.read(now, SPAN) >= START);
        self.state.past.push((now + binds, old));
    }

    /// The newest terms, and the older ones that still bind: what may be done is what all of them allow.
    fn binding(&self) -> impl Iterator<Item = &EffectiveConfig> {
        std::iter::once(&*self.terms).chain(self.state.past.iter().map(|(_, terms)| &**terms))
    }

    /// Takes in all that was heard, in order, and tells what to do at this same moment.
    pub fn turn(&mut self, now: Tenths, inputs: &[Input]) -> Vec<Effect> {
        self.state.now = now;
        self.state.average = self.state.mean_latency();
        self.state.past.retain(|(until, _)| *until > now);
        let longest = self.binding().map(|terms| terms.retry_budget.window).max().unwrap_or_default();
        self.state.forget(now - longest + self.leaves_by(), now - longest - self.leaves_by());
        for input in inputs {
            self.hear(input);
        }
        while let Some(&(at, timer)) = self.state.timers.first().filter(|(at, _)| *at <= now) {
            self.state.timers.remove(&(at, timer));
            self.come_due(timer);
        }
        for id in std::mem::take(&mut self.state.fresh) {
            self.state.rank_parts(id);
            self.signal(id, Ready);
        }
        self.send_wanted();
        self.state.ask_to_be_woken();
        std::mem::take(&mut self.state.effects)
    }

    fn hear(&mut self, input: &Input) {
        match input {
            Input::EndpointList(list) => self.apply_endpoint_list(list),
            Input::EndpointListFailed => self.endpoint_list_failed(),
            Input::Config(new) => self.prescribe((**new).clone()),
            Input::Query(new) => self.take(new),
            Input::ShardRequest(new) => self.state.add_shard_request(new),
            Input::ResponseStarted(shard_request) => self.state.bind(shard_request),
            Input::AttemptEnded(result) => self.push_ended(result),
            Input::ClientLeft(id) => self.signal(*id, ClientLeft),
            Input::ProbeEnded(probed) => self.state.note_probed(probed),
            Input::Woken | Input::Ignored => {}
        }
    }

    fn come_due(&mut self, timer: Timer) {
        match timer {
            Timer::Objective(id) => self.signal(id, ObjectiveNear),
            Timer::Deadline(id) => self.signal(id, DeadlineNear),
            Timer::AttemptCheck(shard_request, attempt) => self.look_after(shard_request, attempt),
            Timer::Resend(shard_request) => self.state.wanted.push(shard_request),
            Timer::FirstPhaseHalfway(id) => self.signal(id, ResponseReceived),
            Timer::AdmissionCheck(id) => self.signal(id, Ready),
            Timer::WatchEndpoints => self.watch_endpoints(),
        }
    }

    /// The loop that reads `TABLE`.
    fn signal(&mut self, id: QueryId, signal: QueryEvent) {
        let Some(mut r) = self.state.queries.remove(&id) else { return };
        let row = TABLE.iter().find(|row| row.0.contains(&r.state) && row.1 == signal && row.2(self, &r));
        if let Some(Row(_, _, _, next, act)) = row {
            r.state = *next;
            act(self, &mut r);
        }
        match r.state {
            Finished => self.state.let_go(&r, r.terms.config.limits.allow_cancel),
            Responded => {
                self.state.put(r);
                self.signal(id, ResponseSent);
            }
            _ => self.state.put(r),
        }
    }

    // ---- guards

    /// All that was sent has ended, enough is in for the whole, or a first step has had half of its time.
    fn complete(&mut self, r: &Query) -> bool {
        let halfway = self.leads_on(r) && self.state.now + r.row.goal.times(0.5) >= r.objective_at;
        let settled = r.weight(&[ShardRequestState::Queued, ShardRequestState::InFlight]) == 0.0;
        self.has_least(r) && (self.is_whole(r) || settled || halfway)
    }

    fn has_least(&mut self, r: &Query) -> bool {
        self.reaches_least(r, r.weight(&[ShardRequestState::Received]))
    }

    /// Unsent light shard requests can stand in for lost ones.
    fn can_mend(&mut self, r: &Query) -> bool {
        let all = r.weight(&[
            ShardRequestState::Unsent,
            ShardRequestState::Queued,
            ShardRequestState::InFlight,
            ShardRequestState::Received,
        ]);
        self.beyond_hope(r) && self.reaches_least(r, all)
    }

    /// Even if all that is out comes in, it is less than the minimum coverage.
    fn beyond_hope(&mut self, r: &Query) -> bool {
        !self.reaches_least(
            r,
            r.weight(&[ShardRequestState::Queued, ShardRequestState::InFlight, ShardRequestState::Received]),
        )
    }

    fn late_is_worth(&mut self, r: &Query) -> bool {
        r.row.late_pays
            && self.reaches_least(r, r.weight(&[ShardRequestState::InFlight, ShardRequestState::Received]))
    }

    /// Guards against queries that bring down every node that begins a shard request: two nodes fell with one, and
    /// none brought one. Dropped shard requests wait for a first one as proof; once given up it is barred while its
    /// tenant may repeat it. Harm: one caught in a hall's fall.
    fn kills(&self, r: &Query) -> bool {
        r.fallen.len() > 1 && r.weight(&[ShardRequestState::Received]) == 0.0
    }

    fn leads_on(&mut self, r: &Query) -> bool {
        r.row.two_steps && !r.second_step
    }

    /// Where only a probe brings a load report, holders are asked before the first shard requests go out.
    fn may_probe(&mut self, r: &Query) -> bool {
        r.terms.config.load_by_probe && r.probed.is_none() && !self.without_news(r).is_empty()
    }

    /// Who holds a shard request of it and told nothing a moment ago.
    fn without_news(&self, r: &Query) -> BTreeSet<NodeId> {
        let (now, wait, layout) = (self.state.now, r.row.goal.times(WORD), &r.terms.config.layout);
        let old = |id: &NodeId| {
            let node = &self.state.nodes[id];
            let asked = node.probe_sent_at.is_some_and(|at| now - at <= r.row.goal);
            !asked && node.told.is_none_or(|told| now - told.at > wait)
        };
        r.shard_requests
            .iter()
            .flat_map(|shard_request| self.state.replicas_of(layout, shard_request))
            .filter(old)
            .collect()
    }

    /// Word of a holder may still come in time to choose by it.
    fn awaits_word(&mut self, r: &Query) -> bool {
        let asked = r.probed.filter(|at| self.state.now - *at < r.row.goal.times(WORD));
        let (layout, silent) = (&r.terms.config.layout, |id| self.state.nodes[&id].probe_sent_at.is_some());
        asked.is_some()
            && r.shard_requests
                .iter()
                .any(|shard_request| self.state.replicas_of(layout, shard_request).any(silent))
    }

    /// Guards against queues that outgrow the latency objective: a query waits, and is then turned away, while
    /// even its minimum coverage passes the room, or is out of reach. With nothing out, one is always taken,
    /// however wide, so that room can grow again. Harm: what a lucky replica would have served is not.
    fn no_room(&mut self, r: &Query) -> bool {
        let lost: f64 = r.shard_requests.iter().filter(|p| self.hopeless(r, p)).map(|p| p.weight).sum();
        let (out, need) = (self.state.in_flight.len(), self.plan(r, true).len());
        let (priority_weight, least) = (r.row.priority_weight, r.row.least);
        let pays = priority_weight * least / need.max(1) as f64;
        self.state.note_pays(r.class, [pays, priority_weight / r.shard_requests.len().max(1) as f64], NEWEST);
        let far = !self.reaches_least(r, 1.0 - lost);
        out > 0 && ((out + need) as f64 > self.room_for(r, pays) || far) || far && r.probed.is_some()
    }

    /// Guards against bursts that are over sooner than they matter: a line that would fill the room once more
    /// may wait, no longer one. Harm: what is turned away in the end has waited in vain.
    fn may_wait(&mut self, r: &Query) -> bool {
        let line = ((self.state.waiting.len() + 1) * r.shard_requests.len()) as f64;
        let short = self.state.waiting.contains(&r.id) || line <= self.state.room;
        short
            && r.objective_at - self.state.now > r.row.goal.times(1.0 - PATIENCE_BOUNDS[0])
            && self.no_room(r)
    }

    /// Guards against nodes that drown in shard requests nobody can use: where a query needs all of many shard requests,
    /// none is sent while so many are refused that with all its attempts it would hardly be whole. That tells
    /// nothing of nodes, so the span forgets, and one is tried again. Harm: what luck would have served.
    fn unlikely(&mut self, r: &Query) -> bool {
        let refused = self.state.refused.share(self.state.now, SPAN, 1.0 / START);
        let misses = refused.powi(r.terms.config.limits.max_attempts.max(1) as i32);
        r.row.least >= r.row.whole && (1.0 - misses).powi(r.shard_requests.len() as i32) < UNLIKELY
    }

    /// The room for what pays so much for each shard request that it sends.
    fn room_for(&self, r: &Query, pays: f64) -> f64 {
        let earns = if r.within_quota { 1.0 } else { r.terms.config.over_quota_weight };
        let best = self.state.pays.values().map(|p| p[0]).fold(pays, f64::max).max(f64::MIN_POSITIVE);
        self.state.room * (CROWDED + (1.0 - CROWDED) * earns * pays / best)
    }

    // ---- acts

    fn probe(&mut self, r: &mut Query) {
        self.without_news(r).into_iter().for_each(|id| self.state.probe(id));
        r.probed = Some(self.state.now);
        self.state.probing.insert(r.id);
        self.state.timers.insert((self.state.now + r.row.goal.times(WORD), Timer::AdmissionCheck(r.id)));
    }

    fn wait(&mut self, r: &mut Query) {
        self.state.waiting.insert(r.id);
        self.later(r.row.goal, Timer::AdmissionCheck(r.id));
    }

    /// What is turned away counts as refused, so that pressure rises and the cut sets in.
    fn turn_away(&mut self, r: &mut Query) {
        let shard_requests = self.plan(r, true).len() as f64;
        self.state.count_harm(SPAN, r.within_quota, shard_requests, shard_requests);
        self.give_up(r);
    }

    /// Sends what the design's cut leaves, or the minimum coverage where there is no room for more.
    fn ask(&mut self, r: &mut Query) {
        let (least, partial) = (r.row.least, r.row.least < r.row.whole);
        let (mut sent, out) = (0.0, self.state.in_flight.len());
        let first = r.shard_requests.iter().all(|shard_request| shard_request.attempts.is_empty());
        r.scouting = first
            && r.shard_requests.len() > 1
            && self.state.falls.share(self.state.now, SPAN, 1.0 / START) > START;
        for (count, at) in self.plan(r, r.min_coverage_only).into_iter().enumerate() {
            if !partial || out + count < self.state.room as usize || sent + ROUNDING < least {
                let shard_request = &mut r.shard_requests[at];
                sent += shard_request.weight;
                if shard_request.state == ShardRequestState::Unsent && (count == 0 || !r.scouting) {
                    self.state.want(shard_request);
                }
            }
        }
    }

    /// The design's ordinary path: shard requests by told weight, score = weight x B^-rank, none sent that scores
    /// under `CUT`, and never less than the minimum coverage; with `min_coverage_only`, no more than that. Parts of even
    /// weight share a rank, else many would collapse to a few as B passes 1. A shard request out of reach counts as
    /// cut: else a hot or dead shard's heavy shard request is sent for nothing while light ones are trimmed.
    fn plan(&mut self, r: &Query, min_coverage_only: bool) -> Vec<usize> {
        let base = self.base(r.within_quota);
        let row = &r.row;
        let (mut rank, mut level) = (0, f64::INFINITY);
        let mut order: Vec<(bool, usize)> = Vec::new();
        for (at, shard_request) in r
            .shard_requests
            .iter()
            .enumerate()
            .filter(|(_, shard_request)| shard_request.state != ShardRequestState::Failed)
        {
            if shard_request.weight + ROUNDING < level {
                (rank, level) = (at, shard_request.weight);
            }
            let light = base > 1.0 && shard_request.weight * base.powi(-(rank as i32)) < CUT;
            order.push((
                row.least < row.whole && (min_coverage_only || light || self.hopeless(r, shard_request)),
                at,
            ));
        }
        if !min_coverage_only {
            order.sort();
        }
        let mut sent = 0.0;
        order.retain(|(cut, at)| {
            let keep = !cut || sent + ROUNDING < row.least;
            sent += if keep { r.shard_requests[*at].weight } else { 0.0 };
            keep
        });
        order.into_iter().map(|(_, at)| at).collect()
    }

    /// Whether no holder may have a shard request now, or the best can't bring it in time. A sound idle one can: a
    /// slow pair of holders is used for what it can do, rather than all that touches it turned away.
    fn hopeless(&self, r: &Query, shard_request: &ShardRequest) -> bool {
        // Guards against a blackout that lasts: with nothing out, failures alone keep none from being asked.
        let anew = r.probed.is_some() && self.state.in_flight.is_empty();
        let idle = |n: &Node| {
            n.batches.is_empty() && (n.consecutive_failures == 0 || anew) && n.queue() == Tenths::ZERO
        };
        let layout = &r.terms.config.layout;
        let usable = self
            .state
            .replicas_of(layout, shard_request)
            .filter(|id| self.has_room(*id, r.class, shard_request.id));
        let wait = |n: &Node| if idle(n) { Tenths::ZERO } else { self.latency(n) + n.queue() };
        let least = usable.map(|id| wait(&self.state.nodes[&id])).min();
        least.is_none_or(|wait| self.state.now + wait.times(SPREAD) > r.objective_at)
    }

    fn answer(&mut self, r: &mut Query) {
        let whole = self.is_whole(r);
        self.state.effects.push(Effect::Respond { query: r.id, complete: whole });
        r.first_whole |= whole && !r.second_step;
    }

    fn clear_parts(&mut self, r: &mut Query) {
        self.state.drop_parts(r, r.terms.config.limits.allow_cancel);
        r.second_step = true;
    }

    /// A rejection where asking again is harmless, else a failure.
    fn give_up(&mut self, r: &mut Query) {
        if self.kills(r) {
            self.state.bar(r, self.state.now + r.row.deadline);
        }
        let (limits, goal) = (&r.terms.config.limits, r.row.goal);
        let mut executions =
            r.shard_requests.iter().flat_map(|p| &p.attempts).map(|attempt| attempt.execution);
        let not_executed =
            executions.all(|execution| matches!(execution, Execution::NotExecuted | Execution::Unsent));
        let harmless = self.effects_of(r).all(|(kind, _)| kind == Idempotency::Idempotent)
            || not_executed && !r.second_step;
        let retry_after = if limits.retry_after { goal.min(limits.max_retry_after) } else { Tenths::ZERO };
        let (query, scrap) = (r.id, Effect::Fail { query: r.id });
        self.state.effects.push(if harmless { Effect::Reject { query, retry_after } } else { scrap });
    }

    fn take(&mut self, new: &NewQuery) {
        let NewQuery { id, class, tenant, time_left, work, .. } = *new;
        let now = self.state.now;
        let terms = self.terms.clone();
        let Some(row) = terms.rows.get(&class).cloned() else {
            return self.state.effects.push(Effect::Fail { query: id });
        };
        let p = &terms.config;
        let turns = p.period.times(2.0);
        let goal = (row.goal + work.times(row.stretch)).min(row.deadline).min(time_left);
        let objective_at = now + goal - row.goal.times(GOAL_MARGIN) - turns;
        let deadline_at = now + time_left - turns.times(2.0);
        self.state.timers.extend(
            row.two_steps.then_some((objective_at - row.goal.times(0.5), Timer::FirstPhaseHalfway(id))),
        );
        let rate = self.state.tenants.entry(tenant).or_default();
        rate.add(now, SPAN, 1.0);
        // A tenant's share is split evenly over the brokers: this one sees no other's traffic.
        let within_quota = p.tenants.get(&tenant).is_none_or(|tenant| {
            let mine = tenant.quota_per_s / f64::from(p.brokers.max(1));
            rate.count <= (mine * SPAN.as_ms() / 1000.0).max(1.0)
        });
        let times = [objective_at, deadline_at];
        self.state.hold(Query::taken(new, (terms, row), within_quota, goal, times));
    }

    // ---- attempts

    /// Chooses a node for each wanted shard request; attempts of one turn to one node share its call.
    fn send_wanted(&mut self) {
        self.state.out_at_turn = (self.state.in_flight.len() + self.state.wanted.len()) as f64;
        for id in std::mem::take(&mut self.state.wanted) {
            let Some((mut r, at)) = self.state.lift(id) else { continue };
            if r.state == InFlight && r.shard_requests[at].state == ShardRequestState::Queued {
                self.push(&mut r, at);
            }
            let (rid, lost) = (r.id, r.shard_requests[at].state == ShardRequestState::Failed);
            self.state.put(r);
            if lost {
                self.signal(rid, ShardRequestFailed);
            }
        }
        self.state.close_batches();
    }

    fn push(&mut self, r: &mut Query, at: usize) {
        let now = self.state.now;
        let (goal, late_life) = (r.row.goal, r.row.late_life);
        let is_retry = !r.shard_requests[at].attempts.is_empty();
        let held = is_retry && self.kills(r);
        if held && r.weight(&[ShardRequestState::InFlight]) == 0.0
            || is_retry && !self.may_push_again(r, at, true)
        {
            // It brings nodes down, or waited so long that another attempt is no longer harmless.
            r.shard_requests[at].state = if r.shard_requests[at].out() > 0 {
                ShardRequestState::InFlight
            } else {
                ShardRequestState::Failed
            };
            return;
        }
        let shard_request = &mut r.shard_requests[at];
        let may = !held && (!is_retry || self.has_retry_budget());
        let Some(node) = self.choose(&r.terms.config.layout, r.class, shard_request).filter(|_| may) else {
            // No holder may have it now, or the budget is spent: it waits while that can help.
            shard_request.state =
                if shard_request.out() > 0 { ShardRequestState::InFlight } else { ShardRequestState::Queued };
            return self.later(goal, Timer::Resend(shard_request.id));
        };
        let no = AttemptNumber(shard_request.attempts.len() as u16);
        let (id, within_quota, class, out) =
            (shard_request.id, r.within_quota, r.class, self.state.out_at_turn);
        let crowded = out >= self.state.room * CROWDED;
        self.state.retries.extend(is_retry.then_some((now, id, no)));
        let idle_period = self.connection_for(node, r.row.least >= r.row.whole);
        let (warming_up, max_batch_size) =
            (self.is_warming_up(node), self.terms.config.layout.max_batch_size);
        let call = self.state.join_batch(node, max_batch_size, warming_up.then_some(class), idle_period);
        shard_request.state = ShardRequestState::InFlight;
        shard_request.attempts.push(Attempt { node, sent: now, execution: Execution::InFlight });
        let attempt = InFlightAttempt {
            node,
            call,
            within_quota,
            class,
            goal,
            out,
            crowded,
            idle_period,
            silent: false,
        };
        self.state.in_flight.insert((id, no), attempt);
        let life = (r.objective_at + late_life).min(r.deadline_at) - now;
        self.state.effects.push(Effect::Send { shard_request: id, node, timeout: life.max(Tenths(1)) });
        self.state.timers.insert((now + self.patience(r.goal), Timer::AttemptCheck(id, no)));
    }

    /// What a node told to wait there; one that left its probe unanswered comes after all that did answer.
    fn load(&self, node: &Node) -> f64 {
        match (node.probe_sent_at, node.told) {
            (None, None) => 0.0,
            (None, Some(load)) if load.sound => load.queue.unwrap_or(0.0),
            _ => UNHEARD,
        }
    }

    fn patience(&self, goal: Tenths) -> Tenths {
        let [low, high] = PATIENCE_BOUNDS.map(|bound| goal.times(bound));
        self.average().times(PATIENCE).clamp(low, high)
    }

    /// The replica rule: least smoothed latency x (own calls out + 1), where joining a call of this turn
    /// opens no other. Close calls go to the own zone, then to a call of this turn, then by lot.
    fn choose(
        &mut self,
        layout: &ShardLayout,
        class: ClassId,
        shard_request: &ShardRequest,
    ) -> Option<NodeId> {
        let open = |id: &NodeId| {
            shard_request.attempts.iter().all(|p| p.node != *id || p.execution != Execution::InFlight)
        };
        let tried = |id: &NodeId| shard_request.attempts.iter().any(|p| p.node == *id);
        let usable: Vec<NodeId> = self
            .state
            .replicas_of(layout, shard_request)
            .filter(|id| open(id) && self.has_room(*id, class, shard_request.id))
            .collect();
        let all_tried = usable.iter().all(tried);
        let worth = usable.iter().filter(|id| all_tried || !tried(id));
        let score = |node: &Node| {
            let joins = node
                .open_batch
                .is_some_and(|(_, shard_requests)| shard_requests < self.terms.config.layout.max_batch_size);
            self.latency(node).0 as f64
                * ((node.batches.len() + usize::from(!joins)) as f64 + self.load(node))
        };
        let scored: Vec<(f64, NodeId)> = worth.map(|id| (score(&self.state.nodes[id]), *id)).collect();
        let best = scored.iter().map(|s| s.0).fold(f64::INFINITY, f64::min);
        let close = scored.iter().filter(|s| s.0 <= best * (1.0 + START)).map(|s| s.1);
        let zone = self.terms.config.zone;
        let key =
            |id: &NodeId| (self.state.nodes[id].zone != zone, self.state.nodes[id].open_batch.is_none());
        let first = close.clone().map(|id| key(&id)).min()?;
        let tied: Vec<NodeId> = close.filter(|id| key(id) == first).collect();
        Some(tied[self.rng.usize(..tied.len())])
    }

    /// Guards against connections dropped unseen while idle, which looks like many sick nodes: attempts after a
    /// lull are dropped at once, where a dead node would refuse the connection, or a fifth of them come to
    /// nothing on kept ones, and half as many on fresh. Then idle ones are closed before an attempt. Harm:
    /// handshakes.
    fn connection_for(&mut self, id: NodeId, sure: bool) -> Option<(ConnectionUse, Tenths)> {
        let (now, node) = (self.state.now, &self.state.nodes[&id]);
        let idle_period = now - node.last_success_at;
        let idle = node.batches.is_empty() && node.last_success_at > Tenths::ZERO;
        if !idle || idle_period < self.terms.shortest_goal.times(PATIENCE_BOUNDS[0]) {
            return node.open_batch.and(node.connection);
        }
        let dropped = self.state.dropped.is_some_and(|(after, at)| idle_period >= after && now - at < LONG);
        let sure = sure && idle_period > self.terms.shortest_goal.times(PATIENCE_BOUNDS[1]);
        if !dropped && !sure && !self.connections_fail() {
            return Some((ConnectionUse::Reused, idle_period));
        }
        self.state.effects.push(Effect::CloseIdle { node: id });
        Some((ConnectionUse::New, idle_period))
    }

    fn connections_fail(&self) -> bool {
        let [kept, fresh] =
            self.state.lost_connections.each_ref().map(|g| g.share(self.state.now, LONG, 1.0 / START));
        kept >= 2.0 * START && fresh <= kept / 2.0
    }

    /// An attempt that went out on a kept connection after a lull is silent; whether so many were that it is
    /// lost.
    fn note_unresponsive(&mut self, id: ShardRequestId, no: AttemptNumber) -> bool {
        let kept = self.state.in_flight.get_mut(&(id, no)).filter(|t| t.on_reused_connection());
        let Some(attempt) = kept else { return false };
        if !std::mem::replace(&mut attempt.silent, true) {
            self.state.lost_connections[ConnectionUse::Reused as usize].count(self.state.now, LONG, 1.0, 1.0);
        }
        self.connections_fail()
    }

    fn later(&mut self, goal: Tenths, timer: Timer) {
        self.state.timers.insert((self.state.now + goal.times(AGAIN).max(Tenths(1)), timer));
    }

    /// Guards against shard requests that no answer comes to (a node hung, silent or cut off, an answer lost): once
    /// patience is up, the node has answered nothing for as long, or one sent later by an average latency,
    /// and another holder looks faster than the wait, the shard request is pushed there too. Without copies an
    /// overtaken one is cancelled first, others wait: that loses the answer. Harm: work done twice.
    fn look_after(&mut self, id: ShardRequestId, no: AttemptNumber) {
        let Some((mut r, at)) = self.state.lift(id) else { return };
        let (attempt, now, average) =
            (&r.shard_requests[at].attempts[no.0 as usize], self.state.now, self.average());
        let waits =
            r.shard_requests[at].state == ShardRequestState::InFlight && !r.shard_requests[at].flowing;
        if r.state == InFlight && waits && attempt.execution == Execution::InFlight {
            let node = self.state.nodes.get(&attempt.node);
            let overtaken = node.is_some_and(|n| n.newest_answered_sent_at > attempt.sent + average);
            let heard = node.map_or(attempt.sent, |n| n.last_success_at.max(attempt.sent));
            let silent = now - heard >= self.patience(r.goal);
            let here = node.map_or(average, |n| self.latency(n)).max(now - attempt.sent);
            let unresponsive = silent && self.note_unresponsive(id, no);
            let lost = overtaken || silent;
            let limits = &r.terms.config.limits;
            let may = limits.allow_hedging || (overtaken || unresponsive) && limits.allow_cancel;
            let again = lost && may && r.shard_requests[at].out() == 1 && self.may_push_again(&r, at, true);
            let other = self.choose(&r.terms.config.layout, r.class, &r.shard_requests[at]);
            let elsewhere = other.map(|id| self.latency(&self.state.nodes[&id]));
            let faster = elsewhere.is_some_and(|there| there < here && now + there < r.objective_at);
            if again && faster && self.has_retry_budget() {
                if limits.allow_hedging {
                    self.state.want(&mut r.shard_requests[at]);
                } else {
                    self.state.effects.push(Effect::Cancel { shard_request: id, attempt: no });
                }
            } else {
                self.later(r.goal, Timer::AttemptCheck(id, no));
                if r.scouting {
                    self.ask(&mut r);
                }
            }
        }
        self.state.put(r);
    }

    /// Whether another attempt of a shard request would keep rule 2 and its count. `copy`: while one is out.
    fn may_push_again(&self, r: &Query, at: usize, copy: bool) -> bool {
        let (row, shard_request) = (&r.row, &r.shard_requests[at]);
        let ran = shard_request.attempts.iter().filter(|p| {
            p.execution == Execution::MaybeExecuted || copy && p.execution == Execution::InFlight
        });
        let first = ran.map(|p| p.sent).min();
        let then = self.state.now + self.leaves_by();
        let pays = row.priority_weight / r.shard_requests.len() as f64;
        let best = self.state.pays.values().map(|p| p[1]).fold(pays, f64::max).max(f64::MIN_POSITIVE);
        let most_retries = f64::from(r.terms.config.limits.max_attempts.max(1) - 1) * pays / best;
        shard_request.attempts.len() <= (most_retries + 0.5) as usize
            && self.effects_of(r).all(|(effect, window)| match (effect, first) {
                (_, None) | (Idempotency::Idempotent, _) => true,
                (Idempotency::IdempotencyKey, Some(first)) => then - first <= window,
                (Idempotency::AtMostOnce, Some(_)) => false,
            })
    }

    /// What a repeat would do, and the window: as it was taken, and as its class is now. Guards against a
    /// change that the nodes know of already: what either forbids is not done.
    fn effects_of<'a>(&'a self, r: &'a Query) -> impl Iterator<Item = (Idempotency, Tenths)> + 'a {
        let now = self.terms.rows.get(&r.class);
        std::iter::once(&r.row).chain(now).map(|row| (row.effect, row.dedup_window))
    }

    fn push_ended(&mut self, result: &AttemptResult) {
        let Some(end) = ENDS.iter().find(|end| end.0 == result.outcome) else { return };
        let attempt = self.state.in_flight.remove(&(result.shard_request, result.attempt));
        attempt.iter().for_each(|attempt| self.learn(attempt, result, end));
        if end.1 == Execution::Unsent {
            self.state.retries.retain(|f| (f.1, f.2) != (result.shard_request, result.attempt));
        }
        let Some((mut r, at)) = self.state.lift(result.shard_request) else { return };
        let (rid, was) = (r.id, r.shard_requests[at].state);
        let fell = result.outcome == AttemptOutcome::ConnectionLost
            && attempt.is_some_and(|t| !t.on_reused_connection());
        r.fallen.extend(fell.then_some(result.node));
        r.shard_requests[at]
            .attempts
            .get_mut(result.attempt.0 as usize)
            .into_iter()
            .for_each(|attempt| attempt.execution = end.1);
        let again = r.state == InFlight && self.may_push_again(&r, at, false);
        let state = match result.outcome {
            end if was == ShardRequestState::Received || end == AttemptOutcome::Succeeded => {
                ShardRequestState::Received
            }
            _ if r.shard_requests[at].out() > 0 => ShardRequestState::InFlight,
            AttemptOutcome::NotSent => ShardRequestState::Failed,
            _ if again => ShardRequestState::Queued,
            _ => ShardRequestState::Failed,
        };
        r.shard_requests[at].state = state;
        self.state.put(r);
        match state {
            ShardRequestState::Received if was != state => self.signal(rid, ResponseReceived),
            ShardRequestState::Queued => self.state.wanted.push(result.shard_request),
            ShardRequestState::Failed if was != state => self.signal(rid, ShardRequestFailed),
            _ => {}
        }
    }

    /// Keeps latencies and pressure. Guards against quick errors that would make a dead node look fast: a
    /// failure counts as the average latency at least, doubled for each failure in a row.
    fn learn(&mut self, attempt: &InFlightAttempt, result: &AttemptResult, end: &End) {
        let (now, average) = (self.state.now, self.average());
        let &End(_, execution, harm, blame, down) = end;
        let cut_line = result.outcome == AttemptOutcome::ConnectionLost && attempt.on_reused_connection();
        if let Some((line, idle_period)) = attempt.idle_period.filter(|_| execution != Execution::Unsent) {
            let silent = self
                .state
                .nodes
                .get(&attempt.node)
                .is_none_or(|n| now - result.duration >= n.last_success_at);
            let lost =
                blame || result.outcome == AttemptOutcome::Cancelled && silent && result.duration > average;
            let [lost, told] = [lost, attempt.silent].map(|is| f64::from(u8::from(is)));
            self.state.lost_connections[line as usize].count(now, LONG, lost - told, 1.0 - told);
            if cut_line && result.duration <= self.terms.config.period.times(2.0) {
                self.state.note_dropped(idle_period, LONG);
            }
        }
        if execution != Execution::Unsent && result.outcome != AttemptOutcome::Cancelled {
            self.state.falls.count(now, SPAN, f64::from(u8::from(down)), 1.0);
            self.state.count_harm(SPAN, attempt.within_quota, f64::from(u8::from(harm)), 1.0);
            self.state.refused.count(now, SPAN, f64::from(u8::from(harm)), 1.0);
            self.fit_room(attempt, result.duration);
        }
        if result.outcome == AttemptOutcome::Succeeded {
            self.state.baseline_latencies.entry(attempt.class).or_default().note(result.duration, STEADY);
        }
        self.state.amend(attempt.node, |node| {
            node.leave(attempt.call);
            let early = node.latency.is_some_and(|l| result.duration < l);
            if execution == Execution::Unsent
                || cut_line
                || result.outcome == AttemptOutcome::Cancelled && early
            {
                return;
            }
            // Those out together fail together: one failure in a row, not many.
            if blame && now - result.duration >= node.failed_at {
                (node.consecutive_failures, node.failed_at) = ((node.consecutive_failures + 1).min(16), now);
            }
            let penalty = average.times(f64::from(1 << node.consecutive_failures)).min(attempt.goal);
            let sample = if blame { result.duration.max(penalty) } else { result.duration };
            let old = node.latency.unwrap_or(sample);
            (node.latency, node.latency_sampled_at) = (Some(old + (sample - old).times(NEWEST)), now);
            if result.outcome == AttemptOutcome::Succeeded {
                (node.consecutive_failures, node.last_success_at) = (0, now);
                node.newest_answered_sent_at = node.newest_answered_sent_at.max(now - result.duration);
            }
            // It may come back cold before the endpoint list says so: taken to start when last seen down. One lost
            // connection is not enough, or resets would starve sound nodes: a fallen one refuses the next.
            if down && execution == Execution::NotExecuted && node.consecutive_failures > 1 {
                (node.started_at, node.start_known_at) = (node.started_at.max(Some(now)), now);
            }
        });
    }

    /// Little's law: with so many shard requests out this one took so long, so at the target latency there is room for
    /// fewer, or for more. It grows only where it is used.
    fn fit_room(&mut self, attempt: &InFlightAttempt, took: Tenths) {
        let (room, most) = (self.state.room, f64::from(self.terms.config.limits.max_open.max(1)));
        let ratio = attempt.goal.times(ROOM_TARGET).over(took).min(ROOM_GROW);
        let fits = if ratio < 1.0 { attempt.out.min(room) * ratio } else { room * ratio };
        if ratio < 1.0 || attempt.crowded {
            self.state.room = (room + (fits - room) / room.max(1.0 / START)).clamp(1.0, most);
        }
    }

    // ---- nodes

    /// Smoothed latency. What was heard long ago fades toward the average, or that of a zone slower by half:
    /// a slow zone, or way there, shows at all its nodes. Silence since the oldest call out counts too.
    fn latency(&self, node: &Node) -> Tenths {
        let (all, zone) = (self.average(), self.state.zone_mean(node.zone, self.average(), 1.0 / NEWEST));
        let average = if zone > all.times(SPREAD) { zone } else { all };
        let heard = node.latency.map_or(average, |latency| {
            let age = (self.state.now - node.latency_sampled_at).over(SPAN);
            average + (latency - average).times((-age).exp())
        });
        let silence =
            node.batches.values().next().map(|call| self.state.now - call.sent.max(node.last_success_at));
        heard.max(silence.unwrap_or(Tenths::ZERO))
    }

    fn average(&self) -> Tenths {
        self.state.average.unwrap_or(self.terms.shortest_goal.times(GUESS)).max(Tenths(1))
    }

    fn is_warming_up(&self, id: NodeId) -> bool {
        let warm_up_period =
            self.binding().map(|terms| terms.config.rules.warm_up_period).max().unwrap_or_default();
        self.state.nodes[&id].started_at.is_some_and(|at| self.state.now - at < warm_up_period)
    }

    /// Rule 4, whatever the other brokers send: a cold node gets this broker's even share of what one that
    /// does one shard request at a time bears in a window, by the share it has warmed to; shard requests count as long as their
    /// class's ever were on average. While it fails again and again it gets one attempt a window.
    fn has_room(&self, id: NodeId, class: ClassId, shard_request: ShardRequestId) -> bool {
        !self.is_warming_up(id) || self.binding().all(|terms| self.bears(id, class, shard_request, terms))
    }

    /// Where an even share is under a shard request a window, all send by chance, so little that by `LUCK` it stays
    /// within what the node bears. A broker that meets the node now and then has its part of that add up from
    /// when it heard of the start, beginning by lot; one of many that meets it rarely, and then with many
    /// shard requests, draws lots over these. Guards against brokers that send one each at once. Harm: it is asked
    /// later.
    fn bears(
        &self,
        id: NodeId,
        class: ClassId,
        shard_request: ShardRequestId,
        terms: &EffectiveConfig,
    ) -> bool {
        let (p, node, now) = (&terms.config, &self.state.nodes[&id], self.state.now);
        let (rules, all, unheard) = (&p.rules, f64::from(p.brokers.max(1)), self.average());
        let (window, heard, cost) =
            (rules.overload_window, node.start_known_at, self.state.baseline_latency(class, unheard));
        let age = (now - node.started_at.unwrap_or_default()).max(Tenths::ZERO).over(rules.warm_up_period);
        if age >= 1.0 {
            return true;
        }
        let share = rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * age;
        let bears = window.times(rules.overload_factor * share).0.max(1) as f64;
        let sent = |from| {
            node.slow_start_sent_since(from)
                .map(|class| self.state.baseline_latency(class, unheard))
                .sum::<f64>()
        };
        let lately = sent(now - window);
        if bears / all >= cost || p.brokers <= 1 || lately > 0.0 && node.consecutive_failures > 1 {
            return lately == 0.0 || node.consecutive_failures <= 1 && lately + cost <= bears / all;
        }
        let steady = ((LUCK * LUCK + 4.0 * bears / cost).sqrt() - LUCK).powi(2) / 4.0 / all;
        let (asked, span) = self.state.asked_lately(window);
        let meets = asked / self.state.ready.max(1) as f64;
        let lot = |of: u64| fastrand::Rng::with_seed(self.seed ^ id.0.rotate_left(32) ^ of).f64();
        if meets < 1.0 {
            return lot(shard_request.0) < span.over(window) * steady / meets;
        }
        (now - heard).over(window) * steady + lot(heard.0 as u64) - sent(heard) / cost >= 1.0
    }

    // ---- the endpoint list

    /// A new process under an old id: nothing heard of the old one holds.
    fn apply_endpoint_list(&mut self, list: &EndpointList) {
        for id in self.state.apply_endpoint_list(list) {
            self.state
                .amend(id, |node| (node.latency, node.consecutive_failures, node.told) = (None, 0, None));
        }
    }

    /// Follows the endpoint list, and comes due again to ask once more where no word has come at all.
    fn watch_endpoints(&mut self) {
        if self.state.endpoint_list_is_stale {
            self.state.effects.push(Effect::WatchEndpoints);
            let wait = self.terms.config.rules.endpoint_list_max_age.max(SPAN).times(0.5);
            self.state.timers.insert((self.state.now + wait, Timer::WatchEndpoints));
        }
    }

    /// The endpoint list's service is shared and finite: each failure doubles the wait, and lots are drawn.
    fn endpoint_list_failed(&mut self) {
        let wait = self.terms.config.rules.endpoint_list_max_age.max(SPAN).times(AGAIN);
        let doubled =
            wait.times(f64::from(1 << self.state.endpoint_list_failures.min(3)) * (0.5 + self.rng.f64()));
        (self.state.endpoint_list_failures, self.state.endpoint_list_is_stale) =
            (self.state.endpoint_list_failures + 1, true);
        self.state.timers.retain(|(_, timer)| *timer != Timer::WatchEndpoints);
        self.state.timers.insert((self.state.now + doubled, Timer::WatchEndpoints));
    }

    /// Guards against attempts that wait for a connection and reach their node in another window than their
    /// turn's: two turns, and what the front may need to send one. Harm: a few further attempts less.
    fn leaves_by(&self) -> Tenths {
        self.terms.config.period.times(2.0) + self.terms.config.send_lag
    }

    fn is_whole(&self, r: &Query) -> bool {
        let all_in = r.shard_requests.iter().all(|p| p.state == ShardRequestState::Received);
        let enough = r.weight(&[ShardRequestState::Received]) + ROUNDING >= r.row.whole;
        if r.second_step { r.first_whole && all_in } else { enough }
    }

    fn reaches_least(&self, r: &Query, sum: f64) -> bool {
        let &ClassPolicy { least, whole, .. } = &*r.row;
        sum + ROUNDING >= if r.second_step && least >= whole { 1.0 } else { least }
    }

    /// Pressure is the share of shard requests refused as full or timed out; where few were heard of, out of as many
    /// as make one of them the starting level. One tenant's storm would lift it for all: who is within its
    /// share is not judged by the harm that tenants beyond theirs come to.
    fn base(&mut self, within_quota: bool) -> f64 {
        let [all, within] =
            self.state.pressure.each_ref().map(|g| g.share(self.state.now, SPAN, 1.0 / START));
        let pressure = if within_quota { within } else { within.max(all) };
        self.state.note_cutting(pressure, pressure > START);
        1.0 + (FULL_BASE - 1.0) * ((pressure - START) / (1.0 - START)).max(0.0)
    }

    /// Rule 6, and the broker's own restraint: in any window a few, plus a share of what was taken. What was
    /// taken counts over a window shorter by the way to a node, further attempts over a longer.
    fn has_retry_budget(&self) -> bool {
        let slack = self.leaves_by();
        self.binding().all(|EffectiveConfig { retry_budget, .. }| {
            let since = self.state.now - retry_budget.window;
            let taken = self.state.taken.len() - self.state.taken.partition_point(|at| *at < since + slack);
            let spent =
                self.state.retries.len() - self.state.retries.partition_point(|f| f.0 < since - slack);
            (spent + 1) as f64 <= retry_budget.floor + retry_budget.share * taken as f64
        })
    }
}
