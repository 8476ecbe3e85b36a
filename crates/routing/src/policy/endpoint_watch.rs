//! Backoff of endpoint list requests.
//!
//! Discovery is shared by all brokers and has limited capacity. While it fails, each broker backs off
//! exponentially with jitter, so that the brokers do not all send requests at once when it recovers.

use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// The delay after the first failure, as a share of the maximum age of the endpoint list.
const FIRST_DELAY_SHARE_OF_LIST_AGE: f64 = 0.05;

/// The number of failures after which the delay stops doubling.
const MAX_DOUBLINGS: u32 = 3;

/// The smallest jitter factor. The factor is uniformly distributed over an interval of length one.
const MIN_JITTER: f64 = 0.5;

/// How long a watch may deliver nothing before it is reopened, as a share of the maximum age of the endpoint list.
const MAX_SILENCE_SHARE_OF_LIST_AGE: f64 = 0.5;

/// The lower bound on the configured maximum age; a shorter age is treated as this one.
const MIN_LIST_AGE: TimeSpan = TimeSpan::from_secs(5);

/// Returns the delay before the next request after a failed one. `earlier_failures` is the number of
/// consecutive failures before this one, and `random` is a number from 0 to 1.
pub(crate) fn delay_after_failure(list_max_age: TimeSpan, earlier_failures: u32, random: f64) -> TimeSpan {
    let base = list_max_age.max(MIN_LIST_AGE).mul_f64(FIRST_DELAY_SHARE_OF_LIST_AGE);
    let doublings = earlier_failures.min(MAX_DOUBLINGS);
    base.mul_f64(f64::from(1 << doublings) * (MIN_JITTER + random))
}

/// Returns how long a watch may deliver nothing before it is reopened.
pub(crate) fn max_silence(list_max_age: TimeSpan) -> TimeSpan {
    list_max_age.max(MIN_LIST_AGE).mul_f64(MAX_SILENCE_SHARE_OF_LIST_AGE)
}
