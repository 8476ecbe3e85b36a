//! Client errors in HTTP requests.

use actix_http::StatusCode;

/// A client error in an HTTP request. Clients receive the display text as the response body, so it must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RequestError {
    /// The path is unknown (404).
    #[error("an unknown path")]
    UnknownPath,
    /// The path does not support the request's method (405).
    #[error("another method is wanted")]
    MethodNotAllowed,
    /// The connection was closed with this status before the request was complete.
    #[error("a request that is too long, or does not come")]
    Incomplete(StatusCode),
    /// The bytes received are not a valid HTTP request.
    #[error("no request that can be read")]
    Unreadable,
    /// The request has an `Upgrade` header. The server does not support other protocols.
    #[error("another protocol is asked for")]
    ProtocolSwitch,
    /// The `Content-Length` header is not a number.
    #[error("a length that can't be read")]
    UnreadableLength,
    /// The `Content-Length` header exceeds the maximum body length (413).
    #[error("a body that is too long")]
    AnnouncedBodyTooLong,
    /// The client sent more than the maximum body length (413).
    #[error("a body that is too long or breaks off")]
    BodyTooLong,
    /// The body ended before it was complete, or is not encoded correctly.
    #[error("a body that is too long or breaks off")]
    BodyCutOff,
    /// The body was not received within the I/O timeout (408).
    #[error("a body that does not come")]
    BodyTimedOut,
    /// A header with the id, the request class, the tenant or the remaining time is given more than once.
    #[error("a header that comes twice")]
    DuplicateHeader,
    /// The `X-Correlation-Id` header is missing or not ASCII.
    #[error("no id")]
    MissingId,
    /// The id is empty, too long, or contains characters that can't be sent to nodes.
    #[error("an id that can't be passed on")]
    InvalidId,
    /// The `X-Service-Class` header is missing or not ASCII.
    #[error("no category")]
    MissingClass,
    /// The configuration does not contain the request class.
    #[error("an unknown category")]
    UnknownClass,
    /// The `X-Time-Left-Ms` header is missing or not a whole number of milliseconds.
    #[error("no time left told")]
    InvalidTimeLeft,
    /// The body is not valid JSON, or a field is missing or has the wrong type.
    #[error("a body that can't be read")]
    UnreadableBody,
    /// The query reads no shard, or the same shard more than once.
    #[error("no parts, or one twice")]
    InvalidShardRequests,
    /// A shard number is not below the configured number of shards.
    #[error("an unknown shard")]
    UnknownShard,
    /// A weight is not between 0 and 1, or the weights do not add up to 1.
    #[error("weights that do not make a whole")]
    InvalidWeights,
    /// Another query with the same id is open, or ended without a response and may have been executed.
    #[error("an id that is open already")]
    IdInUse,
}

impl RequestError {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::UnknownPath => StatusCode::NOT_FOUND,
            RequestError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::Incomplete(status) => status,
            RequestError::AnnouncedBodyTooLong | RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}
