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

/// An attempt that has been in flight for 3,000, whose node has answered nothing since before it was sent.
const UNRESPONSIVE: AttemptProgress = AttemptProgress {
    now: Timestamp(4_000),
    sent_at: Timestamp(1_000),
    node: Some(NODE),
    average_latency: TimeSpan(1_000),
    hedge_delay: TimeSpan(3_000),
};

/// An attempt whose node keeps answering requests that were sent before it.
const SLOW: AttemptProgress = AttemptProgress {
    node: Some(NodeProgress { last_success_at: Timestamp(3_999), ..NODE }),
    ..UNRESPONSIVE
};

/// An attempt whose node has answered an attempt that was sent more than an average latency later.
const OVERTAKEN: AttemptProgress = AttemptProgress {
    node: Some(NodeProgress {
        last_success_at: Timestamp(3_999),
        newest_answered_sent_at: Timestamp(2_001),
        ..NODE
    }),
    ..UNRESPONSIVE
};

const UNKNOWN_NODE: AttemptProgress = AttemptProgress { node: None, ..UNRESPONSIVE };

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
#[case::unresponsive(UNRESPONSIVE, HEDGE, true)]
#[case::overtaken(OVERTAKEN, HEDGE, true)]
#[case::slow_but_answering(SLOW, HEDGE, false)]
#[case::node_is_no_longer_listed(UNKNOWN_NODE, HEDGE, true)]
#[case::not_yet(AttemptProgress { hedge_delay: TimeSpan(3_001), ..UNRESPONSIVE }, HEDGE, false)]
#[case::has_a_hedge(UNRESPONSIVE, ReplacementConditions { is_only_attempt: false, ..HEDGE }, false)]
#[case::not_safe_to_retry(UNRESPONSIVE, ReplacementConditions { may_retry: false, ..HEDGE }, false)]
#[case::no_budget(UNRESPONSIVE, ReplacementConditions { has_retry_budget: false, ..HEDGE }, false)]
#[case::no_alternative_replica(UNRESPONSIVE, ReplacementConditions { alternative_latency: None, ..HEDGE }, false)]
#[case::alternative_is_slower(
    UNRESPONSIVE,
    ReplacementConditions { alternative_latency: Some(TimeSpan(3_000)), ..HEDGE },
    false
)]
#[case::alternative_is_too_late(
    UNRESPONSIVE,
    ReplacementConditions { objective_at: Timestamp(5_000), ..HEDGE },
    false
)]
#[case::neither_allowed(UNRESPONSIVE, ReplacementConditions { allow_hedging: false, ..HEDGE }, false)]
fn hedged(
    #[case] attempt: AttemptProgress,
    #[case] conditions: ReplacementConditions,
    #[case] expected: bool,
) {
    assert_eq!(should_replace(&attempt, conditions), expected);
}

/// A cancellation certainly discards the response. Without a budget for another attempt, the shard request
/// would be lost with it, although waiting might have succeeded.
#[rstest]
#[case::overtaken(OVERTAKEN, CANCEL, true)]
#[case::unresponsive_but_not_overtaken(UNRESPONSIVE, CANCEL, false)]
#[case::unresponsive_connection(
    UNRESPONSIVE,
    ReplacementConditions { is_connection_unresponsive: true, ..CANCEL },
    true
)]
#[case::no_budget(OVERTAKEN, ReplacementConditions { has_retry_budget: false, ..CANCEL }, false)]
#[case::not_allowed(OVERTAKEN, ReplacementConditions { allow_cancel: false, ..CANCEL }, false)]
fn cancelled(
    #[case] attempt: AttemptProgress,
    #[case] conditions: ReplacementConditions,
    #[case] expected: bool,
) {
    assert_eq!(should_replace(&attempt, conditions), expected);
}
