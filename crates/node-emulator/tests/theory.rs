//! Compares the node model with queueing theory: waiting times of an M/M/c queue by the Erlang C formula, and
//! Little's law.

use node_emulator::{EmulatedNode, JobId, NodeSpec, SubmitOutcome};
use routing::Timestamp;
use rstest::rstest;
use std::collections::BTreeMap;

/// Returns the probability that a job has to wait, by the Erlang C formula, for a number of cores and the load per
/// core.
fn erlang_c(cores: usize, load: f64) -> f64 {
    let offered = load * cores as f64;
    let mut term = 1.0;
    let mut sum = 1.0;
    for k in 1..cores {
        term *= offered / k as f64;
        sum += term;
    }
    let last = term * offered / cores as f64 / (1.0 - load);
    last / (sum + last)
}

/// Simulates the given number of jobs. Returns the mean time in the system, the mean number of jobs in it and the
/// rate of completions, with times in tenths of a millisecond.
fn simulate(cores: usize, load: f64, jobs: u64, seed: u64) -> (f64, f64, f64) {
    const MEAN: f64 = 10_000.0;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut exponential = |mean: f64| -(1.0 - rng.f64()).ln() * mean;
    let mut node =
        EmulatedNode::new(NodeSpec { cores, queue_capacity: usize::MAX, ..NodeSpec::default() }, None);
    let mut arrival_times: BTreeMap<JobId, Timestamp> = BTreeMap::new();
    let (mut at, mut time_in_system, mut job_time, mut last) = (0.0, 0.0, 0.0, 0.0);
    for id in 0..jobs {
        at += exponential(MEAN / cores as f64 / load);
        let now = Timestamp(at as i64);
        while let Some(completion) = node.next_completion().filter(|completion| *completion <= now) {
            job_time += node.load(completion).in_flight as f64 * (completion.0 as f64 - last);
            last = completion.0 as f64;
            let job = node.complete(completion).unwrap();
            time_in_system += (completion - arrival_times.remove(&job).unwrap()).0 as f64;
        }
        job_time += node.load(now).in_flight as f64 * (now.0 as f64 - last);
        last = now.0 as f64;
        let job = JobId(id);
        arrival_times.insert(job, now);
        let work_us = (exponential(MEAN) * 100.0) as u64;
        assert!(matches!(node.submit(now, job, work_us), SubmitOutcome::Started | SubmitOutcome::Queued));
    }
    let completed = jobs - arrival_times.len() as u64;
    (time_in_system / completed as f64, job_time / last, completed as f64 / last)
}

/// The mean time in the system must be within 2% of the closed form, and the mean number within 0.5% of Little's law.
#[rstest]
#[case(1, 0.5)]
#[case(1, 0.7)]
#[case(4, 0.7)]
#[case(8, 0.8)]
fn waits_match_theory(#[case] cores: usize, #[case] load: f64) {
    let expected = 10_000.0 * (1.0 + erlang_c(cores, load) / (cores as f64 * (1.0 - load)));
    let (mean_time, mean_number, rate) = simulate(cores, load, 600_000, 7);
    let error = (mean_time / expected - 1.0).abs();
    assert!(error < 0.02, "mean time {mean_time:.1}, expected {expected:.1}, error {error:.4}");
    // Little's law: the mean number in the system is the rate times the mean time in the system.
    let relative_error = (mean_number / (rate * mean_time) - 1.0).abs();
    assert!(relative_error < 0.005, "number {mean_number:.3}, rate x time {:.3}", rate * mean_time);
}
