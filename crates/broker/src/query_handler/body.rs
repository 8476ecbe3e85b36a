//! The JSON bodies of a query's request and response. Their field names are the protocol's.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The body of a query's request.
#[derive(Deserialize)]
pub(super) struct RequestBody<'a> {
    #[serde(rename = "slices")]
    pub shard_requests: Vec<RequestedShardBody>,
    /// Sent on to the nodes as it is.
    #[serde(rename = "filter", borrow)]
    pub text: Cow<'a, str>,
}

/// One shard that a query asks.
#[derive(Deserialize)]
pub(super) struct RequestedShardBody {
    #[serde(rename = "slice")]
    pub shard: u32,
    /// Its share of the whole response, from 0 to 1.
    #[serde(rename = "mass")]
    pub weight: f64,
    /// The expected work, in microseconds.
    #[serde(rename = "micros")]
    pub work_us: Option<f64>,
}

/// The body of a query's response.
#[derive(Serialize)]
pub(super) struct ResponseBody<'a> {
    #[serde(rename = "entire")]
    pub is_complete: bool,
    #[serde(rename = "items")]
    pub shard_responses: Vec<ShardResponseBody<'a>>,
}

/// What one shard gave.
#[derive(Serialize)]
pub(super) struct ShardResponseBody<'a> {
    #[serde(rename = "slice")]
    pub shard: u32,
    #[serde(rename = "body")]
    pub value: &'a str,
}
