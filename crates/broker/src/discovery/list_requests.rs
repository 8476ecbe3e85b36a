//! Concurrent requests for the complete endpoint list.
//!
//! The requests are futures owned by [`ListRequests`], polled while a caller waits for one to finish. A caller may
//! stop waiting at any time: the requests continue when the next caller waits. Dropping [`ListRequests`] drops the
//! requests.

use super::error::DiscoveryError;
use crate::endpoint_list::NodeList;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use std::future::{Future, pending};
use std::net::SocketAddr;
use tracing::warn;

/// The outcome of one finished request.
enum RequestOutcome {
    /// The request was answered with a list.
    Answered(AnsweredRequest),
    /// The newest request failed.
    NewestFailed,
    /// A request other than the newest one failed.
    OlderFailed,
}

/// A list that was received.
pub(super) struct AnsweredRequest {
    /// The list.
    pub(super) list: NodeList,
    /// Whether the current address of discovery sent the list.
    pub(super) is_from_current_address: bool,
}

/// A finished request.
struct FinishedRequest {
    /// The request's number in the order of sending; the first is 1.
    number: usize,
    /// The address to which the request was sent.
    address: Option<SocketAddr>,
    /// Whether the request had the long time limit.
    has_long_timeout: bool,
    result: Result<NodeList, DiscoveryError>,
}

/// The pending requests. At most one of those to the current address has the long time limit, which is much longer
/// than that of the others.
#[derive(Default)]
pub(super) struct ListRequests<'a> {
    waiting: FuturesUnordered<LocalBoxFuture<'a, FinishedRequest>>,
    /// The current address, to which the next requests are sent; `None` before the first.
    address: Option<SocketAddr>,
    /// The number of the newest request.
    newest: usize,
    /// Whether the request with the long time limit is pending.
    is_long_request_pending: bool,
    /// Whether any request has failed, in which case the failure has been logged.
    has_failed: bool,
}

impl<'a> ListRequests<'a> {
    /// Returns whether the request with the long time limit is pending.
    pub(super) fn is_long_request_pending(&self) -> bool {
        self.is_long_request_pending
    }

    /// Sets the address to which the next requests are sent. Those that are pending at another address continue.
    pub(super) fn set_address(&mut self, address: SocketAddr) {
        if self.address.replace(address) != Some(address) {
            self.is_long_request_pending = false;
        }
    }

    /// Adds a request to the current address, which becomes the newest one.
    pub(super) fn push(
        &mut self,
        request: impl Future<Output = Result<NodeList, DiscoveryError>> + 'a,
        has_long_timeout: bool,
    ) {
        self.newest += 1;
        self.is_long_request_pending |= has_long_timeout;
        let (number, address) = (self.newest, self.address);
        let finished =
            async move { FinishedRequest { number, address, has_long_timeout, result: request.await } };
        self.waiting.push(Box::pin(finished));
    }

    /// Waits for the next request to finish; never completes if none is pending.
    async fn next(&mut self) -> RequestOutcome {
        let Some(finished) = self.waiting.next().await else { return pending().await };
        let is_from_current_address = finished.address == self.address;
        self.is_long_request_pending &= !(finished.has_long_timeout && is_from_current_address);
        match finished.result {
            Ok(list) => {
                return RequestOutcome::Answered(AnsweredRequest { list, is_from_current_address });
            }
            Err(error) => self.log_first_failure(&error),
        }
        match finished.number == self.newest {
            true => RequestOutcome::NewestFailed,
            false => RequestOutcome::OlderFailed,
        }
    }

    /// Logs the first of a series of failures.
    fn log_first_failure(&mut self, error: &DiscoveryError) {
        if !std::mem::replace(&mut self.has_failed, true) {
            warn!(%error, "endpoint list request failed, retrying until one is answered");
        }
    }

    /// Waits for a list. Returns `None` as soon as the newest request fails.
    pub(super) async fn answered_unless_newest_fails(&mut self) -> Option<AnsweredRequest> {
        loop {
            match self.next().await {
                RequestOutcome::Answered(answered) => return Some(answered),
                RequestOutcome::NewestFailed => return None,
                RequestOutcome::OlderFailed => {}
            }
        }
    }

    /// Waits for a list, regardless of how many requests fail.
    pub(super) async fn answered(&mut self) -> AnsweredRequest {
        loop {
            if let RequestOutcome::Answered(answered) = self.next().await {
                return answered;
            }
        }
    }
}
