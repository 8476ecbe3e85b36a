//! Waits that follow from the protocol's clock and the settings.

use broker::limits::{Limits, Machine};
use routing::Tenths;
use rstest::rstest;
use settings::BrokerSettings;
use std::time::Duration;

const MACHINE: Machine = Machine { memory_mb: 192, sockets: 1024 };

/// What a silent watch misses counts as told 6 s after it fell silent, or 2 s after its wait if that is later. By then it
/// has been noticed, and an agent was called anew and heard with a third of the drain's grace to spare.
#[rstest]
fn a_silent_watch_is_noticed_in_time(
    #[values(500.0, 10_000.0, 50_000.0, 600_000.0)] endpoint_list_max_age: f64,
    #[values(60.0, 250.0, 1000.0, 5000.0)] grace: f64,
) {
    let mut broker_settings = BrokerSettings::default();
    broker_settings.broker_config.rules.endpoint_list_max_age = Tenths::from_ms(endpoint_list_max_age);
    broker_settings.broker_config.rules.drain_grace = Tenths::from_ms(grace);
    let limits = Limits::new(MACHINE, &broker_settings).unwrap();
    assert!(limits.agent);
    let told = Duration::from_secs(6).max(limits.watch + Duration::from_secs(2));
    let noticed = limits.watch + limits.watch_slack;
    assert!(noticed < told);
    let heard = noticed + 2 * limits.watch_anew;
    assert!(heard + limits.watch_anew <= told + Duration::from_millis(grace as u64 + 50));
}

/// Answers to what had to be given up are on the way before the earliest kill: the longest deadline, 3 s at the most, and
/// 0.7 s after the word to leave.
#[rstest]
#[case(700.0, 1400)]
#[case(3000.0, 3700)]
#[case(90_000.0, 3700)]
fn leaves_before_the_kill(#[case] deadline: f64, #[case] kill: u64) {
    let mut broker_settings = BrokerSettings::default();
    let class = routing::RequestClass { deadline: Tenths::from_ms(deadline), ..Default::default() };
    broker_settings.broker_config.classes.insert(routing::ClassId(0), class);
    let limits = Limits::new(MACHINE, &broker_settings).unwrap();
    let answered = limits.leave_within + limits.last_answers;
    assert!(answered < Duration::from_millis(kill));
    assert!(answered + Duration::from_millis(100) >= Duration::from_millis(kill));
}
