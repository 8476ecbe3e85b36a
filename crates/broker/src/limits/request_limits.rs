//! Limits of requests and responses.

use super::machine::KIB;
use std::time::Duration;

/// A longer request head is answered with 431.
const MAX_HEAD_BYTES: usize = 16 * KIB;
/// A longer request body is answered with 413.
const MAX_BODY_BYTES: usize = 64 * KIB;
/// Allows for the chunks' own lines beside the body that they carry.
pub(super) const MAX_CHUNKED_BODY_BYTES: usize = 4 * MAX_BODY_BYTES;
/// A query whose response would be longer is failed.
const MAX_RESPONSE_BYTES: usize = 64 * KIB;
/// A query holds its id once more for each of its shard requests, so it is kept short.
const MAX_QUERY_ID_BYTES: usize = 128;
/// Clients may round weights.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;
/// Bounds the time for which a client may have a query held.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(600);

/// Limits of requests and responses.
#[derive(Clone, Debug)]
pub struct RequestLimits {
    /// The head of a request.
    pub max_head_bytes: usize,
    /// The body of a request.
    pub max_body_bytes: usize,
    /// The body of a request as it comes in chunks.
    pub max_chunked_body_bytes: usize,
    /// The body of a response.
    pub max_response_bytes: usize,
    /// The id of a query.
    pub max_query_id_bytes: usize,
    /// How far the sum of a query's weights may be from 1.
    pub weight_sum_tolerance: f64,
    /// The longest time that a client may say it waits.
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
            weight_sum_tolerance: WEIGHT_SUM_TOLERANCE,
            max_client_wait: MAX_CLIENT_WAIT,
        }
    }
}
