//! Counts of rejected requests, from which the log gets one line for each kind of error.

use super::RequestError;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Requests rejected since the last report. They are counted, since a log line for each would itself be a load under
/// a flood of bad requests.
#[derive(Default)]
pub struct RejectedRequests {
    counts: RefCell<BTreeMap<RequestError, usize>>,
}

/// How often one error was met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectedRequestCount {
    /// What was wrong.
    pub error: RequestError,
    /// The number of requests.
    pub times: usize,
}

impl RejectedRequests {
    /// Counts one request.
    pub fn count(&self, error: RequestError) {
        *self.counts.borrow_mut().entry(error).or_default() += 1;
    }

    /// The counts since the last call, ordered by status and text.
    pub fn take(&self) -> Vec<RejectedRequestCount> {
        let counts = self.counts.take().into_iter();
        let mut counts: Vec<_> = counts.map(|(error, times)| RejectedRequestCount { error, times }).collect();
        counts.sort_by_key(|count| (count.error.status(), count.error.to_string()));
        counts
    }
}
