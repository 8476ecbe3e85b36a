//! What a day came to, whoever played it: service in the brief's terms, latencies, and what happened second
//! by second.

use crate::audit::{Break, Near};
use hdrhistogram::Histogram;
use routing::Tenths;
use serde_json::{Value, json};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    pub asked: f64,
    pub earned: f64,
}

impl Service {
    /// 1 where nothing was asked: see [`Service::told`] for what is shown.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 { self.earned / self.asked } else { 1.0 }
    }
}

impl Service {
    /// None where nothing was asked.
    pub fn told(&self) -> Option<f64> {
        (self.asked > 0.0).then(|| self.share())
    }
}

/// How hosts stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standings {
    pub warm: u32,
    pub cold: u32,
    pub draining: u32,
    pub gone: u32,
}

/// One second of the day, by when queries were asked, or ended.
#[derive(Clone, Debug, Default)]
pub struct Second {
    pub service: Service,
    pub asked: u32,
    pub answered: u32,
    pub declined: u32,
    pub scrapped: u32,
    pub attempts: u32,
    /// Of answers, in tenths of a millisecond.
    pub latencies: Vec<u32>,
    pub hosts: Standings,
}

impl Second {
    /// Milliseconds, at a share of the answers.
    pub fn latency_ms(&self, quantile: f64) -> Option<f64> {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let at = ((sorted.len() as f64 * quantile).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
        sorted.get(at).map(|tenths| f64::from(*tenths) / 10.0)
    }
}

/// What a class is worth, and by when.
#[derive(Clone, Debug)]
pub struct Worth {
    pub name: String,
    pub priority_weight: f64,
    pub goal: Tenths,
}

/// Whose a query is, and when it was asked.
#[derive(Clone, Copy, Debug)]
pub struct Of {
    pub class: usize,
    pub tenant: usize,
    pub at: Tenths,
}

#[derive(Debug)]
pub struct Outcome {
    pub worth: Vec<Worth>,
    pub service: Service,
    pub by_class: Vec<Service>,
    pub by_caller: Vec<Service>,
    pub seconds: Vec<Second>,
    /// Of answers, in tenths of a millisecond.
    pub latency: Histogram<u64>,
    pub queries: u64,
    pub answered: u64,
    pub declined: u64,
    pub scrapped: u64,
    pub attempts: u64,
    /// Clients that left before their answer, and how often was asked in all.
    pub left: u64,
    pub tries: u64,
    /// Things that happened on the day's agenda, in virtual time.
    pub events: u64,
    /// Of those rejected: how long after they were asked, in tenths of a millisecond, at the most.
    pub slowest_decline: Tenths,
    pub broken: BTreeMap<&'static str, Break>,
    /// How near each rule came to its limit.
    pub nearest: BTreeMap<&'static str, Near>,
    /// BLAKE3 over what happened, in its order.
    pub digest: String,
    /// It was ended before all was played, at this moment.
    pub stopped_at: Option<Tenths>,
}

const SECOND: i64 = 10_000;
/// The span of the worst window.
const WINDOW: usize = 10;

impl Outcome {
    pub fn new(worth: Vec<Worth>, tenants: usize) -> Outcome {
        Outcome {
            service: Service::default(),
            by_class: vec![Service::default(); worth.len()],
            by_caller: vec![Service::default(); tenants],
            worth,
            seconds: Vec::new(),
            latency: Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed")),
            queries: 0,
            answered: 0,
            declined: 0,
            scrapped: 0,
            attempts: 0,
            left: 0,
            tries: 0,
            events: 0,
            slowest_decline: Tenths::ZERO,
            broken: BTreeMap::new(),
            nearest: BTreeMap::new(),
            digest: String::new(),
            stopped_at: None,
        }
    }

    pub fn second(&mut self, at: Tenths) -> &mut Second {
        let no = (at.0.max(0) / SECOND) as usize;
        if self.seconds.len() <= no {
            self.seconds.resize(no + 1, Second::default());
        }
        &mut self.seconds[no]
    }

    pub fn ask(&mut self, of: Of) {
        let priority_weight = self.worth[of.class].priority_weight;
        self.queries += 1;
        let second = self.second(of.at);
        second.asked += 1;
        second.service.asked += priority_weight;
        self.service.asked += priority_weight;
        self.by_class[of.class].asked += priority_weight;
        self.by_caller[of.tenant].asked += priority_weight;
    }

    /// An answer that holds this share reaches its client.
    pub fn answer(&mut self, now: Tenths, of: Of, share: f64) {
        let took = now - of.at;
        self.answered += 1;
        // What can't be recorded is longer than any deadline.
        self.latency.record(took.0.max(0) as u64).unwrap_or_default();
        let second = self.second(now);
        second.answered += 1;
        second.latencies.push(took.0.max(0) as u32);
        let Worth { priority_weight, goal, .. } = self.worth[of.class];
        if took <= goal {
            // A partial answer earns the share that it holds.
            let earned = priority_weight * share;
            self.second(of.at).service.earned += earned;
            self.service.earned += earned;
            self.by_class[of.class].earned += earned;
            self.by_caller[of.tenant].earned += earned;
        }
    }

    pub fn decline(&mut self, now: Tenths, of: Of) {
        self.declined += 1;
        self.second(now).declined += 1;
        self.slowest_decline = self.slowest_decline.max(now - of.at);
    }

    pub fn scrap(&mut self, now: Tenths) {
        self.scrapped += 1;
        self.second(now).scrapped += 1;
    }

    pub fn push(&mut self, now: Tenths) {
        self.attempts += 1;
        self.second(now).attempts += 1;
    }

    /// The worst ten seconds, of those in which at least half of the usual was asked.
    pub fn worst_window(&self) -> f64 {
        let windows = self.seconds.chunks(WINDOW).map(|seconds| {
            seconds.iter().fold(Service::default(), |sum, s| Service {
                asked: sum.asked + s.service.asked,
                earned: sum.earned + s.service.earned,
            })
        });
        let mean = self.service.asked / self.seconds.len().div_ceil(WINDOW).max(1) as f64;
        let full = windows.filter(|window| window.asked >= mean / 2.0);
        full.map(|window| window.share()).fold(1.0, f64::min)
    }

    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 10.0
    }

    pub fn json(&self) -> Value {
        let by_class: serde_json::Map<String, Value> =
            self.worth.iter().zip(&self.by_class).map(|(w, s)| (w.name.clone(), json!(s.told()))).collect();
        let by_caller: Vec<Option<f64>> = self.by_caller.iter().map(Service::told).collect();
        let broken: serde_json::Map<String, Value> =
            self.broken.iter().map(|(rule, told)| ((*rule).to_owned(), json!(told.times))).collect();
        let near = |near: &Near| json!({"ratio": near.ratio, "at_s": near.at.as_ms() / 1000.0});
        let nearest: serde_json::Map<String, Value> =
            self.nearest.iter().map(|(rule, told)| ((*rule).to_owned(), near(told))).collect();
        json!({"nearest": nearest, "service": self.service.share(), "by_category": by_class, "by_caller": by_caller,
            "worst_10_s": self.worst_window(), "retrievals": self.queries, "answered": self.answered,
            "declined": self.declined, "scrapped": self.scrapped, "left": self.left, "tries": self.tries, "pushes": self.attempts, "broken": broken,
            "latency_ms": {"median": self.latency_ms(0.5), "p99": self.latency_ms(0.99),
                "most": self.latency.max() as f64 / 10.0},
            "slowest_decline_ms": self.slowest_decline.as_ms(), "digest": self.digest,
            "partial": self.stopped_at.is_some(), "played_s": self.stopped_at.map(|at| at.as_ms() / 1000.0)})
    }
}
