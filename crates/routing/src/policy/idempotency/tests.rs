use super::is_repeat_harmless;
use crate::config::{Idempotency, RequestClass};
use crate::policy::test_queries::{class, query};
use crate::time::{TimeSpan, Timestamp};
use rstest::rstest;

/// Executing a shard request twice has two effects. A node drops a repeat with the same key only within the
/// window, which is counted from the first attempt that it may have received.
#[rstest]
#[case::idempotent(Idempotency::Idempotent, Some(0), 1_000_000, true)]
#[case::key_within_the_window(Idempotency::IdempotencyKey, Some(100), 1_100, true)]
#[case::key_after_the_window(Idempotency::IdempotencyKey, Some(100), 1_101, false)]
#[case::at_most_once(Idempotency::AtMostOnce, Some(100), 100, false)]
#[case::key_never_executed(Idempotency::IdempotencyKey, None, 1_000_000, true)]
#[case::at_most_once_never_executed(Idempotency::AtMostOnce, None, 1_000_000, true)]
fn repeats(
    #[case] idempotency: Idempotency,
    #[case] first_executed_at: Option<i64>,
    #[case] arrives_at: i64,
    #[case] expected: bool,
) {
    let class = RequestClass { idempotency, dedup_window: TimeSpan(1_000), ..class(1.0, 1.0) };
    let policy = query(class, &[1.0]).policy;
    let first_executed_at = first_executed_at.map(Timestamp);
    assert_eq!(is_repeat_harmless(&policy, first_executed_at, Timestamp(arrives_at)), expected);
}
