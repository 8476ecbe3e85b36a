//! Parsing and validation of queries in HTTP requests.
//!
//! Maps the headers of the protocol to the fields of a [`QueryRequest`]. The fields of the JSON body are mapped in
//! `body`.

use super::RequestError;
use super::body::{RequestBody, RequestedShardBody};
use crate::config_epoch::ConfigEpoch;
use crate::engine::{QueryRequest, RequestedShard};
use crate::limits::RequestLimits;
use actix_http::header::{CONTENT_LENGTH, HeaderMap, UPGRADE};
use actix_http::{HttpMessage, Request};
use bytes::Bytes;
use routing::{ClassId, ShardId, TenantId, TimeSpan};
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

const ID_HEADER: &str = "X-Correlation-Id";
/// The header with the name of the request class.
const CLASS_HEADER: &str = "X-Service-Class";
/// The header with the name of the tenant.
const TENANT_HEADER: &str = "X-Account";
/// The header with the time that the client will wait, in milliseconds.
const TIME_LEFT_HEADER: &str = "X-Time-Left-Ms";
/// The tenant of requests without a tenant header, which is the first tenant of the settings.
const FIRST_TENANT: TenantId = TenantId(0);
/// The common id of all tenants that are not in the settings.
const UNKNOWN_TENANT: TenantId = TenantId(u32::MAX);

/// Returns the value of `Content-Length` in bytes, or `None` if the header is missing.
///
/// Rejects requests to switch protocols, because the HTTP library would treat the rest of the connection as the body
/// and never stop reading it.
pub(super) fn announced_length(request: &Request) -> Result<Option<usize>, RequestError> {
    let headers = request.headers();
    if headers.contains_key(UPGRADE) {
        return Err(RequestError::ProtocolSwitch);
    }
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length.map(|text| text.trim().parse().map_err(|_| RequestError::UnreadableLength)).transpose()
}

/// Parses and validates a query.
///
/// The query text is not copied if it contains no JSON escapes: it then is a slice of `body`.
pub(super) fn read_query(
    limits: &RequestLimits,
    epoch: &ConfigEpoch,
    request: &Request,
    body: &Bytes,
    arrived: Instant,
) -> Result<QueryRequest, RequestError> {
    let headers = request.headers();
    reject_duplicate_headers(headers)?;
    let id = read_id(headers, limits.max_query_id_bytes)?;
    let class = read_class(headers, epoch)?;
    let tenant = read_tenant(headers, epoch);
    let time_left = read_time_left(headers)?.min(limits.max_client_wait);
    let query: RequestBody = serde_json::from_slice(body).map_err(|_| RequestError::UnreadableBody)?;
    check_shards(&query.shard_requests, epoch)?;
    check_weights(&query.shard_requests, limits.weight_sum_tolerance)?;
    let work_us: Option<f64> = query.shard_requests.iter().map(|shard_request| shard_request.work_us).sum();
    let text = match query.text {
        Cow::Borrowed(text) => body.slice_ref(text.as_bytes()),
        Cow::Owned(text) => Bytes::from(text.into_boxed_str().into_boxed_bytes()),
    };
    Ok(QueryRequest {
        id,
        class,
        tenant,
        deadline: arrived + time_left,
        work: TimeSpan::from_ms(work_us.unwrap_or(0.0).max(0.0) / 1000.0),
        shard_requests: query.shard_requests.iter().map(requested_shard).collect(),
        text,
        retained_bytes: body.len(),
    })
}

fn requested_shard(shard_request: &RequestedShardBody) -> RequestedShard {
    RequestedShard { shard: ShardId(shard_request.shard), weight: shard_request.weight }
}

/// Returns the value of a header, or `None` if the header is missing or its value is not visible ASCII.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Rejects requests with more than one value for a header of a query. A proxy in front of the broker could otherwise
/// use a different value than the broker.
fn reject_duplicate_headers(headers: &HeaderMap) -> Result<(), RequestError> {
    let names = [ID_HEADER, CLASS_HEADER, TENANT_HEADER, TIME_LEFT_HEADER];
    match names.iter().any(|name| headers.get_all(*name).count() > 1) {
        true => Err(RequestError::DuplicateHeader),
        false => Ok(()),
    }
}

/// Reads the query's id. Shard request ids contain it, so it must be visible ASCII without spaces and have at most
/// `max_length` bytes.
fn read_id(headers: &HeaderMap, max_length: usize) -> Result<Bytes, RequestError> {
    let id = header(headers, ID_HEADER).ok_or(RequestError::MissingId)?;
    if id.is_empty() || id.len() > max_length || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(RequestError::InvalidId);
    }
    Ok(Bytes::copy_from_slice(id.as_bytes()))
}

/// Reads the request class, which must exist in the epoch.
fn read_class(headers: &HeaderMap, epoch: &ConfigEpoch) -> Result<ClassId, RequestError> {
    let name = header(headers, CLASS_HEADER).ok_or(RequestError::MissingClass)?;
    let class = epoch.names.class_id(name).filter(|class| epoch.classes.contains_key(class));
    class.ok_or_else(|| count_unknown(epoch, RequestError::UnknownClass))
}

/// Reads the tenant of a request.
///
/// Requests without the header are attributed to the first tenant of the settings. All tenants that are not in the
/// settings share one id, which has no quota.
fn read_tenant(headers: &HeaderMap, epoch: &ConfigEpoch) -> TenantId {
    let tenant =
        header(headers, TENANT_HEADER).map_or(Some(FIRST_TENANT), |name| epoch.names.tenant_id(name));
    tenant.unwrap_or(UNKNOWN_TENANT)
}

/// Reads the time that the client will wait, a whole number of milliseconds.
fn read_time_left(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let text = header(headers, TIME_LEFT_HEADER);
    // `parse` would also accept a leading plus sign.
    let digits = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let milliseconds = digits.and_then(|text| text.parse().ok()).ok_or(RequestError::InvalidTimeLeft)?;
    Ok(Duration::from_millis(milliseconds))
}

/// Checks that the query reads at least one shard, no shard more than once, and only shards that exist in the epoch.
fn check_shards(shard_requests: &[RequestedShardBody], epoch: &ConfigEpoch) -> Result<(), RequestError> {
    let shards: BTreeSet<u32> = shard_requests.iter().map(|shard_request| shard_request.shard).collect();
    if shards.is_empty() || shards.len() < shard_requests.len() {
        return Err(RequestError::InvalidShardRequests);
    }
    if shards.last().is_some_and(|shard| *shard >= epoch.shards) {
        return Err(count_unknown(epoch, RequestError::UnknownShard));
    }
    Ok(())
}

/// Checks that each weight is between 0 and 1 and that their sum differs from 1 by at most `tolerance`.
fn check_weights(shard_requests: &[RequestedShardBody], tolerance: f64) -> Result<(), RequestError> {
    let sum: f64 = shard_requests.iter().map(|shard_request| shard_request.weight).sum();
    let are_shares = shard_requests.iter().all(|shard_request| (0.0..=1.0).contains(&shard_request.weight));
    match !are_shares || (sum - 1.0).abs() > tolerance {
        true => Err(RequestError::InvalidWeights),
        false => Ok(()),
    }
}

/// Counts a query for an unknown request class or shard as not accepted, and returns `error`.
///
/// Other client errors are not counted. These are, because they may be caused by a new configuration that has removed
/// a class or shard still in use, which must count against that configuration.
fn count_unknown(epoch: &ConfigEpoch, error: RequestError) -> RequestError {
    epoch.count(|counts| (counts.ended, counts.not_accepted) = (counts.ended + 1, counts.not_accepted + 1));
    error
}
