//! Which attempts are replaced.

use super::{AttemptProgress, NodeProgress, ReplacementConditions, hedge_delay, should_replace};
use crate::time::{TimeSpan, Timestamp};
use rstest::rstest;

#[rstest]
#[case::three_latencies(1_000, 3_000)]
#[case::at_least_a_fifth_of_the_objective(10, 2_000)]
#[case::at_most_half_of_the_objective(9_000, 5_000)]
fn the_delay_follows_latency(#[case] average: i64, #[case] expected: i64) {
    assert_eq!(hedge_delay(TimeSpan(average), TimeSpan(10_000)), TimeSpan(expected));
}

const NODE: NodeProgress = NodeProgress {
    newest_answered_sent_at: Timestamp::ZERO,
    last_success_at: Timestamp(500),
    latency: TimeSpan(1_000),
};

/// In flight for 3,000, and its node has answered nothing since before it was sent.
const SILENT: AttemptProgress = AttemptProgress {
    now: Timestamp(4_000),
    sent_at: Timestamp(1_000),
    node: Some(NODE),
    average_latency: TimeSpan(1_000),
    hedge_delay: TimeSpan(3_000),
};

/// Its node goes on answering what was sent before it.
const SLOW: AttemptProgress =
    AttemptProgress { node: Some(NodeProgress { last_success_at: Timestamp(3_999), ..NODE }), ..SILENT };

/// Its node has answered an attempt that was sent more than an average latency later.
const OVERTAKEN: AttemptProgress = AttemptProgress {
    node: Some(NodeProgress {
        last_success_at: Timestamp(3_999),
        newest_answered_sent_at: Timestamp(2_001),
        ..NODE
    }),
    ..SILENT
};

const UNKNOWN_NODE: AttemptProgress = AttemptProgress { node: None, ..SILENT };

const HEDGE: ReplacementConditions = ReplacementConditions {
    allow_hedging: true,
    allow_cancel: false,
    is_connection_unresponsive: false,
    is_only_attempt: true,
    may_retry: true,
    has_retry_budget: true,
    alternative_latency: Some(TimeSpan(1_000)),
    objective_at: Timestamp(10_000),
};

const CANCEL: ReplacementConditions =
    ReplacementConditions { allow_hedging: false, allow_cancel: true, ..HEDGE };

#[rstest]
#[case::silent(SILENT, HEDGE, true)]
#[case::overtaken(OVERTAKEN, HEDGE, true)]
#[case::merely_slow(SLOW, HEDGE, false)]
#[case::node_is_gone(UNKNOWN_NODE, HEDGE, true)]
#[case::not_yet(AttemptProgress { hedge_delay: TimeSpan(3_001), ..SILENT }, HEDGE, false)]
#[case::has_a_hedge(SILENT, ReplacementConditions { is_only_attempt: false, ..HEDGE }, false)]
#[case::not_harmless(SILENT, ReplacementConditions { may_retry: false, ..HEDGE }, false)]
#[case::no_budget(SILENT, ReplacementConditions { has_retry_budget: false, ..HEDGE }, false)]
#[case::no_other_replica(SILENT, ReplacementConditions { alternative_latency: None, ..HEDGE }, false)]
#[case::other_is_slower(SILENT, ReplacementConditions { alternative_latency: Some(TimeSpan(3_000)), ..HEDGE }, false)]
#[case::other_is_too_late(SILENT, ReplacementConditions { objective_at: Timestamp(5_000), ..HEDGE }, false)]
#[case::neither_allowed(SILENT, ReplacementConditions { allow_hedging: false, ..HEDGE }, false)]
fn hedged(
    #[case] attempt: AttemptProgress,
    #[case] conditions: ReplacementConditions,
    #[case] expected: bool,
) {
    assert_eq!(should_replace(&attempt, conditions), expected);
}

/// A cancellation loses the response for certain. Without a budget for another attempt the shard request
/// would be lost with it, where waiting might have brought it.
#[rstest]
#[case::overtaken(OVERTAKEN, CANCEL, true)]
#[case::silence_alone_is_waited_out(SILENT, CANCEL, false)]
#[case::unresponsive(SILENT, ReplacementConditions { is_connection_unresponsive: true, ..CANCEL }, true)]
#[case::no_budget(OVERTAKEN, ReplacementConditions { has_retry_budget: false, ..CANCEL }, false)]
#[case::not_allowed(OVERTAKEN, ReplacementConditions { allow_cancel: false, ..CANCEL }, false)]
fn cancelled(
    #[case] attempt: AttemptProgress,
    #[case] conditions: ReplacementConditions,
    #[case] expected: bool,
) {
    assert_eq!(should_replace(&attempt, conditions), expected);
}
