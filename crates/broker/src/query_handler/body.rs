//! The JSON bodies of a query's request and response: the only place where the protocol's field names (`slices`,
//! `mass`, `entire` and the like) and the code's terms meet.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The body of a query's request.
#[derive(Deserialize)]
pub(super) struct RequestBody<'a> {
    /// The shards that it reads.
    #[serde(rename = "slices")]
    pub shard_requests: Vec<RequestedShardBody>,
    /// What is asked of each shard; forwarded to the nodes unchanged.
    #[serde(rename = "filter", borrow)]
    pub text: Cow<'a, str>,
}

/// One shard that a query reads.
#[derive(Deserialize)]
pub(super) struct RequestedShardBody {
    /// The shard's number.
    #[serde(rename = "slice")]
    pub shard: u32,
    /// Its share of the query's coverage, from 0 to 1.
    #[serde(rename = "mass")]
    pub weight: f64,
    /// The expected work, in microseconds.
    #[serde(rename = "micros")]
    pub work_us: Option<f64>,
}

/// The body of a query's response.
#[derive(Serialize)]
pub(super) struct ResponseBody<'a> {
    /// Whether the coverage is complete.
    #[serde(rename = "entire")]
    pub is_complete: bool,
    /// What the shards responded.
    #[serde(rename = "items")]
    pub shard_responses: Vec<ShardResponseBody<'a>>,
}

/// What one shard responded.
#[derive(Serialize)]
pub(super) struct ShardResponseBody<'a> {
    /// The shard's number.
    #[serde(rename = "slice")]
    pub shard: u32,
    /// What was read of it.
    #[serde(rename = "body")]
    pub value: &'a str,
}
