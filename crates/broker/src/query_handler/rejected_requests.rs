//! Counts of rejected requests, which are logged periodically with one line for each error.

use super::RequestError;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// The number of requests rejected since the last report, by error. Logging each request separately would add load
/// during a flood of invalid requests.
#[derive(Default)]
pub struct RejectedRequests {
    counts: RefCell<BTreeMap<RequestError, usize>>,
}

/// The number of requests that were rejected with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectedRequestCount {
    /// The error with which the requests were rejected.
    pub error: RequestError,
    /// The number of requests with this error; at least 1.
    pub times: usize,
}

impl RejectedRequests {
    /// Counts a request that was rejected with `error`.
    pub fn count(&self, error: RequestError) {
        *self.counts.borrow_mut().entry(error).or_default() += 1;
    }

    /// Returns the counts since the last call, sorted by status and error text, and resets them.
    pub fn take(&self) -> Vec<RejectedRequestCount> {
        let counts = self.counts.take().into_iter();
        let mut counts: Vec<_> = counts.map(|(error, times)| RejectedRequestCount { error, times }).collect();
        counts.sort_by_key(|count| (count.error.status(), count.error.to_string()));
        counts
    }
}
