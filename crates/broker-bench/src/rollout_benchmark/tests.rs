use super::{FIXED_WAIT, ReconnectPolicy, drop_streams, restart, worst_second};
use config_rollout::RolloutPolicy;
use rstest::rstest;

/// A configuration service of 300 brokers is down for a second. Brokers that all wait for the same time
/// reconnect in the same second, and the service, which takes 30 connects a second, is overloaded as it comes
/// back. The rollout's policy spreads the reconnects; the benchmark must tell the two apart.
#[rstest]
fn a_fixed_wait_breaks_the_bound() {
    let policy = RolloutPolicy::default().spread_reconnects(300, 30.0);
    let spread = restart(300, &ReconnectPolicy::RolloutController(Box::new(policy)), 3, 1);
    let fixed = restart(300, &ReconnectPolicy::FixedWait(FIXED_WAIT), 3, 1);
    let (spread_worst, fixed_worst) =
        (worst_second(&spread.connects_by_second, 101), worst_second(&fixed.connects_by_second, 101));
    assert!(spread_worst <= 58 && fixed_worst == 300, "{spread_worst} {fixed_worst}");
    assert_eq!((spread.brokers_by_version.get(&2), spread.wrong_reports), (Some(&300), 0));
}

/// One seed, one outcome.
#[rstest]
fn is_the_same_by_seed() {
    let policy = ReconnectPolicy::RolloutController(Box::default());
    let play = || drop_streams(50, &policy, 9);
    let (one, other) = (play(), play());
    assert_eq!((one.arrival_times, one.connects_by_second), (other.arrival_times, other.connects_by_second));
}
