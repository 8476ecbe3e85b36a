//! The queries of a scripted day: random arrivals at the rate that offers the scenario's load, more of them
//! while traffic surges.

use cluster_trace::plan::{
    ClassSpec, CountRange, Plan, PlanEntry, PlanEvent, PlannedNodeEvent, PlannedShardRequest, ReplayConfig,
};
use fault_scenarios::{FaultAction, Scenario, ScheduledAction};
use routing::Timestamp;

/// Cores of a node.
pub const NODE_CORES: usize = 4;
/// Mean work of a shard request, in milliseconds.
const MEAN_WORK_MS: f64 = 40.0;
/// The least work of a shard request, in microseconds.
const MIN_WORK_US: u64 = 100;
/// The share of the queries that are reports; the others are lookups.
const REPORT_SHARE: f64 = 0.25;
const REPORT_SHARD_REQUESTS: CountRange = CountRange { min: 8, max: 24 };
const LOOKUP_SHARD_REQUESTS: CountRange = CountRange { min: 1, max: 4 };
/// When the first query may be sent, in seconds: brokers have the endpoint list by then.
const FIRST_QUERY_S: f64 = 0.2;
const TENTHS_PER_S: f64 = 10_000.0;
/// Keeps the random numbers of traffic apart from those of other parts with the same seed.
const RNG_STREAM: u64 = 0xa5c;

/// The classes, shards and tenants of a scripted day.
pub fn replay_config(nodes: u32, scenario: &Scenario, seed: u64) -> ReplayConfig {
    ReplayConfig {
        seed,
        from: 0,
        to: (scenario.duration_s * 1e6) as u64,
        time_scale: 1.0,
        sample_share: 1.0,
        load: scenario.load,
        nodes,
        node_ms_per_s: NODE_CORES as f64 * 1000.0,
        shards: (nodes * 2).max(REPORT_SHARD_REQUESTS.max),
        classes: vec![
            ClassSpec {
                priority_weight: 3.0,
                min_coverage: 0.4,
                ..ClassSpec::idempotent("report", REPORT_SHARE, REPORT_SHARD_REQUESTS, 1.0)
            },
            ClassSpec::idempotent("lookup", 1.0 - REPORT_SHARE, LOOKUP_SHARD_REQUESTS, 0.0),
        ],
        tenant_weights: vec![1.0; scenario.clients.tenants.max(1) as usize],
        quota_per_s: None,
        drain_share: 0.0,
        drain_duration: 20_000,
        retry_budget: None,
        max_entries: 50_000_000,
    }
}

/// The plan of a day: all nodes are there and warm, and clients send queries for so many seconds.
pub fn build_plan(replay: &ReplayConfig, actions: &[ScheduledAction], seconds: f64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(replay.seed ^ RNG_STREAM);
    let traffic_actions: Vec<ScheduledAction> = actions.iter().copied().filter(changes_traffic).collect();
    let start = |node| {
        let event = PlannedNodeEvent::StartWarm;
        PlanEntry { at: 0, event: PlanEvent::Node { node, event } }
    };
    let mut entries: Vec<PlanEntry> = (0..replay.nodes).map(start).collect();
    let mut at_s = FIRST_QUERY_S;
    loop {
        let now = Timestamp::from_ms(at_s * 1000.0);
        let demand = Demand::at(now, &traffic_actions, replay.tenant_weights.len());
        at_s += draw_exponential(&mut rng) / (mean_queries_per_s(replay) * demand.mean_factor());
        if at_s >= seconds {
            break;
        }
        let event = draw_query(&mut rng, replay, &demand);
        entries.push(PlanEntry { at: (at_s * TENTHS_PER_S) as u64, event });
    }
    Plan { entries, unsampled_rows: 0, unmapped_machine_rows: 0, running_at_start: 0, ms_per_unit: 1.0 }
}

fn changes_traffic(scheduled: &ScheduledAction) -> bool {
    matches!(scheduled.action, FaultAction::TrafficSurge { .. } | FaultAction::HeavyQueries { .. })
}

/// Queries a second that offer the load, without a surge.
fn mean_queries_per_s(replay: &ReplayConfig) -> f64 {
    let mean = |range: CountRange| f64::from(range.min + range.max) / 2.0;
    let shard_requests =
        REPORT_SHARE * mean(REPORT_SHARD_REQUESTS) + (1.0 - REPORT_SHARE) * mean(LOOKUP_SHARD_REQUESTS);
    replay.load * f64::from(replay.nodes) * replay.node_ms_per_s / (shard_requests * MEAN_WORK_MS)
}

/// What clients ask for at a time, compared with a day without faults.
struct Demand {
    /// How many times as many queries each tenant sends.
    tenant_factors: Vec<f64>,
    heavy_share: f64,
    heavy_work_factor: f64,
}

impl Demand {
    fn at(now: Timestamp, actions: &[ScheduledAction], tenants: usize) -> Demand {
        let mut demand =
            Demand { tenant_factors: vec![1.0; tenants], heavy_share: 0.0, heavy_work_factor: 1.0 };
        for scheduled in actions.iter().take_while(|scheduled| scheduled.at <= now) {
            demand.apply(scheduled.action);
        }
        demand
    }

    fn apply(&mut self, action: FaultAction) {
        match action {
            FaultAction::TrafficSurge { factor, tenant, begins } => {
                let factor = if begins { factor } else { 1.0 / factor };
                for (index, tenant_factor) in self.tenant_factors.iter_mut().enumerate() {
                    if tenant.is_none_or(|tenant| tenant as usize == index) {
                        *tenant_factor *= factor;
                    }
                }
            }
            FaultAction::HeavyQueries { share, work_factor, begins } => {
                (self.heavy_share, self.heavy_work_factor) =
                    if begins { (share, work_factor) } else { (0.0, 1.0) };
            }
            _ => {}
        }
    }

    fn mean_factor(&self) -> f64 {
        self.tenant_factors.iter().sum::<f64>() / self.tenant_factors.len() as f64
    }

    /// The tenant of the next query. With a single tenant no random number is drawn, so that such days do not
    /// depend on there being tenants.
    fn draw_tenant(&self, rng: &mut fastrand::Rng) -> usize {
        if self.tenant_factors.len() < 2 {
            return 0;
        }
        let mut remaining = rng.f64() * self.tenant_factors.iter().sum::<f64>();
        let reaches_zero = |factor: &f64| {
            remaining -= factor;
            remaining < 0.0
        };
        let last = self.tenant_factors.len() - 1;
        self.tenant_factors.iter().position(reaches_zero).unwrap_or(last)
    }
}

fn draw_query(rng: &mut fastrand::Rng, replay: &ReplayConfig, demand: &Demand) -> PlanEvent {
    let class = usize::from(rng.f64() >= REPORT_SHARE);
    let ClassSpec { shard_requests: range, weight_skew, .. } = replay.classes[class];
    let count = rng.u32(range.min..=range.max);
    let raw: Vec<f64> = (1..=count).map(|rank| f64::from(rank).powf(-weight_skew)).collect();
    let total: f64 = raw.iter().sum();
    let first_shard = rng.u32(..replay.shards);
    let work_factor = if rng.f64() < demand.heavy_share { demand.heavy_work_factor } else { 1.0 };
    let shard_request = |(offset, weight): (u32, f64)| {
        let work_us = (draw_exponential(rng) * MEAN_WORK_MS * work_factor * 1000.0) as u64;
        PlannedShardRequest {
            shard: (first_shard + offset) % replay.shards,
            weight: weight / total,
            work_us: work_us.max(MIN_WORK_US),
        }
    };
    let shard_requests = (0..).zip(raw).map(shard_request).collect();
    PlanEvent::Query { class, tenant: demand.draw_tenant(rng), shard_requests }
}

/// An exponentially distributed number with mean 1.
fn draw_exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}
