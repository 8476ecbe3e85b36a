//! The model host against theory: waits in M/M/c by Erlang's formula, and Little's law.

use node_emulator::{Build, Host, JobNo, Taken};
use routing::Tenths;
use rstest::rstest;
use std::collections::BTreeMap;

/// Erlang's C, the chance to wait with so many cores at this load of each.
fn chance_to_wait(cores: usize, load: f64) -> f64 {
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

/// Mean time in the system and mean number in it, of so many jobs; in tenths of a millisecond.
fn play(cores: usize, load: f64, jobs: u64, seed: u64) -> (f64, f64, f64) {
    const MEAN: f64 = 10_000.0;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut exponential = |mean: f64| -(1.0 - rng.f64()).ln() * mean;
    let mut host = Host::new(Build { cores, queue: usize::MAX, ..Build::default() }, None);
    let (mut at, mut came, mut spent, mut inside, mut last) = (0.0, BTreeMap::new(), 0.0, 0.0, 0.0);
    for no in 0..jobs {
        at += exponential(MEAN / cores as f64 / load);
        let now = Tenths(at as i64);
        while let Some(end) = host.next_end().filter(|end| *end <= now) {
            inside += host.load(end).inflight as f64 * (end.0 as f64 - last);
            last = end.0 as f64;
            let job = host.end(end).unwrap();
            spent += (end - came.remove(&job).unwrap()).0 as f64;
        }
        inside += host.load(now).inflight as f64 * (now.0 as f64 - last);
        last = now.0 as f64;
        let job = JobNo(no);
        came.insert(job, now);
        let us = (exponential(MEAN) * 100.0) as u64;
        assert!(matches!(host.take(now, job, us), Taken::Begun | Taken::Queued));
    }
    let ended = jobs - came.len() as u64;
    (spent / ended as f64, inside / last, ended as f64 / last)
}

/// Mean time in the system within 2% of the closed form.
#[rstest]
#[case(1, 0.5)]
#[case(1, 0.7)]
#[case(4, 0.7)]
#[case(8, 0.8)]
fn waits_as_theory_has_it(#[case] cores: usize, #[case] load: f64) {
    let expected = 10_000.0 * (1.0 + chance_to_wait(cores, load) / (cores as f64 * (1.0 - load)));
    let (spent, inside, rate) = play(cores, load, 600_000, 7);
    let off = (spent / expected - 1.0).abs();
    assert!(off < 0.02, "{spent:.1} for {expected:.1}: {off:.4}");
    // Little: the number inside is the rate times the time spent.
    let little = (inside / (rate * spent) - 1.0).abs();
    assert!(little < 0.005, "inside {inside:.3}, rate x time {:.3}", rate * spent);
}
