//! Tests of the counts of rejected requests.

use super::{RejectedRequestCount, RejectedRequests, RequestError};
use rstest::rstest;

/// A flood of invalid requests must not flood the log: requests with the same error are reported as one count.
#[rstest]
fn aggregates_rejected_requests_by_error() {
    let rejected_requests = RejectedRequests::default();
    rejected_requests.count(RequestError::AnnouncedBodyTooLong);
    (0..1000).for_each(|_| rejected_requests.count(RequestError::MissingId));
    let counts = rejected_requests.take();
    let too_long = RejectedRequestCount { error: RequestError::AnnouncedBodyTooLong, times: 1 };
    assert_eq!(counts, [RejectedRequestCount { error: RequestError::MissingId, times: 1000 }, too_long]);
    let lines: Vec<_> =
        counts.iter().map(|count| (count.error.status().as_u16(), count.error.to_string())).collect();
    assert_eq!(lines, [(400, "no id".to_owned()), (413, "a body that is too long".to_owned())]);
    assert!(rejected_requests.take().is_empty());
}
