//! `measure control`: a fleet whose control service restarts, against brokers that call again after a fixed
//! wait; then one whose streams are dropped all the while; then a version that fails.

use crate::rollout_simulation::{ReconnectPolicy, RolloutResults, RolloutSimulation, SECOND, ServiceEvent};
use config_rollout::{Digest, RolloutPolicy, VersionId};
use config_rollout_client::wire::{self, TYPE_URL, Version};
use envoy_types::pb::envoy::service::discovery::v3::DiscoveryResponse;
use hdrhistogram::Histogram;
use prost::Message;
use routing::Tenths;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// Calls a second that the service is said to bear, for each broker of the fleet; stated to the keepers.
const CALLS_SHARE: f64 = 0.1;
/// The worst second may lie so far above that: waits are drawn, and five standard deviations of the number
/// that falls into one second are allowed for.
const DEVIATIONS: f64 = 5.0;
/// After the service's return all must run the newest within so many of the longest waits.
const WITHIN_WAITS: f64 = 1.2;
/// A version under which everything fails must be out after so many seconds: three counts, at 20 queries a
/// second, make more than the least of 30, and the counts of a broker lie a second apart.
const WITHDRAWN_WITHIN: f64 = 5.0;

/// Plays and prints; whether all bounds were kept.
pub fn measure(brokers: usize, seed: u64) -> bool {
    let rate = brokers as f64 * CALLS_SHARE;
    let bound = rate + DEVIATIONS * rate.sqrt();
    let policy = RolloutPolicy::default().spread_reconnects(brokers as u32, rate);
    let longest = policy.max_backoff.as_ms() / 1000.0;
    let controller = ReconnectPolicy::RolloutController(Box::new(policy));
    let fixed = ReconnectPolicy::FixedWait(Tenths(SECOND));
    let mut figures = Map::new();
    let mut pass = true;
    println!("{brokers} brokers, one service, virtual time (simulated), seed {seed}");
    println!("the service bears {rate:.0} calls a second; bound for its worst second {bound:.0}");
    println!("first wait {:.1} s, longest {longest:.1} s\n", brokers as f64 / rate);
    println!(
        "{:<28} {:>9} {:>9} {:>9} {:>12} {:>7}",
        "", "median s", "99th s", "last s", "worst calls/s", "wrong"
    );
    for (name, down) in [("restart, 1 s", 1), ("restart, 30 s", 30), ("restart, 10 min", 600)] {
        for (manner, who) in [(&controller, "keeper"), (&fixed, "fixed wait")] {
            let outcome = restart(brokers, manner, seed, down);
            let arrivals = outcome.arrival_times.get(&2).cloned().unwrap_or_default();
            let told = tell(&format!("{name}, {who}"), &outcome, &arrivals, 100 + down);
            if who == "keeper" {
                let all = outcome.brokers_by_version.get(&2) == Some(&brokers);
                let calm = told.worst as f64 <= bound;
                let soon = told.last <= longest * WITHIN_WAITS;
                pass &= all && calm && soon && outcome.wrong_reports == 0;
            }
            figures.insert(format!("down_{down}s_{}", who.replace(' ', "_")), told.json());
        }
    }
    let dropped = drops(brokers, &controller, seed);
    let arrivals = dropped.arrival_times.get(&6).cloned().unwrap_or_default();
    let told = tell("drops, streams of 20 s", &dropped, &arrivals, 30);
    pass &= dropped.brokers_by_version.get(&6) == Some(&brokers) && dropped.wrong_reports == 0;
    figures.insert("drops".to_owned(), told.json());
    let failed = fails(brokers, &controller, seed);
    let told = tell("a version that fails, out", &failed, &failed.rollback_times, 30);
    pass &= failed.brokers_by_version.get(&1) == Some(&brokers)
        && failed.wrong_reports == 0
        && told.last <= WITHDRAWN_WITHIN;
    figures.insert("fails".to_owned(), told.json());
    let (response, answer) = bytes();
    println!("\na version of {DOCUMENT} bytes: {response} bytes a response, {answer} an answer");
    figures.insert(
        "bytes_a_version".to_owned(),
        json!({"document": DOCUMENT, "response": response, "answer": answer}),
    );
    figures.insert("brokers".to_owned(), json!(brokers));
    figures.insert("worst_second_bound".to_owned(), json!(bound.round()));
    println!("{}", json!({"measure": "control", "figures": Value::Object(figures), "pass": pass}));
    pass
}

/// All run version 1; the service is gone for so long, and comes back with version 2.
fn restart(brokers: usize, policy: &ReconnectPolicy, seed: u64, down: i64) -> RolloutResults {
    let mut fleet = RolloutSimulation::new(brokers, policy, seed, None);
    fleet.schedule_service(1, ServiceEvent::Publish(1));
    fleet.schedule_service(100, ServiceEvent::Down);
    fleet.schedule_service(100 + down, ServiceEvent::Publish(2));
    fleet.schedule_service(100 + down, ServiceEvent::Up);
    fleet.run(100 + down + 300)
}

/// Streams are dropped after 20 s on average, while versions come every 20 s.
fn drops(brokers: usize, policy: &ReconnectPolicy, seed: u64) -> RolloutResults {
    let mut fleet = RolloutSimulation::new(brokers, policy, seed, Some(Tenths(20 * SECOND)));
    for number in 1..=6 {
        fleet.schedule_service(20 * number as i64, ServiceEvent::Publish(number));
    }
    fleet.run(420)
}

/// The second passes its checks and makes everything fail.
fn fails(brokers: usize, policy: &ReconnectPolicy, seed: u64) -> RolloutResults {
    let mut fleet = RolloutSimulation::new(brokers, policy, seed, None);
    fleet.schedule_service(1, ServiceEvent::Publish(1));
    fleet.schedule_service(120, ServiceEvent::PublishFailing(2));
    fleet.run(180)
}

struct Told {
    median: f64,
    ninety_ninth: f64,
    last: f64,
    worst: u64,
    arrived: usize,
    wrong: u64,
    looks: u64,
}

impl Told {
    fn json(&self) -> Value {
        json!({"median_s": self.median, "p99_s": self.ninety_ninth, "last_s": self.last,
            "worst_second_calls": self.worst, "arrived": self.arrived, "wrong_reports": self.wrong,
            "looks": self.looks})
    }
}

/// Prints a line on these times, and on the calls from this second on.
fn tell(name: &str, outcome: &RolloutResults, arrivals: &[i64], from: i64) -> Told {
    let mut spread: Histogram<u64> =
        Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
    arrivals.iter().for_each(|tenths| _ = spread.record((*tenths).max(0) as u64));
    let seconds = |tenths: u64| tenths as f64 / SECOND as f64;
    let worst =
        |by_second: &BTreeMap<i64, u64>| by_second.range(from..).map(|(_, calls)| *calls).max().unwrap_or(0);
    let told = Told {
        median: seconds(spread.value_at_quantile(0.5)),
        ninety_ninth: seconds(spread.value_at_quantile(0.99)),
        last: seconds(spread.max()),
        worst: worst(&outcome.connects_by_second),
        arrived: arrivals.len(),
        wrong: outcome.wrong_reports,
        looks: outcome.status_checks,
    };
    println!(
        "{name:<28} {:>9.2} {:>9.2} {:>9.2} {:>12} {:>7}",
        told.median, told.ninety_ninth, told.last, told.worst, told.wrong
    );
    told
}

/// The document whose bytes on the wire are told: of this size, as an installation with thirty tenants has.
const DOCUMENT: usize = 4096;

fn bytes() -> (usize, usize) {
    let filler = "x".repeat(DOCUMENT - r#"{"a":""}"#.len());
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
mod tests {
    use super::*;
    use rstest::rstest;

    /// The measure can fail: brokers that wait a fixed second break the bound that keepers keep.
    #[rstest]
    fn a_fixed_wait_breaks_the_bound() {
        let policy = RolloutPolicy::default().spread_reconnects(300, 30.0);
        let controller = restart(300, &ReconnectPolicy::RolloutController(Box::new(policy)), 3, 1);
        let fixed = restart(300, &ReconnectPolicy::FixedWait(Tenths(SECOND)), 3, 1);
        let worst = |outcome: &RolloutResults| {
            outcome.connects_by_second.range(101..).map(|(_, calls)| *calls).max().unwrap()
        };
        assert!(worst(&controller) <= 58 && worst(&fixed) == 300, "{} {}", worst(&controller), worst(&fixed));
        assert_eq!((controller.brokers_by_version.get(&2), controller.wrong_reports), (Some(&300), 0));
    }

    /// One seed, one outcome.
    #[rstest]
    fn is_the_same_by_seed() {
        let manner = ReconnectPolicy::RolloutController(Box::default());
        let play = || drops(50, &manner, 9);
        let (one, other) = (play(), play());
        assert_eq!(
            (one.arrival_times, one.connects_by_second),
            (other.arrival_times, other.connects_by_second)
        );
    }
}
