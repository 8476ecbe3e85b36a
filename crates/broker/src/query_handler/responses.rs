//! Construction of HTTP responses.

use super::RequestError;
use super::body::{ResponseBody, ShardResponseBody};
use crate::engine::ShardResponse;
use crate::json_length::json_string_length;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{Response, ResponseBuilder, StatusCode};
use bytes::Bytes;
use routing::TimeSpan;
use tracing::warn;

/// Returns the response with the results of a query. If its body would exceed `max_length` bytes, the query fails and
/// the client receives a 502 instead.
pub(super) fn query_response(
    is_complete: bool,
    responses: &[ShardResponse],
    max_length: usize,
) -> Response<Bytes> {
    // A response that is too long is not built: it could take more memory than there is.
    let values_length: usize = responses.iter().map(|response| json_string_length(&response.value)).sum();
    let body = (values_length <= max_length).then(|| query_response_body(is_complete, responses)).flatten();
    let Some(body) = body.filter(|body| body.len() <= max_length) else {
        warn!(max_length, "response too long, query failed");
        return text_response(StatusCode::BAD_GATEWAY, "the answer is too long\n");
    };
    build(Response::build(StatusCode::OK).insert_header((CONTENT_TYPE, "application/json")), body)
}

/// Returns the JSON body of the response to a query, or `None` if it can't be encoded.
fn query_response_body(is_complete: bool, responses: &[ShardResponse]) -> Option<Vec<u8>> {
    // The codec has rejected values that are not UTF-8, so none is filtered out here.
    let shard_responses = responses.iter().filter_map(shard_response_body).collect();
    let mut body = serde_json::to_vec(&ResponseBody { is_complete, shard_responses }).ok()?;
    body.shrink_to_fit();
    Some(body)
}

/// Converts a shard's response to its JSON form. Returns `None` if the value is not UTF-8.
fn shard_response_body(response: &ShardResponse) -> Option<ShardResponseBody<'_>> {
    let value = std::str::from_utf8(&response.value).ok()?;
    Some(ShardResponseBody { shard: response.shard.0, value })
}

/// Returns the 503 response to a rejected query. Its `Retry-After` header is omitted if `retry_after` is zero.
pub fn rejection_response(retry_after: TimeSpan) -> Response<Bytes> {
    let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after > TimeSpan::ZERO {
        response.insert_header((RETRY_AFTER, format!("{:.4}", retry_after.as_ms() / 1000.0)));
    }
    build(&mut response, "declined\n")
}

/// Returns the response to a client error.
pub(super) fn error_response(error: RequestError) -> Response<Bytes> {
    let status = error.status();
    let mut response = Response::build(status);
    if status == StatusCode::PAYLOAD_TOO_LARGE || status == StatusCode::REQUEST_TIMEOUT {
        // The rest of the body is not read, so the connection can't be reused.
        response.force_close();
    }
    build(&mut response, format!("{error}\n"))
}

/// Returns a response with a plain text body.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<Bytes> {
    build(&mut Response::build(status), text)
}

/// Builds the response with this body, or an empty 500 response if the head is invalid.
fn build(response: &mut ResponseBuilder, body: impl Into<Bytes>) -> Response<Bytes> {
    let body = body.into();
    response
        .message_body(body)
        .unwrap_or_else(|_| Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()))
}
