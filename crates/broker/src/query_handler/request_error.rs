//! Why a request is rejected as the client's error.

use actix_http::StatusCode;

/// What is wrong with a request. Its text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RequestError {
    /// No handler has this path.
    #[error("an unknown path")]
    UnknownPath,
    /// The path's handler serves another method.
    #[error("another method is wanted")]
    MethodNotAllowed,
    /// The connection was closed, with this status, before the request was complete.
    #[error("a request that is too long, or does not come")]
    Incomplete(StatusCode),
    /// What came is no HTTP request.
    #[error("no request that can be read")]
    Unreadable,
    /// It asks to switch to another protocol.
    #[error("another protocol is asked for")]
    ProtocolSwitch,
    /// `Content-Length` is no number.
    #[error("a length that can't be read")]
    UnreadableLength,
    /// `Content-Length` is beyond the limit.
    #[error("a body that is too long")]
    AnnouncedBodyTooLong,
    /// More came than the limit allows.
    #[error("a body that is too long or breaks off")]
    BodyTooLong,
    /// The body ended before it was complete.
    #[error("a body that is too long or breaks off")]
    BodyCutOff,
    /// The body was not complete in time.
    #[error("a body that does not come")]
    BodyTimedOut,
    /// A header that decides is given more than once.
    #[error("a header that comes twice")]
    DuplicateHeader,
    /// The query has no id.
    #[error("no id")]
    MissingId,
    /// The query's id can't be sent to nodes.
    #[error("an id that can't be passed on")]
    InvalidId,
    /// The query names no class.
    #[error("no category")]
    MissingClass,
    /// The configuration has no such class.
    #[error("an unknown category")]
    UnknownClass,
    /// The client's remaining time is missing, or is no number of milliseconds.
    #[error("no time left told")]
    InvalidTimeLeft,
    /// The body is not the JSON of a query.
    #[error("a body that can't be read")]
    UnreadableBody,
    /// No shard is asked, or one twice.
    #[error("no parts, or one twice")]
    InvalidShardRequests,
    /// A shard is beyond the configured number.
    #[error("an unknown shard")]
    UnknownShard,
    /// The weights are no shares of one.
    #[error("weights that do not make a whole")]
    InvalidWeights,
    /// Another query with this id is open.
    #[error("an id that is open already")]
    IdInUse,
}

impl RequestError {
    /// The response's status.
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
