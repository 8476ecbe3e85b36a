//! Limits of requests and responses.

use super::machine::KIB;
use std::time::Duration;

/// Longer request heads are answered with 431.
const MAX_HEAD_BYTES: usize = 16 * KIB;
/// Longer request bodies are answered with 413.
const MAX_BODY_BYTES: usize = 64 * KIB;
/// Leaves room for the size lines of chunks, which are sent in addition to the body.
pub(super) const MAX_CHUNKED_BODY_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Queries with longer responses fail.
const MAX_RESPONSE_BYTES: usize = 64 * KIB;
/// Each shard request of a query stores a copy of the query's id, so ids must be short.
const MAX_QUERY_ID_BYTES: usize = 128;
/// Allows for weights that clients have rounded.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;
/// Limits the time for which a client can keep a query open.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(600);

/// The time for which an id is retained after the deadline of its query. A node that was paused may execute a shard
/// request some time after it was cancelled.
const ID_RETENTION: Duration = Duration::from_secs(60);
/// Limits the memory of retained ids.
const MAX_RETAINED_IDS: usize = 8192;

/// Limits of requests and responses.
#[derive(Clone, Debug)]
pub struct RequestLimits {
    /// The maximum length of a request head.
    pub max_head_bytes: usize,
    /// The maximum length of a request body, after chunked encoding was removed.
    pub max_body_bytes: usize,
    /// The maximum length of a request body in chunked encoding, including the size lines of the chunks.
    pub max_chunked_body_bytes: usize,
    /// The maximum length of a response body.
    pub max_response_bytes: usize,
    /// The maximum length of a query's id.
    pub max_query_id_bytes: usize,
    /// The time after its deadline for which the id of a query without a response can't be used again.
    pub id_retention: Duration,
    /// The maximum number of ids that are retained.
    pub max_retained_ids: usize,
    /// The maximum difference between 1 and the sum of a query's weights.
    pub weight_sum_tolerance: f64,
    /// The maximum time that a query may run. Longer times stated by clients are reduced to it.
    pub max_client_wait: Duration,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            max_chunked_body_bytes: MAX_CHUNKED_BODY_BYTES,
            max_response_bytes: MAX_RESPONSE_BYTES,
            max_query_id_bytes: MAX_QUERY_ID_BYTES,
            id_retention: ID_RETENTION,
            max_retained_ids: MAX_RETAINED_IDS,
            weight_sum_tolerance: WEIGHT_SUM_TOLERANCE,
            max_client_wait: MAX_CLIENT_WAIT,
        }
    }
}
