//! The results of a day, played in virtual time or on sockets: service, latencies, and what happened second
//! by second.

use crate::invariants::{ClosestApproach, QueryCounts, Violations};
use hdrhistogram::Histogram;
use routing::{TimeSpan, Timestamp};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// The priority weight of queries sent, and of those that got their response within the latency objective.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    pub offered: f64,
    /// Partial responses earn the share of the weight that they cover.
    pub served: f64,
}

impl Service {
    /// The share that was earned; 1 without queries. [`Service::share_if_any`] is for printing.
    pub fn share(&self) -> f64 {
        if self.offered > 0.0 { self.served / self.offered } else { 1.0 }
    }

    /// The share that was earned; none without queries.
    pub fn share_if_any(&self) -> Option<f64> {
        (self.offered > 0.0).then(|| self.share())
    }
}

/// How many nodes are in which state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    pub warm: u32,
    pub warming_up: u32,
    pub draining: u32,
    pub down: u32,
}

/// One second of the day: queries that were sent in it, and those that ended in it.
#[derive(Clone, Debug, Default)]
pub struct SecondResults {
    pub service: Service,
    pub sent: u32,
    pub responded: u32,
    pub rejected: u32,
    pub failed: u32,
    pub attempts: u32,
    /// Latencies of responses, in tenths of a millisecond.
    pub latencies: Vec<u32>,
    pub nodes: NodeCounts,
}

impl SecondResults {
    /// The latency that this share of the responses does not exceed, in milliseconds; none without responses.
    pub fn latency_ms(&self, quantile: f64) -> Option<f64> {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let rank = ((sorted.len() as f64 * quantile).ceil() as usize).clamp(1, sorted.len().max(1));
        sorted.get(rank - 1).map(|tenths| f64::from(*tenths) / 10.0)
    }
}

/// What a query of a class is worth, and until when.
#[derive(Clone, Debug)]
pub struct ClassObjective {
    pub name: String,
    pub priority_weight: f64,
    pub latency_objective: TimeSpan,
}

/// Where a query comes from, and when it was sent first.
#[derive(Clone, Copy, Debug)]
pub struct QueryOrigin {
    pub class: usize,
    pub tenant: usize,
    pub sent_at: Timestamp,
}

/// The results of a day.
#[derive(Debug)]
pub struct RunResults {
    pub classes: Vec<ClassObjective>,
    pub service: Service,
    pub by_class: Vec<Service>,
    pub by_tenant: Vec<Service>,
    pub seconds: Vec<SecondResults>,
    /// Latencies of responses, in tenths of a millisecond.
    pub latency: Histogram<u64>,
    pub queries: u64,
    pub responded: u64,
    pub rejected: u64,
    pub failed: u64,
    pub attempts: u64,
    /// Clients that left before their response.
    pub abandoned: u64,
    /// How often clients sent queries, with their retries.
    pub client_attempts: u64,
    /// Events of the simulation, in virtual time.
    pub events: u64,
    /// The longest time from a query to its rejection.
    pub slowest_rejection: TimeSpan,
    /// Rules that were broken, and how often.
    pub violations: BTreeMap<&'static str, Violations>,
    /// How close each rule came to its limit.
    pub closest: BTreeMap<&'static str, ClosestApproach>,
    /// BLAKE3 over all events in their order.
    pub digest: String,
    /// When the day was stopped; none if it was played to its end.
    pub stopped_at: Option<Timestamp>,
}

/// Tenths of a millisecond in a second.
pub const TENTHS_PER_S: i64 = 10_000;
/// Characters of a digest that are printed beside other figures.
const SHORT_DIGEST_CHARS: usize = 16;
/// The length of the worst window, in seconds.
const WINDOW_S: usize = 10;

impl RunResults {
    pub fn new(classes: Vec<ClassObjective>, tenants: usize) -> RunResults {
        RunResults {
            service: Service::default(),
            by_class: vec![Service::default(); classes.len()],
            by_tenant: vec![Service::default(); tenants],
            classes,
            seconds: Vec::new(),
            latency: Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed")),
            queries: 0,
            responded: 0,
            rejected: 0,
            failed: 0,
            attempts: 0,
            abandoned: 0,
            client_attempts: 0,
            events: 0,
            slowest_rejection: TimeSpan::ZERO,
            violations: BTreeMap::new(),
            closest: BTreeMap::new(),
            digest: String::new(),
            stopped_at: None,
        }
    }

    /// The results of the second of this time.
    pub fn second(&mut self, at: Timestamp) -> &mut SecondResults {
        let no = (at.0.max(0) / TENTHS_PER_S) as usize;
        if self.seconds.len() <= no {
            self.seconds.resize(no + 1, SecondResults::default());
        }
        &mut self.seconds[no]
    }

    /// A client sends a query for the first time.
    pub fn record_query(&mut self, origin: QueryOrigin) {
        let priority_weight = self.classes[origin.class].priority_weight;
        self.queries += 1;
        let second = self.second(origin.sent_at);
        second.sent += 1;
        second.service.offered += priority_weight;
        self.service.offered += priority_weight;
        self.by_class[origin.class].offered += priority_weight;
        self.by_tenant[origin.tenant].offered += priority_weight;
    }

    /// A response with this coverage reaches its client.
    pub fn record_response(&mut self, now: Timestamp, origin: QueryOrigin, coverage: f64) {
        let latency = now - origin.sent_at;
        self.responded += 1;
        // A latency that the histogram can't hold is longer than any deadline.
        self.latency.record(latency.0.max(0) as u64).unwrap_or_default();
        let second = self.second(now);
        second.responded += 1;
        second.latencies.push(latency.0.max(0) as u32);
        let ClassObjective { priority_weight, latency_objective, .. } = self.classes[origin.class];
        if latency <= latency_objective {
            // A partial response earns the share of the weight that it has.
            let served = priority_weight * coverage;
            self.second(origin.sent_at).service.served += served;
            self.service.served += served;
            self.by_class[origin.class].served += served;
            self.by_tenant[origin.tenant].served += served;
        }
    }

    /// A client gets a rejection, and does not retry.
    pub fn record_rejection(&mut self, now: Timestamp, origin: QueryOrigin) {
        self.rejected += 1;
        self.second(now).rejected += 1;
        self.slowest_rejection = self.slowest_rejection.max(now - origin.sent_at);
    }

    /// A client gets a failure, and does not retry.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failed += 1;
        self.second(now).failed += 1;
    }

    /// A broker sends an attempt.
    pub fn record_attempt(&mut self, now: Timestamp) {
        self.attempts += 1;
        self.second(now).attempts += 1;
    }

    /// The service of the worst ten seconds, of those with at least half of the mean priority weight.
    pub fn worst_window(&self) -> f64 {
        let windows = self.seconds.chunks(WINDOW_S).map(|seconds| {
            seconds.iter().fold(Service::default(), |sum, s| Service {
                offered: sum.offered + s.service.offered,
                served: sum.served + s.service.served,
            })
        });
        let mean = self.service.offered / self.seconds.len().div_ceil(WINDOW_S).max(1) as f64;
        let full = windows.filter(|window| window.offered >= mean / 2.0);
        full.map(|window| window.share()).fold(1.0, f64::min)
    }

    /// The latency that this share of the responses does not exceed, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 10.0
    }

    /// The beginning of the digest: enough to tell days from each other.
    pub fn short_digest(&self) -> &str {
        &self.digest[..SHORT_DIGEST_CHARS]
    }

    /// How queries ended.
    pub fn query_counts(&self) -> QueryCounts {
        QueryCounts {
            sent: self.queries,
            responded: self.responded,
            rejected: self.rejected,
            failed: self.failed,
            abandoned: self.abandoned,
        }
    }

    /// The figures as scripts read them. The keys are older than the terms of the code, and stay.
    pub fn json(&self) -> Value {
        json!({
            "nearest": self.closest_json(),
            "service": self.service.share(),
            "by_category": self.service_by_class_json(),
            "by_caller": self.by_tenant.iter().map(Service::share_if_any).collect::<Vec<_>>(),
            "worst_10_s": self.worst_window(),
            "retrievals": self.queries,
            "answered": self.responded,
            "declined": self.rejected,
            "scrapped": self.failed,
            "left": self.abandoned,
            "tries": self.client_attempts,
            "pushes": self.attempts,
            "broken": self.violations_json(),
            "latency_ms": self.latency_json(),
            "slowest_decline_ms": self.slowest_rejection.as_ms(),
            "digest": self.digest,
            "partial": self.stopped_at.is_some(),
            "played_s": self.stopped_at.map(|at| at.as_ms() / 1000.0),
        })
    }

    /// Each rule's closest approach to its limit, by rule.
    fn closest_json(&self) -> Map<String, Value> {
        let approach =
            |closest: &ClosestApproach| json!({"ratio": closest.ratio, "at_s": closest.at.as_ms() / 1000.0});
        self.closest.iter().map(|(rule, closest)| ((*rule).to_owned(), approach(closest))).collect()
    }

    fn service_by_class_json(&self) -> Map<String, Value> {
        let by_class = self.classes.iter().zip(&self.by_class);
        by_class.map(|(class, service)| (class.name.clone(), json!(service.share_if_any()))).collect()
    }

    /// How often each broken rule was broken, by rule.
    fn violations_json(&self) -> Map<String, Value> {
        let violations = self.violations.iter();
        violations.map(|(rule, violations)| ((*rule).to_owned(), json!(violations.count))).collect()
    }

    fn latency_json(&self) -> Value {
        json!({
            "median": self.latency_ms(0.5),
            "p99": self.latency_ms(0.99),
            "most": self.latency.max() as f64 / 10.0,
        })
    }
}
