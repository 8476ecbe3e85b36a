//! Days of scripted incidents: what is asked in them, how they are played, how they compare. No I/O. Played
//! in virtual time, at any size, by several seeds side by side, beside a baseline on the same days. All
//! figures are simulated. The same scenario, size and seed give the same digest.

use crate::outcome::Outcome;
use crate::rehearse::{Cast, Mind, World};
use crate::weather::{Do, Weather};
use cluster_trace::plan::{
    ClassSpec, CountRange, NodeEvent, Plan, PlanEntry, PlanEvent, PlannedShardRequest, ReplayConfig,
};
use fault_scenarios::{CancelBehavior, ClusterSize, FaultAction, NodeTransition, Scenario, ScheduledAction};
use node_emulator::Cancel;
use routing::Tenths;
use serde_json::{Value, json};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Hosts of a cell; milliseconds of work of a shard request, on average; cores of a host.
const CELL: u32 = 5;
const PART_MS: f64 = 40.0;
const CORES: usize = 4;
/// Shares, and shard requests from and to, of reports and lookups.
const REPORTS: f64 = 0.25;
const REPORT_PARTS: CountRange = CountRange { min: 8, max: 24 };
const LOOKUP_PARTS: CountRange = CountRange { min: 1, max: 4 };

fn replay_config(hosts: u32, scenario: &Scenario, seed: u64) -> ReplayConfig {
    ReplayConfig {
        seed,
        from: 0,
        to: (scenario.seconds * 1e6) as u64,
        time_scale: 1.0,
        sample_share: 1.0,
        load: scenario.load,
        nodes: hosts,
        node_ms_per_s: CORES as f64 * 1000.0,
        shards: (hosts * 2).max(REPORT_PARTS.max),
        classes: vec![
            ClassSpec {
                priority_weight: 3.0,
                min_coverage: 0.4,
                ..ClassSpec::idempotent("report", REPORTS, REPORT_PARTS, 1.0)
            },
            ClassSpec::idempotent("lookup", 1.0 - REPORTS, LOOKUP_PARTS, 0.0),
        ],
        tenant_weights: vec![1.0; scenario.clients.tenants.max(1) as usize],
        quota_per_s: None,
        drain_share: 0.0,
        drain_duration: 20_000,
        retry_budget: None,
        max_entries: 50_000_000,
    }
}

/// How much more each tenant asks at a moment, and which share is how many times the work.
struct Demand<'a>(&'a [ScheduledAction], usize);

impl Demand<'_> {
    fn at(&self, now: Tenths) -> (Vec<f64>, f64, f64) {
        let (mut times, mut heavy) = (vec![1.0; self.1], (0.0, 1.0));
        for scheduled in self.0.iter().take_while(|scheduled| scheduled.at <= now) {
            match scheduled.action {
                FaultAction::TrafficSurge { factor: more, tenant, begins } => {
                    let whose = times.iter_mut().enumerate();
                    let theirs = whose.filter(|(no, _)| tenant.is_none_or(|tenant| tenant as usize == *no));
                    theirs.for_each(|(_, times)| *times *= if begins { more } else { 1.0 / more });
                }
                FaultAction::HeavyQueries { share, work_factor, begins } => {
                    heavy = if begins { (share, work_factor) } else { (0.0, 1.0) }
                }
                _ => {}
            }
        }
        (times, heavy.0, heavy.1)
    }
}

/// A tenant drawn by how much each asks; with one tenant no lot is drawn, so that a day stays as it was.
fn whose(rng: &mut fastrand::Rng, times: &[f64]) -> usize {
    if times.len() < 2 {
        return 0;
    }
    let mut lot = rng.f64() * times.iter().sum::<f64>();
    let last = times.len() - 1;
    times
        .iter()
        .position(|times| {
            lot -= times;
            lot < 0.0
        })
        .unwrap_or(last)
}

fn exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

/// What is asked: arrivals by lot at the rate that offers the load, more of them in a storm.
fn plan(replay: &ReplayConfig, script: &[ScheduledAction], seconds: f64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(replay.seed ^ 0xa5c);
    let mean = |range: CountRange| f64::from(range.min + range.max) / 2.0;
    let shard_requests = REPORTS * mean(REPORT_PARTS) + (1.0 - REPORTS) * mean(LOOKUP_PARTS);
    let a_second = replay.load * f64::from(replay.nodes) * replay.node_ms_per_s / (shard_requests * PART_MS);
    let changes: Vec<ScheduledAction> = script
        .iter()
        .filter(|scheduled| {
            matches!(scheduled.action, FaultAction::TrafficSurge { .. } | FaultAction::HeavyQueries { .. })
        })
        .copied()
        .collect();
    let demand = Demand(&changes, replay.tenant_weights.len());
    let mut entries: Vec<PlanEntry> = (0..replay.nodes)
        .map(|host| PlanEntry { at: 0, event: PlanEvent::Node { node: host, event: NodeEvent::StartWarm } })
        .collect();
    let mut at = 0.2;
    loop {
        let (tenants, share, more) = demand.at(Tenths::from_ms(at * 1000.0));
        let times = tenants.iter().sum::<f64>() / tenants.len() as f64;
        at += exponential(&mut rng) / (a_second * times);
        if at >= seconds {
            break;
        }
        let class = usize::from(rng.f64() >= REPORTS);
        let ClassSpec { shard_requests: range, weight_skew, .. } = replay.classes[class];
        let count = rng.u32(range.min..=range.max);
        let raw: Vec<f64> = (1..=count).map(|rank| f64::from(rank).powf(-weight_skew)).collect();
        let total: f64 = raw.iter().sum();
        let first = rng.u32(..replay.shards);
        let times = if rng.f64() < share { more } else { 1.0 };
        let shard_request = |(rank, weight): (u32, f64)| {
            let us = (exponential(&mut rng) * PART_MS * times * 1000.0) as u64;
            PlannedShardRequest {
                shard: (first + rank) % replay.shards,
                weight: weight / total,
                work_us: us.max(100),
            }
        };
        let shard_requests = (0..).zip(raw).map(shard_request).collect();
        let tenant = whose(&mut rng, &tenants);
        entries.push(PlanEntry {
            at: (at * 10_000.0) as u64,
            event: PlanEvent::Query { class, tenant, shard_requests },
        });
    }
    Plan { entries, unsampled_rows: 0, unmapped_machine_rows: 0, running_at_start: 0, ms_per_unit: 1.0 }
}

/// One day of a scenario.
pub struct Day<'a> {
    pub scenario: &'a Scenario,
    pub hosts: u32,
    pub brokers: u32,
    pub halls: u32,
    pub seed: u64,
    pub mind: Mind,
}

/// What a day is played with: its script, replay, plan, cast and weather.
struct Parts {
    script: Vec<ScheduledAction>,
    replay: ReplayConfig,
    plan: Plan,
    cast: Cast,
    weather: Weather,
}

impl Day<'_> {
    fn shard_requests(&self) -> Parts {
        let Day { scenario, hosts, brokers, halls, seed, mind } = *self;
        let cells = (hosts / CELL).max(halls).max(1);
        let cluster = ClusterSize { nodes: hosts, zones: halls, placement_groups: cells, brokers };
        let script = scenario.schedule(&cluster, seed);
        let replay = replay_config(hosts, scenario, seed);
        let plan = plan(&replay, &script, scenario.seconds);
        let (near, far) = (Tenths::from_ms(scenario.near_ms), Tenths::from_ms(scenario.far_ms));
        let weather = Weather::new(cluster, near, far, seed);
        let cancel = match scenario.cancel {
            CancelBehavior::DropsAll => Cancel::All,
            CancelBehavior::DropsWaiting => Cancel::Waiting,
            CancelBehavior::DropsNothing => Cancel::Nothing,
        };
        let warm_jobs = Some(scenario.warm_jobs).filter(|jobs| *jobs > 0);
        let cast = Cast { brokers, mind, seed, cells, cores: CORES, warm_jobs, cancel };
        Parts { script, replay, plan, cast, weather }
    }

    pub fn play(&self) -> Outcome {
        let Parts { script, replay, plan, cast, weather, .. } = self.shard_requests();
        World::scripted(plan, &replay, cast, (weather, script, self.scenario.clients)).play(|_, _| true)
    }

    /// The same day as hosts' events of a plan, which sockets can play as virtual time does: hosts that are
    /// lost, drained, released, or crawl, and what is asked, storms too. Ways, the endpoint list's troubles and
    /// clients' repeats are not; a scenario with them is told so, by its trouble.
    pub fn on_sockets(&self) -> Result<(Plan, ReplayConfig, Cast), String> {
        let Parts { script, replay, mut plan, cast, mut weather } = self.shard_requests();
        for scheduled in &script {
            let done = match scheduled.action {
                FaultAction::Outage { .. }
                | FaultAction::BeginDrain { .. }
                | FaultAction::FinishDrain { .. }
                | FaultAction::Slowdown { .. } => weather.enter(scheduled.action),
                FaultAction::TrafficSurge { .. } | FaultAction::HeavyQueries { .. } => None,
                other => return Err(format!("{}: {other:?} is not played on sockets", self.scenario.name)),
            };
            let event = match done {
                Some(Do::Change { host, transition: NodeTransition::Stops }) => Some((host, NodeEvent::Stop)),
                Some(Do::Change { host, transition: NodeTransition::Drains }) => {
                    Some((host, NodeEvent::Drain))
                }
                Some(Do::Change { host, transition: NodeTransition::Starts }) => {
                    Some((host, NodeEvent::StartCold))
                }
                Some(Do::Speed { host, share }) => Some((host, NodeEvent::SlowDown(share))),
                _ => None,
            };
            if let Some((host, event)) = event {
                let event = PlanEvent::Node { node: host as u32, event };
                plan.entries.push(PlanEntry { at: scheduled.at.0.max(0) as u64, event });
            }
        }
        plan.entries.sort_by_key(|entry| entry.at);
        Ok((plan, replay, cast))
    }

    /// When the last trouble is over, in whole seconds.
    pub fn over(&self) -> usize {
        let last =
            self.scenario.faults.iter().map(|fault| fault.start_s + fault.duration_s).fold(0.0, f64::max);
        last.min(self.scenario.seconds).ceil() as usize
    }
}

/// Service at which a second is sound again, and how many in a row.
const SOUND: f64 = 0.95;
const STEADY: usize = 3;

/// Seconds from the end of the last trouble until service is sound for good measure; none: not in this day.
pub fn recovers(outcome: &Outcome, over: usize) -> Option<usize> {
    let sound = |second: &crate::outcome::Second| second.service.told().is_none_or(|share| share >= SOUND);
    let after = outcome.seconds.get(over..)?;
    let asked = after.iter().rposition(|second| second.asked > 0).map_or(0, |last| last + 1);
    after[..asked].windows(STEADY.min(asked.max(1))).position(|row| row.iter().all(sound))
}

/// Mean, and half of the span that holds it in nineteen of twenty, by the spread of few figures.
pub fn bounds(figures: &[f64]) -> (f64, Option<f64>) {
    let n = figures.len() as f64;
    let mean = figures.iter().sum::<f64>() / n.max(1.0);
    let spread = (figures.iter().map(|f| (f - mean).powi(2)).sum::<f64>() / (n - 1.0)).sqrt();
    // None for a single figure, which has no spread.
    let factor = StudentsT::new(0.0, 1.0, n - 1.0).ok().map(|student| student.inverse_cdf(0.975));
    (mean, factor.map(|factor| factor * spread / n.sqrt()))
}

/// Each tenant's service, the mean over days.
fn by_caller(days: &[Outcome]) -> Vec<f64> {
    let tenants = days.iter().map(|day| day.by_caller.len()).max().unwrap_or(0);
    let mean = |no: usize| {
        let told: Vec<f64> = days.iter().filter_map(|day| day.by_caller.get(no)?.told()).collect();
        told.iter().sum::<f64>() / told.len().max(1) as f64
    };
    (0..tenants).map(mean).collect()
}

pub fn told(days: &[Outcome], over: usize) -> Value {
    let mean =
        |figure: &dyn Fn(&Outcome) -> f64| days.iter().map(figure).sum::<f64>() / days.len().max(1) as f64;
    let mut broken: Vec<&str> = days.iter().flat_map(|day| day.broken.keys().copied()).collect();
    broken.sort_unstable();
    broken.dedup();
    let all = days.iter().flat_map(|day| &day.nearest);
    // The first rule is nearest to its limit whenever a client waits to its deadline; the others are the news.
    let nearest = all.filter(|(rule, _)| !rule.starts_with('1') && !rule.starts_with('5'));
    let nearest = nearest
        .max_by(|a, b| a.1.ratio.total_cmp(&b.1.ratio))
        .map(|(rule, near)| json!({"rule": rule, "ratio": near.ratio, "at_s": near.at.as_ms() / 1000.0}));
    let recovered: Vec<Option<usize>> = days.iter().map(|day| recovers(day, over)).collect();
    let worst_caller = |day: &Outcome| day.by_caller.iter().filter_map(|c| c.told()).fold(1.0, f64::min);
    json!({"service": mean(&|day| day.service.share()), "worst_10_s": mean(&Outcome::worst_window),
        "worst_caller": mean(&worst_caller), "callers": by_caller(days),
        "declined": mean(&|day| day.declined as f64 / day.queries.max(1) as f64),
        "pushes_a_retrieval": mean(&|day| day.attempts as f64 / day.queries.max(1) as f64),
        "tries_a_retrieval": mean(&|day| day.tries as f64 / day.queries.max(1) as f64),
        "recovers_s": recovered, "broken": broken, "nearest": nearest,
        "digests": days.iter().map(|day| day.digest[..16].to_owned()).collect::<Vec<_>>()})
}

#[cfg(test)]
mod tests;
