//! When the endpoint list is asked for again.
//!
//! Discovery is shared by all brokers and finite: while it fails, each broker waits exponentially longer,
//! with jitter, so that they don't all call at once when it is back.

use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// After the first failure the next call comes after this share of the list's greatest age.
const FAILURE_DELAY_SHARE: f64 = 0.05;

/// Failures after which the wait no longer doubles.
const MAX_DOUBLINGS: u32 = 3;

/// The least factor of the jitter, which is spread evenly over a range of one.
const MIN_JITTER: f64 = 0.5;

/// A watch that has brought nothing at all is opened anew after this share of the list's greatest age.
const SILENCE_SHARE: f64 = 0.5;

/// A greatest age that is configured shorter than this counts as this long.
const MIN_LIST_AGE: TimeSpan = TimeSpan::from_secs(5);

/// How long to wait after a failed call, `earlier_failures` in a row before it. `random` is a number from 0
/// to 1.
pub(crate) fn delay_after_failure(list_max_age: TimeSpan, earlier_failures: u32, random: f64) -> TimeSpan {
    let base = list_max_age.max(MIN_LIST_AGE).mul_f64(FAILURE_DELAY_SHARE);
    let doublings = earlier_failures.min(MAX_DOUBLINGS);
    base.mul_f64(f64::from(1 << doublings) * (MIN_JITTER + random))
}

/// How long a watch may bring nothing before it is opened anew.
pub(crate) fn max_silence(list_max_age: TimeSpan) -> TimeSpan {
    list_max_age.max(MIN_LIST_AGE).mul_f64(SILENCE_SHARE)
}
