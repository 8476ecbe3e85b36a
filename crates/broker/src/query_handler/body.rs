//! The JSON bodies of queries and their responses.
//!
//! The field names of the protocol (`slices`, `mass`, `entire` and others) differ from the terms used in the code.
//! The `serde` attributes in this module map them.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The body of a query.
#[derive(Deserialize)]
pub(super) struct RequestBody<'a> {
    #[serde(rename = "slices")]
    pub shard_requests: Vec<RequestedShardBody>,
    /// The query text, which is forwarded to the nodes unchanged.
    #[serde(rename = "filter", borrow)]
    pub text: Cow<'a, str>,
}

/// A shard that a query reads.
#[derive(Deserialize)]
pub(super) struct RequestedShardBody {
    /// The number of the shard.
    #[serde(rename = "slice")]
    pub shard: u32,
    /// The shard's share of the query's coverage, from 0 to 1.
    #[serde(rename = "mass")]
    pub weight: f64,
    /// The execution time that the client expects, in microseconds.
    #[serde(rename = "micros")]
    pub work_us: Option<f64>,
}

/// The body of the response to a query.
#[derive(Serialize)]
pub(super) struct ResponseBody<'a> {
    /// Whether the coverage reaches the value that the request class requires of a complete response.
    #[serde(rename = "entire")]
    pub is_complete: bool,
    /// The responses, one for each shard that was read successfully.
    #[serde(rename = "items")]
    pub shard_responses: Vec<ShardResponseBody<'a>>,
}

/// The response of one shard.
#[derive(Serialize)]
pub(super) struct ShardResponseBody<'a> {
    /// The number of the shard.
    #[serde(rename = "slice")]
    pub shard: u32,
    /// The value returned by the node.
    #[serde(rename = "body")]
    pub value: &'a str,
}
