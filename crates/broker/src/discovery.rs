//! Discovery client: requests the endpoint list and watches it for changes.
//!
//! # How the list is kept up to date
//!
//! 1. The routing logic requests a watch (`Effect::WatchEndpoints`), which notifies `Engine::watch_requested`; or
//!    a reload sets another address of discovery.
//! 2. [`watch_endpoints`] requests the complete list. Further requests are sent while earlier ones are still pending
//!    (`ListRequests`); the first response is used.
//! 3. The watch continues from the list's revision: discovery holds each request until the next change.
//! 4. When a watch or a list request fails, [`RetrySchedule`] determines the next step: a request to a local agent is
//!    retried at an interval, one to shared discovery when the routing logic requests it. The rules are in
//!    [`routing::discovery_backoff`].
//!
//! # Tasks and cancellation
//!
//! One task does all of this, for as long as the broker runs. Requests are futures within it: dropping one closes its
//! connection or returns it to the HTTP client, and has no other effect. Requests are dropped at their time limit, and
//! when another list request to the current address is answered first.
//!
//! When the address of discovery changes, the watch on the old address is dropped. List requests that are pending
//! there continue until the new address answers, and their lists are used: when changes follow each other faster
//! than discovery answers, no list would be received otherwise.

mod connector;
mod error;
mod list_requests;

use crate::endpoint_list::NodeList;
use crate::engine::Engine;
use crate::limits::DiscoveryLimits;
use bytes::Bytes;
use connector::DiscoveryConnector;
use error::DiscoveryError;
use futures_util::FutureExt;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use list_requests::{AnsweredRequest, ListRequests};
use routing::EndpointListKind;
use routing::discovery_backoff::RetrySchedule;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tracing::warn;

/// The HTTP client, which pools its connections. If a response has no length, a close of its connection completes the
/// body, while a reset is an error.
type HttpClient = legacy::Client<DiscoveryConnector, Empty<Bytes>>;

/// Watches the endpoint list whenever the engine requests it, and reports each failure to the engine.
///
/// A watch lasts until a request fails. When the address of discovery changes, the old watch is dropped and the
/// complete list is requested from the new address, at most once per `list_retry_interval`. This future never
/// completes.
pub async fn watch_endpoints(
    engine: Rc<Engine>,
    limits: DiscoveryLimits,
    mut discovery: watch::Receiver<SocketAddr>,
) {
    let client = legacy::Client::builder(TokioExecutor::new()).build(DiscoveryConnector);
    let watcher = EndpointWatcher {
        engine,
        limits,
        client,
        discovery: discovery.clone(),
        last_revision: Cell::new(0),
        pending_since: Cell::new(Instant::now()),
    };
    loop {
        tokio::select! {
            () = watcher.engine.watch_requested.notified() => {}
            Ok(()) = discovery.changed() => {}
        }
        watcher.watch_until_failure(&mut discovery).await;
    }
}

/// The state that all requests to discovery share.
struct EndpointWatcher {
    engine: Rc<Engine>,
    limits: DiscoveryLimits,
    client: HttpClient,
    /// The current address of discovery.
    discovery: watch::Receiver<SocketAddr>,
    /// The revision of the last list that was used.
    last_revision: Cell<u64>,
    /// The time at which the newest list request or the pending request of the watch was sent.
    pending_since: Cell<Instant>,
}

impl EndpointWatcher {
    /// Watches until a request fails. If discovery is a local agent, failed watches are restarted and this never
    /// returns.
    async fn watch_until_failure(&self, discovery: &mut watch::Receiver<SocketAddr>) {
        let mut requests = ListRequests::default();
        loop {
            let address = *discovery.borrow_and_update();
            // The interval also applies when a watch fails right after its list was received, and when reloads follow
            // each other quickly: otherwise each of them would cost discovery a complete list.
            let retry_at = Instant::now() + self.limits.list_retry_interval;
            tokio::select! {
                Err(error) = self.watch(address, &mut requests) => {
                    warn!(%error, "endpoint list watch failed, the last list stays in use");
                    self.report_failure();
                    match self.limits.retry_schedule() {
                        RetrySchedule::RoutingBackoff { .. } => return,
                        RetrySchedule::FixedInterval(_) => sleep_until(retry_at).await,
                    }
                }
                Ok(()) = discovery.changed() => self.use_lists_until(retry_at, &mut requests).await,
            }
        }
    }

    /// Reports a failure to the routing logic, which requests the list again after its backoff.
    fn report_failure(&self) {
        // A notification from before this failure requested the watch that failed, and must not start the next one.
        let _ = self.engine.watch_requested.notified().now_or_never();
        self.engine.endpoint_list_failed(self.pending_since.get());
    }

    /// Requests the complete list and then waits for changes, until a request fails. `requests` are those that are
    /// pending at earlier addresses.
    async fn watch<'a>(
        &'a self,
        address: SocketAddr,
        requests: &mut ListRequests<'a>,
    ) -> Result<Infallible, DiscoveryError> {
        let list = self.request_list(address, requests).await;
        *requests = ListRequests::default();
        if !list.is_complete {
            return Err(DiscoveryError::UnexpectedDelta);
        }
        let wait_ms = self.limits.watch_wait.as_millis();
        let time_limit = self.limits.watch_wait + self.limits.watch_slack;
        let mut revision = self.use_list(list);
        loop {
            self.pending_since.set(Instant::now());
            let url = format!("{}?after={revision}&wait_ms={wait_ms}", list_url(address));
            let list = timeout(time_limit, self.fetch(url)).await.map_err(|_| DiscoveryError::TimedOut)??;
            revision = self.use_list(list);
        }
    }

    /// Uses a list, and returns its revision.
    fn use_list(&self, list: NodeList) -> u64 {
        let revision = list.revision;
        self.last_revision.set(revision);
        let kind = if list.is_complete { EndpointListKind::Snapshot } else { EndpointListKind::Delta };
        self.engine.update_endpoints(kind, list);
        revision
    }

    /// Uses a list from an earlier address of discovery, unless a newer one is in use.
    fn use_list_of_earlier_address(&self, list: NodeList) {
        if list.is_complete && list.revision >= self.last_revision.get() {
            self.use_list(list);
        }
    }

    /// Uses the lists with which earlier addresses of discovery answer until `until`.
    async fn use_lists_until(&self, until: Instant, requests: &mut ListRequests<'_>) {
        while let Ok(answered) = timeout_at(until, requests.answered()).await {
            self.use_list_of_earlier_address(answered.list);
        }
    }

    /// Requests the complete list from an address, repeatedly, until one of the pending requests to it is answered.
    /// Uses lists from earlier addresses while it waits.
    async fn request_list<'a>(&'a self, address: SocketAddr, requests: &mut ListRequests<'a>) -> NodeList {
        requests.set_address(address);
        loop {
            let has_long_timeout = !requests.is_long_request_pending();
            requests.push(self.request(address, has_long_timeout), has_long_timeout);
            self.pending_since.set(Instant::now());
            let mut answered = self.wait_for_list_until_next_request(requests).await;
            while let Some(AnsweredRequest { list, is_from_current_address }) = answered {
                if is_from_current_address {
                    return list;
                }
                self.use_list_of_earlier_address(list);
                answered = self.wait_for_list_until_next_request(requests).await;
            }
        }
    }

    /// Waits for a list until the next request is due, and then returns `None`.
    async fn wait_for_list_until_next_request(
        &self,
        requests: &mut ListRequests<'_>,
    ) -> Option<AnsweredRequest> {
        match self.limits.retry_schedule() {
            RetrySchedule::FixedInterval(interval) => {
                timeout_at(self.pending_since.get() + interval, requests.answered()).await.ok()
            }
            RetrySchedule::RoutingBackoff { silence_timeout } => {
                self.wait_for_list_until_requested(requests, silence_timeout).await
            }
        }
    }

    /// Waits for a list until the routing logic asks for the next request, and then returns `None`. Reports a failure
    /// to the routing logic as soon as the newest request fails or has been pending for `silence_timeout`.
    async fn wait_for_list_until_requested(
        &self,
        requests: &mut ListRequests<'_>,
        silence_timeout: Duration,
    ) -> Option<AnsweredRequest> {
        let silent_at = self.pending_since.get() + silence_timeout;
        if let Ok(Some(answered)) = timeout_at(silent_at, requests.answered_unless_newest_fails()).await {
            return Some(answered);
        }
        self.report_failure();
        tokio::select! {
            answered = requests.answered() => Some(answered),
            () = self.engine.watch_requested.notified() => None,
        }
    }

    /// Requests the complete list. Fails if it is not received within the time limit, which is the long one only while
    /// `address` is the current address of discovery.
    async fn request(&self, address: SocketAddr, has_long_timeout: bool) -> Result<NodeList, DiscoveryError> {
        let mut list = std::pin::pin!(self.fetch(list_url(address)));
        let DiscoveryLimits { list_timeout, long_list_timeout, .. } = self.limits;
        if let Ok(result) = timeout(list_timeout, &mut list).await {
            return result;
        }
        if !has_long_timeout || *self.discovery.borrow() != address {
            return Err(DiscoveryError::TimedOut);
        }
        let rest = long_list_timeout.saturating_sub(list_timeout);
        timeout(rest, list).await.map_err(|_| DiscoveryError::TimedOut)?
    }

    /// Sends one request and parses the list in its response.
    async fn fetch(&self, url: String) -> Result<NodeList, DiscoveryError> {
        let uri = url.parse().map_err(|source| DiscoveryError::InvalidUrl { url, source })?;
        let response = self.client.get(uri).await.map_err(DiscoveryError::Request)?;
        if !response.status().is_success() {
            return Err(DiscoveryError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), self.limits.max_list_bytes).collect().await;
        let bytes = body.map_err(DiscoveryError::Body)?.to_bytes();
        serde_json::from_slice(&bytes).map_err(DiscoveryError::InvalidList)
    }
}

/// Returns the URL of the complete list at an address of discovery.
fn list_url(address: SocketAddr) -> String {
    format!("http://{address}/catalog/members")
}
