//! Tests of the length of the window.

use super::OutcomeWindow;
use crate::sample::Sample;
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const SPAN: TimeSpan = TimeSpan(100_000);

fn sample(ended: u64) -> Sample {
    Sample { ended, failed: 0, failed_on_nodes: 0, ready_nodes: 10 }
}

/// A fault that has ended must not remain in the baseline, so samples as old as the span are dropped.
#[rstest]
#[case(99_999, 11)]
#[case(100_000, 1)]
fn samples_are_dropped_after_the_span(#[case] now: i64, #[case] expected: u64) {
    let mut outcomes = OutcomeWindow::default();
    outcomes.record(Timestamp(0), sample(10), SPAN);
    outcomes.record(Timestamp(now), sample(1), SPAN);
    assert_eq!(outcomes.baseline().total.ended, expected);
}
