//! `measure rollout`: a fleet of brokers whose configuration service restarts, beside brokers that reconnect
//! after a fixed wait; then one whose streams are dropped again and again; then a version that fails. In
//! virtual time. Keys of its JSON are older than the terms of the code, and stay, as scripts read them.

use crate::rollout_simulation::{ReconnectPolicy, RolloutResults, RolloutSimulation, SECOND, ServiceEvent};
use config_rollout::{Digest, RolloutPolicy, VersionId};
use config_rollout_client::wire::{self, TYPE_URL, Version};
use envoy_types::pb::envoy::service::discovery::v3::DiscoveryResponse;
use hdrhistogram::Histogram;
use prost::Message;
use routing::TimeSpan;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// Connects a second that the service can take, for each broker of the fleet: an input of the rollout policy.
const CONNECTS_PER_S_PER_BROKER: f64 = 0.1;
/// Standard deviations by which the worst second may exceed that rate: the times of connects are random.
const MAX_DEVIATIONS: f64 = 5.0;
/// After the service's return, all brokers must run the newest version within this many times the longest
/// backoff.
const MAX_BACKOFFS_TO_CONVERGE: f64 = 1.2;
/// A version under which every query fails must be withdrawn within this time, in seconds. The policy judges
/// from 30 queries on; at 20 queries a second, counted once a second, that takes three counts.
const MAX_WITHDRAWAL_S: f64 = 5.0;
/// How long a stream lives on average in the run with dropped streams.
const MEAN_STREAM_LIFETIME: TimeSpan = TimeSpan(20 * SECOND);
/// The baseline's wait before it reconnects.
const FIXED_WAIT: TimeSpan = TimeSpan(SECOND);
/// Bytes of the document whose size on the wire is printed: as an installation with thirty tenants has.
const DOCUMENT_BYTES: usize = 4096;

/// The second at which the service goes down.
const OUTAGE_START_S: i64 = 100;
/// How long a run goes on after the service's return, in seconds.
const RECOVERY_S: i64 = 300;
/// Versions of the run with dropped streams, and seconds between them.
const VERSIONS: u64 = 6;
const VERSION_INTERVAL_S: i64 = 20;
/// From this second on, connects are counted in the runs without an outage: the fleet has started.
const STARTED_S: i64 = 30;

/// An outage of the service, and its name in the table.
struct Outage {
    name: &'static str,
    duration_s: i64,
}

const OUTAGES: &[Outage] = &[
    Outage { name: "restart, 1 s", duration_s: 1 },
    Outage { name: "restart, 30 s", duration_s: 30 },
    Outage { name: "restart, 10 min", duration_s: 600 },
];

/// A fleet whose brokers decide by the rollout's policy, and its bounds.
struct Setup {
    brokers: usize,
    seed: u64,
    policy: ReconnectPolicy,
    /// Connects a second that the service can take.
    connects_per_s: f64,
    /// The longest backoff of a broker, in seconds.
    longest_backoff_s: f64,
}

impl Setup {
    fn new(brokers: usize, seed: u64) -> Setup {
        let connects_per_s = brokers as f64 * CONNECTS_PER_S_PER_BROKER;
        let policy = RolloutPolicy::default().spread_reconnects(brokers as u32, connects_per_s);
        let longest_backoff_s = policy.max_backoff.as_ms() / 1000.0;
        let policy = ReconnectPolicy::RolloutController(Box::new(policy));
        Setup { brokers, seed, policy, connects_per_s, longest_backoff_s }
    }

    /// The most connects that there may be in a second.
    fn max_connects(&self) -> f64 {
        self.connects_per_s + MAX_DEVIATIONS * self.connects_per_s.sqrt()
    }

    /// Whether all brokers run this version at the end, and reported no other one than they ran.
    fn all_run(&self, outcome: &RolloutResults, version: u64) -> bool {
        outcome.brokers_by_version.get(&version) == Some(&self.brokers) && outcome.wrong_reports == 0
    }

    fn print(&self) {
        let Setup { brokers, seed, connects_per_s, longest_backoff_s, .. } = self;
        println!("{brokers} brokers, one service, virtual time (simulated), seed {seed}");
        println!(
            "the service takes {connects_per_s:.0} connects/s; bound for its worst second {:.0}",
            self.max_connects()
        );
        println!("first wait {:.1} s, longest {longest_backoff_s:.1} s\n", 1.0 / CONNECTS_PER_S_PER_BROKER);
        println!(
            "{:<32} {:>9} {:>9} {:>9} {:>16} {:>13}",
            "", "median s", "p99 s", "last s", "worst connects/s", "wrong reports"
        );
    }
}

/// Measures and prints; returns whether all bounds were kept.
pub fn measure(brokers: usize, seed: u64) -> bool {
    let setup = Setup::new(brokers, seed);
    setup.print();
    let mut figures = Map::new();
    let mut passes = true;
    for outage in OUTAGES {
        passes &= measure_restart(&setup, outage, &mut figures);
    }
    passes &= measure_dropped_streams(&setup, &mut figures);
    passes &= measure_failing_version(&setup, &mut figures);
    let (response, request) = message_bytes();
    println!(
        "\na version of {DOCUMENT_BYTES} bytes: {response} bytes a response, {request} an acknowledgement"
    );
    figures.insert(
        "bytes_a_version".to_owned(),
        json!({"document": DOCUMENT_BYTES, "response": response, "answer": request}),
    );
    figures.insert("brokers".to_owned(), json!(brokers));
    figures.insert("worst_second_bound".to_owned(), json!(setup.max_connects().round()));
    println!("{}", json!({"measure": "control", "figures": Value::Object(figures), "pass": passes}));
    passes
}

/// Measures an outage with the rollout's policy, which has bounds, and with the baseline, which has none.
fn measure_restart(setup: &Setup, outage: &Outage, figures: &mut Map<String, Value>) -> bool {
    let Outage { name, duration_s } = *outage;
    let returned_s = OUTAGE_START_S + duration_s;
    let outcome = restart(setup.brokers, &setup.policy, setup.seed, duration_s);
    let convergence = Convergence::of_version(&outcome, 2, returned_s);
    convergence.print(&format!("{name}, rollout policy"));
    figures.insert(format!("down_{duration_s}s_keeper"), convergence.json());

    let fixed_wait = ReconnectPolicy::FixedWait(FIXED_WAIT);
    let baseline = restart(setup.brokers, &fixed_wait, setup.seed, duration_s);
    let baseline = Convergence::of_version(&baseline, 2, returned_s);
    baseline.print(&format!("{name}, fixed wait"));
    figures.insert(format!("down_{duration_s}s_fixed_wait"), baseline.json());

    setup.all_run(&outcome, 2)
        && convergence.worst_second_connects as f64 <= setup.max_connects()
        && convergence.last_s <= setup.longest_backoff_s * MAX_BACKOFFS_TO_CONVERGE
}

fn measure_dropped_streams(setup: &Setup, figures: &mut Map<String, Value>) -> bool {
    let outcome = drop_streams(setup.brokers, &setup.policy, setup.seed);
    let convergence = Convergence::of_version(&outcome, VERSIONS, STARTED_S);
    convergence.print("dropped streams, 20 s on average");
    figures.insert("drops".to_owned(), convergence.json());
    setup.all_run(&outcome, VERSIONS)
}

fn measure_failing_version(setup: &Setup, figures: &mut Map<String, Value>) -> bool {
    let outcome = publish_failing_version(setup.brokers, &setup.policy, setup.seed);
    let withdrawal = Convergence::new(&outcome, &outcome.rollback_times, STARTED_S);
    withdrawal.print("withdrawal of a failing version");
    figures.insert("fails".to_owned(), withdrawal.json());
    setup.all_run(&outcome, 1) && withdrawal.last_s <= MAX_WITHDRAWAL_S
}

/// All brokers run version 1; the service goes down for this time, and comes back with version 2.
fn restart(brokers: usize, policy: &ReconnectPolicy, seed: u64, duration_s: i64) -> RolloutResults {
    let mut simulation = RolloutSimulation::new(brokers, policy, seed, None);
    let returned_s = OUTAGE_START_S + duration_s;
    simulation.schedule_service(1, ServiceEvent::Publish(1));
    simulation.schedule_service(OUTAGE_START_S, ServiceEvent::Down);
    simulation.schedule_service(returned_s, ServiceEvent::Publish(2));
    simulation.schedule_service(returned_s, ServiceEvent::Up);
    simulation.run(returned_s + RECOVERY_S)
}

/// Streams are dropped at random, while a new version is published every [`VERSION_INTERVAL_S`].
fn drop_streams(brokers: usize, policy: &ReconnectPolicy, seed: u64) -> RolloutResults {
    let mut simulation = RolloutSimulation::new(brokers, policy, seed, Some(MEAN_STREAM_LIFETIME));
    for number in 1..=VERSIONS {
        simulation.schedule_service(VERSION_INTERVAL_S * number as i64, ServiceEvent::Publish(number));
    }
    simulation.run(VERSION_INTERVAL_S * VERSIONS as i64 + RECOVERY_S)
}

/// Version 2 passes its checks, and every query under it fails.
fn publish_failing_version(brokers: usize, policy: &ReconnectPolicy, seed: u64) -> RolloutResults {
    let mut simulation = RolloutSimulation::new(brokers, policy, seed, None);
    simulation.schedule_service(1, ServiceEvent::Publish(1));
    simulation.schedule_service(120, ServiceEvent::PublishFailing(2));
    simulation.run(180)
}

/// How fast a fleet reached a version or left it, and what that was for the service.
struct Convergence {
    median_s: f64,
    p99_s: f64,
    last_s: f64,
    worst_second_connects: u64,
    /// Brokers that reached or left the version.
    brokers: usize,
    /// Times at which a broker reported another version than it ran.
    wrong_reports: u64,
    /// Times at which that was checked.
    checks: u64,
}

impl Convergence {
    /// Of this version, with the connects from this second on.
    fn of_version(outcome: &RolloutResults, version: u64, from_s: i64) -> Convergence {
        let arrivals = outcome.arrival_times.get(&version).map_or(&[][..], Vec::as_slice);
        Convergence::new(outcome, arrivals, from_s)
    }

    /// Of these times, in tenths of a millisecond, with the connects from this second on.
    fn new(outcome: &RolloutResults, times: &[i64], from_s: i64) -> Convergence {
        let mut histogram: Histogram<u64> =
            Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        times.iter().for_each(|tenths| _ = histogram.record((*tenths).max(0) as u64));
        let seconds = |tenths: u64| tenths as f64 / SECOND as f64;
        Convergence {
            median_s: seconds(histogram.value_at_quantile(0.5)),
            p99_s: seconds(histogram.value_at_quantile(0.99)),
            last_s: seconds(histogram.max()),
            worst_second_connects: worst_second(&outcome.connects_by_second, from_s),
            brokers: times.len(),
            wrong_reports: outcome.wrong_reports,
            checks: outcome.status_checks,
        }
    }

    fn print(&self, name: &str) {
        println!(
            "{name:<32} {:>9.2} {:>9.2} {:>9.2} {:>16} {:>13}",
            self.median_s, self.p99_s, self.last_s, self.worst_second_connects, self.wrong_reports
        );
    }

    fn json(&self) -> Value {
        json!({
            "median_s": self.median_s,
            "p99_s": self.p99_s,
            "last_s": self.last_s,
            "worst_second_calls": self.worst_second_connects,
            "arrived": self.brokers,
            "wrong_reports": self.wrong_reports,
            "looks": self.checks,
        })
    }
}

/// The most connects in a second, from this second on.
fn worst_second(connects: &BTreeMap<i64, u64>, from_s: i64) -> u64 {
    connects.range(from_s..).map(|(_, count)| *count).max().unwrap_or(0)
}

/// Bytes on the wire of a response with a version, and of the request that acknowledges it.
fn message_bytes() -> (usize, usize) {
    let filler = "x".repeat(DOCUMENT_BYTES - r#"{"a":""}"#.len());
    let document = format!(r#"{{"a":"{filler}"}}"#).into_bytes();
    let version = Version::from_document(12, "north", &document).unwrap_or_default();
    let response = DiscoveryResponse {
        version_info: "12".to_owned(),
        resources: vec![version.to_resource()],
        type_url: TYPE_URL.to_owned(),
        nonce: "12".to_owned(),
        ..DiscoveryResponse::default()
    };
    let runs = VersionId { number: 12, digest: Digest::of(&document) };
    (response.encoded_len(), wire::discovery_request("north", runs, "12", None).encoded_len())
}

#[cfg(test)]
mod tests;
