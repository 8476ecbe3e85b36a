//! `measure rollout`: simulates a fleet of brokers in virtual time through restarts of its configuration service,
//! compared with brokers that reconnect after a fixed wait, then with streams that are dropped repeatedly, and then
//! with a failing version. Some JSON keys predate the terms of the code and are kept because scripts read them.

use crate::rollout_simulation::{ReconnectPolicy, RolloutResults, RolloutSimulation, SECOND, ServiceEvent};
use config_rollout::{Digest, RolloutPolicy, VersionId};
use config_rollout_client::wire::{self, TYPE_URL, Version};
use envoy_types::pb::envoy::service::discovery::v3::DiscoveryResponse;
use hdrhistogram::Histogram;
use prost::Message;
use routing::TimeSpan;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// The capacity of the service in connects per second, for each broker of the fleet. It is an input of the rollout
/// policy.
const CONNECTS_PER_S_PER_BROKER: f64 = 0.1;
/// The number of standard deviations by which the worst second may exceed the capacity, because connects occur at
/// random times.
const MAX_DEVIATIONS: f64 = 5.0;
/// The time within which all brokers must run the newest version after the service is up again, as a multiple of
/// the longest backoff.
const MAX_BACKOFFS_TO_CONVERGE: f64 = 1.2;
/// The time within which a version under which every query fails must be withdrawn, in seconds. The policy needs at
/// least 30 queries for a verdict; at 20 queries per second, counted once a second, that takes three counts.
const MAX_WITHDRAWAL_S: f64 = 5.0;
/// The mean lifetime of a stream in the run with dropped streams.
const MEAN_STREAM_LIFETIME: TimeSpan = TimeSpan(20 * SECOND);
/// The time that the baseline waits before it reconnects.
const FIXED_WAIT: TimeSpan = TimeSpan(SECOND);
/// The size of the document whose encoded size is printed, in bytes. An installation with thirty tenants has a
/// document of this size.
const DOCUMENT_BYTES: usize = 4096;

/// The second at which the service goes down.
const OUTAGE_START_S: i64 = 100;
/// The time that a run continues after the service is up again or the last version is published, in seconds.
const RECOVERY_S: i64 = 300;
/// The number of versions published in the run with dropped streams.
const VERSIONS: u64 = 6;
/// The time between these versions, in seconds.
const VERSION_INTERVAL_S: i64 = 20;
/// The second from which connects are counted in runs without an outage, when all brokers have started.
const STARTED_S: i64 = 30;

/// An outage of the service, with its name in the printed table.
struct Outage {
    name: &'static str,
    duration_s: i64,
}

const OUTAGES: &[Outage] = &[
    Outage { name: "restart, 1 s", duration_s: 1 },
    Outage { name: "restart, 30 s", duration_s: 30 },
    Outage { name: "restart, 10 min", duration_s: 600 },
];

/// A fleet whose brokers use the rollout policy, and its bounds.
struct Setup {
    brokers: usize,
    seed: u64,
    policy: ReconnectPolicy,
    /// The capacity of the service, in connects per second.
    connects_per_s: f64,
    /// The maximum backoff of a broker, in seconds.
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

    /// Returns the maximum number of connects that is allowed in a second.
    fn max_connects(&self) -> f64 {
        self.connects_per_s + MAX_DEVIATIONS * self.connects_per_s.sqrt()
    }

    /// Returns whether all brokers run `version` at the end and never reported a version other than the one they ran.
    fn all_run(&self, results: &RolloutResults, version: u64) -> bool {
        results.brokers_by_version.get(&version) == Some(&self.brokers) && results.wrong_reports == 0
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

/// Runs the benchmark and prints the figures. Returns whether all figures are within their bounds.
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

/// Measures an outage with the rollout policy and with the baseline. Only the rollout policy has bounds.
fn measure_restart(setup: &Setup, outage: &Outage, figures: &mut Map<String, Value>) -> bool {
    let Outage { name, duration_s } = *outage;
    let service_up_s = OUTAGE_START_S + duration_s;
    let results = simulate_restart(setup.brokers, &setup.policy, setup.seed, duration_s);
    let convergence = Convergence::of_version(&results, 2, service_up_s);
    convergence.print(&format!("{name}, rollout policy"));
    figures.insert(format!("down_{duration_s}s_keeper"), convergence.json());

    let fixed_wait = ReconnectPolicy::FixedWait(FIXED_WAIT);
    let baseline = simulate_restart(setup.brokers, &fixed_wait, setup.seed, duration_s);
    let baseline = Convergence::of_version(&baseline, 2, service_up_s);
    baseline.print(&format!("{name}, fixed wait"));
    figures.insert(format!("down_{duration_s}s_fixed_wait"), baseline.json());

    setup.all_run(&results, 2)
        && convergence.worst_second_connects as f64 <= setup.max_connects()
        && convergence.last_s <= setup.longest_backoff_s * MAX_BACKOFFS_TO_CONVERGE
}

fn measure_dropped_streams(setup: &Setup, figures: &mut Map<String, Value>) -> bool {
    let results = simulate_dropped_streams(setup.brokers, &setup.policy, setup.seed);
    let convergence = Convergence::of_version(&results, VERSIONS, STARTED_S);
    convergence.print("dropped streams, 20 s on average");
    figures.insert("drops".to_owned(), convergence.json());
    setup.all_run(&results, VERSIONS)
}

fn measure_failing_version(setup: &Setup, figures: &mut Map<String, Value>) -> bool {
    let results = simulate_failing_version(setup.brokers, &setup.policy, setup.seed);
    let withdrawal = Convergence::new(&results, &results.rollback_times, STARTED_S);
    withdrawal.print("withdrawal of a failing version");
    figures.insert("fails".to_owned(), withdrawal.json());
    setup.all_run(&results, 1) && withdrawal.last_s <= MAX_WITHDRAWAL_S
}

/// Simulates an outage of `duration_s` while all brokers run version 1. The service publishes version 2 when it is up
/// again.
fn simulate_restart(brokers: usize, policy: &ReconnectPolicy, seed: u64, duration_s: i64) -> RolloutResults {
    let mut simulation = RolloutSimulation::new(brokers, policy, seed, None);
    let service_up_s = OUTAGE_START_S + duration_s;
    simulation.schedule_service(1, ServiceEvent::Publish(1));
    simulation.schedule_service(OUTAGE_START_S, ServiceEvent::Down);
    simulation.schedule_service(service_up_s, ServiceEvent::Publish(2));
    simulation.schedule_service(service_up_s, ServiceEvent::Up);
    simulation.run(service_up_s + RECOVERY_S)
}

/// Simulates streams that are dropped at random times while a new version is published every
/// [`VERSION_INTERVAL_S`].
fn simulate_dropped_streams(brokers: usize, policy: &ReconnectPolicy, seed: u64) -> RolloutResults {
    let mut simulation = RolloutSimulation::new(brokers, policy, seed, Some(MEAN_STREAM_LIFETIME));
    for number in 1..=VERSIONS {
        simulation.schedule_service(VERSION_INTERVAL_S * number as i64, ServiceEvent::Publish(number));
    }
    simulation.run(VERSION_INTERVAL_S * VERSIONS as i64 + RECOVERY_S)
}

/// Simulates the publication of a version 2 that passes its checks but under which every query fails.
fn simulate_failing_version(brokers: usize, policy: &ReconnectPolicy, seed: u64) -> RolloutResults {
    let mut simulation = RolloutSimulation::new(brokers, policy, seed, None);
    simulation.schedule_service(1, ServiceEvent::Publish(1));
    simulation.schedule_service(120, ServiceEvent::PublishFailing(2));
    simulation.run(180)
}

/// The times after which the brokers of a fleet reached or left a version, and the resulting load on the service.
struct Convergence {
    median_s: f64,
    p99_s: f64,
    last_s: f64,
    worst_second_connects: u64,
    /// The number of times that a broker reached or left the version.
    brokers: usize,
    /// The number of checks in which a broker reported a version other than the one it ran.
    wrong_reports: u64,
    /// The number of checks of the reported version.
    checks: u64,
}

impl Convergence {
    /// Returns the figures for the arrival of `version`, with the connects from second `from_s` on.
    fn of_version(results: &RolloutResults, version: u64, from_s: i64) -> Convergence {
        let arrivals = results.arrival_times.get(&version).map_or(&[][..], Vec::as_slice);
        Convergence::new(results, arrivals, from_s)
    }

    /// Returns the figures for these times, in tenths of a millisecond, with the connects from second `from_s` on.
    fn new(results: &RolloutResults, times: &[i64], from_s: i64) -> Convergence {
        let mut histogram: Histogram<u64> =
            Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        times.iter().for_each(|tenths| _ = histogram.record((*tenths).max(0) as u64));
        let seconds = |tenths: u64| tenths as f64 / SECOND as f64;
        Convergence {
            median_s: seconds(histogram.value_at_quantile(0.5)),
            p99_s: seconds(histogram.value_at_quantile(0.99)),
            last_s: seconds(histogram.max()),
            worst_second_connects: worst_second(&results.connects_by_second, from_s),
            brokers: times.len(),
            wrong_reports: results.wrong_reports,
            checks: results.status_checks,
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

/// Returns the maximum number of connects in a second, from second `from_s` on.
fn worst_second(connects: &BTreeMap<i64, u64>, from_s: i64) -> u64 {
    connects.range(from_s..).map(|(_, count)| *count).max().unwrap_or(0)
}

/// Returns the encoded sizes of a response with a version and of the request that acknowledges it, in bytes.
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
