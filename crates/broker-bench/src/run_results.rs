//! The results of one run, in virtual time or on sockets: service, latencies and a time series of one entry per
//! second.

use crate::invariants::{ClosestApproach, QueryCounts, Violations};
use hdrhistogram::Histogram;
use routing::{TimeSpan, Timestamp};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// The priority weight of all queries sent, and the part of it that was served within the latency objective.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    /// Sum of the priority weights of all queries sent.
    pub offered: f64,
    /// Sum of the priority weights of responses within the latency objective. A partial response counts with its
    /// coverage.
    pub served: f64,
}

impl Service {
    /// Returns the served share of the offered weight, from 0 to 1; 1 if there were no queries. Use
    /// [`Service::share_if_any`] for output.
    pub fn share(&self) -> f64 {
        if self.offered > 0.0 { self.served / self.offered } else { 1.0 }
    }

    /// Returns the served share of the offered weight, or `None` if there were no queries.
    pub fn share_if_any(&self) -> Option<f64> {
        (self.offered > 0.0).then(|| self.share())
    }
}

/// The number of nodes in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    pub warm: u32,
    pub warming_up: u32,
    pub draining: u32,
    pub down: u32,
}

/// One second of a run. Queries and their service count in the second of sending, ends and latencies in the second
/// of the end.
#[derive(Clone, Debug, Default)]
pub struct SecondResults {
    pub service: Service,
    pub sent: u32,
    pub responded: u32,
    pub rejected: u32,
    pub failed: u32,
    /// Attempts that brokers sent to nodes.
    pub attempts: u32,
    /// Latencies of responses, in tenths of a millisecond.
    pub latencies: Vec<u32>,
    /// Node states at the start of the second.
    pub nodes: NodeCounts,
}

impl SecondResults {
    /// Returns this quantile (0 to 1) of the latencies in milliseconds, or `None` if there were no responses.
    pub fn latency_ms(&self, quantile: f64) -> Option<f64> {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let rank = ((sorted.len() as f64 * quantile).ceil() as usize).clamp(1, sorted.len().max(1));
        sorted.get(rank - 1).map(|tenths| f64::from(*tenths) / 10.0)
    }
}

/// The priority weight of a request class, and its latency objective.
#[derive(Clone, Debug)]
pub struct ClassObjective {
    pub name: String,
    pub priority_weight: f64,
    pub latency_objective: TimeSpan,
}

/// The class, tenant and first sending time of a query.
#[derive(Clone, Copy, Debug)]
pub struct QueryOrigin {
    pub class: usize,
    pub tenant: usize,
    pub sent_at: Timestamp,
}

/// The results of one run.
#[derive(Debug)]
pub struct RunResults {
    pub classes: Vec<ClassObjective>,
    pub service: Service,
    pub by_class: Vec<Service>,
    pub by_tenant: Vec<Service>,
    /// One entry per second, from the start of the run.
    pub seconds: Vec<SecondResults>,
    /// Latencies of responses, in tenths of a millisecond.
    pub latency: Histogram<u64>,
    /// Queries that clients sent, without their retries.
    pub queries: u64,
    pub responded: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Attempts that brokers sent to nodes.
    pub attempts: u64,
    /// Queries whose clients left before the response.
    pub abandoned: u64,
    /// Queries that clients sent, including their retries. Counted in virtual time only.
    pub client_attempts: u64,
    /// Events that the simulation processed. Counted in virtual time only.
    pub events: u64,
    /// Longest time from the first sending of a query to its rejection.
    pub slowest_rejection: TimeSpan,
    /// The violations of each broken rule, by the text of the violation.
    pub violations: BTreeMap<&'static str, Violations>,
    /// The closest approach of each rule to its limit, by the text of the ratio.
    pub closest: BTreeMap<&'static str, ClosestApproach>,
    /// BLAKE3 over the brokers' effects in virtual time, or over the messages received on sockets, in order.
    pub digest: String,
    /// When the run was stopped, or `None` if it ran to its end.
    pub stopped_at: Option<Timestamp>,
}

/// Tenths of a millisecond per second.
pub const TENTHS_OF_MS_PER_S: i64 = 10_000;
/// Number of characters of a digest that tables print.
const SHORT_DIGEST_LEN: usize = 16;
/// Length of the windows of [`RunResults::worst_window`], in seconds.
const WINDOW_S: usize = 10;

impl RunResults {
    /// Returns the results of a run in which no query has been sent.
    pub fn new(classes: Vec<ClassObjective>, tenants: usize) -> RunResults {
        RunResults {
            service: Service::default(),
            by_class: vec![Service::default(); classes.len()],
            by_tenant: vec![Service::default(); tenants],
            classes,
            seconds: Vec::new(),
            latency: Histogram::new(3)
                .unwrap_or_else(|_| unreachable!("the histogram allows a precision of three digits")),
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

    /// Returns the entry of the second that contains this time, and creates missing entries up to it.
    pub fn second(&mut self, at: Timestamp) -> &mut SecondResults {
        let index = (at.0.max(0) / TENTHS_OF_MS_PER_S) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondResults::default());
        }
        &mut self.seconds[index]
    }

    /// Counts a query as its client sends it for the first time.
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

    /// Counts a response with this coverage (0 to 1) as it reaches its client.
    pub fn record_response(&mut self, now: Timestamp, origin: QueryOrigin, coverage: f64) {
        let latency = now - origin.sent_at;
        self.responded += 1;
        // A latency outside the histogram's range would exceed every deadline.
        self.latency.record(latency.0.max(0) as u64).unwrap_or_default();
        let second = self.second(now);
        second.responded += 1;
        second.latencies.push(latency.0.max(0) as u32);
        let ClassObjective { priority_weight, latency_objective, .. } = self.classes[origin.class];
        if latency <= latency_objective {
            // A partial response counts with its coverage.
            let served = priority_weight * coverage;
            self.second(origin.sent_at).service.served += served;
            self.service.served += served;
            self.by_class[origin.class].served += served;
            self.by_tenant[origin.tenant].served += served;
        }
    }

    /// Counts a query whose client received a rejection and does not retry.
    pub fn record_rejection(&mut self, now: Timestamp, origin: QueryOrigin) {
        self.rejected += 1;
        self.second(now).rejected += 1;
        self.slowest_rejection = self.slowest_rejection.max(now - origin.sent_at);
    }

    /// Counts a query whose client received a failure and does not retry.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failed += 1;
        self.second(now).failed += 1;
    }

    /// Counts an attempt that a broker sent.
    pub fn record_attempt(&mut self, now: Timestamp) {
        self.attempts += 1;
        self.second(now).attempts += 1;
    }

    /// Returns the served share of the worst window of 10 s, among windows with at least half of the mean offered
    /// weight.
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

    /// Returns this quantile (0 to 1) of the latencies of all responses, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 10.0
    }

    /// Returns a prefix of the digest that is long enough to distinguish runs.
    pub fn short_digest(&self) -> &str {
        &self.digest[..SHORT_DIGEST_LEN]
    }

    /// Returns the number of queries sent, and of each way in which they ended.
    pub fn query_counts(&self) -> QueryCounts {
        QueryCounts {
            sent: self.queries,
            responded: self.responded,
            rejected: self.rejected,
            failed: self.failed,
            abandoned: self.abandoned,
        }
    }

    /// Returns the results as JSON. The keys are read by scripts and keep their older names.
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

    /// Returns the closest approach of each rule to its limit.
    fn closest_json(&self) -> Map<String, Value> {
        let approach =
            |closest: &ClosestApproach| json!({"ratio": closest.ratio, "at_s": closest.at.as_ms() / 1000.0});
        self.closest.iter().map(|(rule, closest)| ((*rule).to_owned(), approach(closest))).collect()
    }

    fn service_by_class_json(&self) -> Map<String, Value> {
        let by_class = self.classes.iter().zip(&self.by_class);
        by_class.map(|(class, service)| (class.name.clone(), json!(service.share_if_any()))).collect()
    }

    /// Returns the number of violations of each broken rule.
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
