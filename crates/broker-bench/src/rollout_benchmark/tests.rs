use super::{FIXED_WAIT, ReconnectPolicy, simulate_dropped_streams, simulate_restart, worst_second};
use config_rollout::RolloutPolicy;
use rstest::rstest;

/// The configuration service of 300 brokers is down for a second. With a fixed wait, all brokers reconnect in the
/// same second and overload the service, which can accept 30 connects per second. The rollout policy spreads the
/// reconnects, and the benchmark must distinguish the two.
#[rstest]
fn a_fixed_wait_breaks_the_bound() {
    let policy = RolloutPolicy::default().spread_reconnects(300, 30.0);
    let spread = simulate_restart(300, &ReconnectPolicy::RolloutController(Box::new(policy)), 3, 1);
    let fixed = simulate_restart(300, &ReconnectPolicy::FixedWait(FIXED_WAIT), 3, 1);
    let (spread_worst, fixed_worst) =
        (worst_second(&spread.connects_by_second, 101), worst_second(&fixed.connects_by_second, 101));
    assert!(spread_worst <= 58 && fixed_worst == 300, "{spread_worst} {fixed_worst}");
    assert_eq!((spread.brokers_by_version.get(&2), spread.wrong_reports), (Some(&300), 0));
}

/// The same seed gives the same results.
#[rstest]
fn is_deterministic_by_seed() {
    let policy = ReconnectPolicy::RolloutController(Box::default());
    let run = || simulate_dropped_streams(50, &policy, 9);
    let (one, other) = (run(), run());
    assert_eq!((one.arrival_times, one.connects_by_second), (other.arrival_times, other.connects_by_second));
}
