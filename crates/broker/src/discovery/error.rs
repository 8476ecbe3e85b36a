//! Errors of requests to discovery.

use hyper_util::client::legacy;
use std::error::Error;

/// The error that ended a watch of the endpoint list or one of its requests.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    /// The URL that was built from the address of discovery is invalid.
    #[error("invalid discovery URL `{url}`: {source}")]
    InvalidUrl {
        /// The invalid URL.
        url: String,
        /// The parser's error.
        #[source]
        source: http::uri::InvalidUri,
    },
    /// The request failed before a response was received.
    #[error("request to discovery failed: {}", format_with_sources(.0))]
    Request(#[source] legacy::Error),
    /// The response has a status other than success.
    #[error("discovery responded with status {0}, expected a 2xx status")]
    Status(http::StatusCode),
    /// The body ended early, or is longer than the limit.
    #[error("reading the response of discovery failed: {}", format_with_sources(&**.0))]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The body could not be parsed as an endpoint list.
    #[error("failed to parse the endpoint list from discovery: {0}")]
    InvalidList(#[source] serde_json::Error),
    /// The response to a request for the complete list contains only changes.
    #[error("discovery sent a list of changes, expected the complete list")]
    UnexpectedDelta,
    /// No complete response was received within the time limit.
    #[error("discovery did not respond within the time limit")]
    TimedOut,
}

/// Formats an error together with its chain of sources.
fn format_with_sources(error: &dyn Error) -> String {
    let errors = std::iter::successors(Some(error), |&error| error.source());
    errors.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}
