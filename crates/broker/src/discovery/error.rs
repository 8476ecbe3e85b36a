//! Why a watch of the endpoint list ends.

use hyper_util::client::legacy;
use std::error::Error;

/// Why the endpoint list is not watched any more.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    /// The address of discovery makes no URL.
    #[error("{url}: {source}")]
    InvalidUrl {
        /// What was made of the address.
        url: String,
        /// Why it is no URL.
        #[source]
        source: http::uri::InvalidUri,
    },
    /// No response came.
    #[error("{}", with_causes(.0))]
    Request(#[source] legacy::Error),
    /// The response's status is no success.
    #[error("discovery responded with status {0}")]
    Status(http::StatusCode),
    /// The body broke off, or is longer than is accepted.
    #[error("{}", with_causes(&**.0))]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The body is no endpoint list.
    #[error("invalid endpoint list: {0}")]
    InvalidList(#[source] serde_json::Error),
    /// All nodes were requested, and only changes came.
    #[error("discovery sent changes where all nodes were requested")]
    UnexpectedDelta,
    /// No response within the time limit.
    #[error("no response in time")]
    TimedOut,
}

/// An error's text with those of its causes.
fn with_causes(error: &dyn Error) -> String {
    let errors = std::iter::successors(Some(error), |&error| error.source());
    errors.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}
