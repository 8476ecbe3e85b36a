//! The reasons for which a request is not executed.

use super::RequestError;
use crate::engine::SubmitError;

/// The reason for which a request is not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum HandlerError {
    /// The request has an error, with which the client is answered.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The broker has no capacity for the request, or does not support it. The client may send it again.
    #[error("request rejected: no capacity, or not supported by the protocol of nodes")]
    Rejected,
}

impl From<SubmitError> for HandlerError {
    fn from(error: SubmitError) -> HandlerError {
        match error {
            SubmitError::Overloaded => HandlerError::Rejected,
            SubmitError::DuplicateId => HandlerError::Request(RequestError::IdInUse),
        }
    }
}
