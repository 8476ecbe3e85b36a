//! Backoff of endpoint list requests.
//!
//! Discovery is shared by all brokers and has limited capacity. While it fails, each broker backs off
//! exponentially with jitter, so that the brokers do not all send requests at once when it recovers.
//!
//! A request that is sent just before discovery recovers may never be answered. The broker counts as notified of a
//! change when the list has its maximum age, so the time for which a request stays unanswered, the delay after it and
//! the response to the next request must fit into that age, with the greatest jitter.

use crate::time::TimeSpan;

#[cfg(test)]
mod tests;

/// The delay after the first failure, as a share of the maximum age of the endpoint list.
const FIRST_DELAY_SHARE_OF_LIST_AGE: f64 = 0.05;

/// The number of failures after which the delay stops doubling.
const MAX_DOUBLINGS: u32 = 3;

/// The smallest jitter factor. The factor is uniformly distributed over an interval of length one.
const MIN_JITTER: f64 = 0.5;

/// The greatest jitter factor.
const MAX_JITTER: f64 = MIN_JITTER + 1.0;

/// The part of the maximum age that is left for the response to the next request.
const RESPONSE_TIME: TimeSpan = TimeSpan::from_secs(1);

/// How long a watch may deliver nothing before it is reopened, as a share of the maximum age of the endpoint list.
const MAX_SILENCE_SHARE_OF_LIST_AGE: f64 = 0.5;

/// The lower bound on the configured maximum age; a shorter age is treated as this one.
const MIN_LIST_AGE: TimeSpan = TimeSpan::from_secs(5);

/// A failed request for the list, or a failed watch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedRequest {
    /// The number of consecutive failures before this one.
    pub(crate) earlier_failures: u32,
    /// The time since the request was sent, or since the watch last delivered data.
    pub(crate) pending: TimeSpan,
}

/// Returns the delay before the next request after a failed one. `random` is a number from 0 to 1.
pub(crate) fn delay_after_failure(list_max_age: TimeSpan, failed: FailedRequest, random: f64) -> TimeSpan {
    let list_age = list_max_age.max(MIN_LIST_AGE);
    let doublings = failed.earlier_failures.min(MAX_DOUBLINGS);
    let backoff = list_age.mul_f64(FIRST_DELAY_SHARE_OF_LIST_AGE * f64::from(1 << doublings));
    // The backoff is limited before the jitter is applied, so that the requests of a fleet stay spread.
    let longest_delay = (list_age - failed.pending - RESPONSE_TIME).max(TimeSpan::ZERO);
    backoff.min(longest_delay.mul_f64(1.0 / MAX_JITTER)).mul_f64(MIN_JITTER + random)
}

/// Returns how long a watch may deliver nothing before it is reopened.
pub(crate) fn max_silence(list_max_age: TimeSpan) -> TimeSpan {
    list_max_age.max(MIN_LIST_AGE).mul_f64(MAX_SILENCE_SHARE_OF_LIST_AGE)
}
