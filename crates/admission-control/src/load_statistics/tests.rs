//! Tests of the events that are counted as load, and of the windows over which they are counted.

use super::LoadStatistics;
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, Effect, NodeId, QueryId, ShardRequestId, TimeSpan,
    Timestamp,
};
use rstest::rstest;

const WINDOW: TimeSpan = TimeSpan(50_000);

fn result(outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult {
        shard_request: ShardRequestId(1),
        attempt: AttemptNumber(0),
        node: NodeId(1),
        outcome,
        duration: TimeSpan(100),
    }
}

fn send() -> Effect {
    Effect::Send { shard_request: ShardRequestId(1), node: NodeId(1), timeout: TimeSpan(10_000) }
}

fn reject() -> Effect {
    Effect::Reject { query: QueryId(1), retry_after: TimeSpan::ZERO }
}

/// Attempts that were cancelled or never sent do not indicate the load of nodes. An attempt that ended with an error
/// of the node counts as ended, but not as lost.
#[rstest]
#[case(AttemptOutcome::Succeeded, 0.0, 1.0)]
#[case(AttemptOutcome::Errored, 0.0, 1.0)]
#[case(AttemptOutcome::Overloaded, 1.0, 1.0)]
#[case(AttemptOutcome::TimedOut, 1.0, 1.0)]
#[case(AttemptOutcome::Cancelled, 0.0, 0.0)]
#[case(AttemptOutcome::NotSent, 0.0, 0.0)]
fn only_outcomes_indicative_of_load_are_counted(
    #[case] outcome: AttemptOutcome,
    #[case] lost_attempts: f64,
    #[case] ended_attempts: f64,
) {
    let mut load = LoadStatistics::new(WINDOW);
    load.record_result(Timestamp(0), &result(outcome));
    let inputs = load.overload_inputs(Timestamp(0));
    assert_eq!((inputs.lost_attempts, inputs.ended_attempts), (lost_attempts, ended_attempts));
}

/// A decrease of the rate responds to recent losses. If losses were counted over the whole window, they would cause
/// further decreases for seconds.
#[rstest]
fn losses_are_counted_over_a_fifth_of_the_window_and_rejections_over_the_whole() {
    let mut load = LoadStatistics::new(WINDOW);
    load.record_result(Timestamp(0), &result(AttemptOutcome::TimedOut));
    load.record_effects(Timestamp(0), &[reject()]);
    load.record_admitted(Timestamp(0), 3.0);
    let counts = |at: i64| {
        let inputs = load.overload_inputs(Timestamp(at));
        (inputs.lost_attempts, inputs.rejected_queries, inputs.admitted_shard_requests)
    };
    assert_eq!(counts(9_000), (1.0, 1.0, 3.0));
    assert_eq!(counts(10_000), (0.0, 1.0, 3.0));
    assert_eq!(counts(45_000), (0.0, 1.0, 3.0));
    assert_eq!(counts(50_000), (0.0, 0.0, 0.0));
}

/// While the cutoff is active, half of the shard requests are not sent. The rate is measured in admitted shard
/// requests, so each successful attempt represents two.
#[rstest]
fn served_shard_requests_are_scaled_from_sent_to_admitted() {
    let mut load = LoadStatistics::new(WINDOW);
    load.record_admitted(Timestamp(0), 40.0);
    load.record_effects(Timestamp(0), &vec![send(); 20]);
    for _ in 0..15 {
        load.record_result(Timestamp(0), &result(AttemptOutcome::Succeeded));
    }
    load.record_result(Timestamp(0), &result(AttemptOutcome::Overloaded));
    assert_eq!(load.served(Timestamp(0)), 30.0);
}

#[rstest]
fn nothing_is_served_if_nothing_was_sent() {
    let load = LoadStatistics::new(WINDOW);
    assert_eq!(load.served(Timestamp(0)), 0.0);
}
