//! The HTTP responses of the server.

use super::RequestError;
use super::body::{ResponseBody, ShardResponseBody};
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{Response, ResponseBuilder, StatusCode};
use bytes::Bytes;
use routing::{ShardId, Tenths};
use tracing::warn;

/// The response of a query whose shards gave these values, unless it is longer than `max_length`.
pub(super) fn values(is_complete: bool, values: &[(ShardId, Bytes)], max_length: usize) -> Response<Bytes> {
    let mut shard_responses = Vec::with_capacity(values.len());
    for (shard, value) in values {
        // The codec takes a frame with another value than text for a bad one, so all of them are text.
        let text = std::str::from_utf8(value);
        shard_responses.extend(text.map(|value| ShardResponseBody { shard: shard.0, value }));
    }
    let body = serde_json::to_vec(&ResponseBody { is_complete, shard_responses }).ok();
    match body.filter(|body| body.len() <= max_length) {
        Some(body) => {
            build(Response::build(StatusCode::OK).insert_header((CONTENT_TYPE, "application/json")), body)
        }
        None => {
            warn!("a response longer than a body may be is given up");
            plain(StatusCode::BAD_GATEWAY, "the answer is too long\n")
        }
    }
}

/// A query was rejected: sending it again is harmless. Without a `retry_after` there is no such header.
pub fn rejected(retry_after: Tenths) -> Response<Bytes> {
    let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after > Tenths::ZERO {
        response.insert_header((RETRY_AFTER, format!("{:.4}", retry_after.as_ms() / 1000.0)));
    }
    build(&mut response, "declined\n")
}

/// The request is wrong.
pub(super) fn request_error(error: RequestError) -> Response<Bytes> {
    let status = error.status();
    let mut response = Response::build(status);
    if status == StatusCode::PAYLOAD_TOO_LARGE || status == StatusCode::REQUEST_TIMEOUT {
        // The rest of the body is not waited for.
        response.force_close();
    }
    build(&mut response, format!("{error}\n"))
}

/// A response with a text for its body.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Bytes> {
    build(&mut Response::build(status), text)
}

fn build(response: &mut ResponseBuilder, body: impl Into<Bytes>) -> Response<Bytes> {
    let body = body.into();
    response
        .message_body(body)
        .unwrap_or_else(|_| Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()))
}
