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
//! connection or returns it to the HTTP client, and has no other effect. Requests are dropped at their time limit,
//! when another list request is answered first, and when the address of discovery changes.

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
use list_requests::ListRequests;
use routing::EndpointListKind;
use routing::discovery_backoff::RetrySchedule;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
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
    let pending_since = Cell::new(Instant::now());
    let watcher = EndpointWatcher { engine, limits, client, pending_since };
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
    /// The time at which the newest list request or the pending request of the watch was sent.
    pending_since: Cell<Instant>,
}

impl EndpointWatcher {
    /// Watches until a request fails. If discovery is a local agent, failed watches are restarted and this never
    /// returns.
    async fn watch_until_failure(&self, discovery: &mut watch::Receiver<SocketAddr>) {
        loop {
            let address = *discovery.borrow_and_update();
            // The interval also applies when a watch fails right after its list was received, and when reloads follow
            // each other quickly: otherwise each of them would cost discovery a complete list.
            let retry_at = Instant::now() + self.limits.list_retry_interval;
            tokio::select! {
                Err(error) = self.watch(address) => {
                    warn!(%error, "endpoint list watch failed, the last list stays in use");
                    self.report_failure();
                    match self.limits.retry_schedule() {
                        RetrySchedule::RoutingBackoff { .. } => return,
                        RetrySchedule::FixedInterval(_) => sleep_until(retry_at).await,
                    }
                }
                Ok(()) = discovery.changed() => sleep_until(retry_at).await,
            }
        }
    }

    /// Reports a failure to the routing logic, which requests the list again after its backoff.
    fn report_failure(&self) {
        // A notification from before this failure requested the watch that failed, and must not start the next one.
        let _ = self.engine.watch_requested.notified().now_or_never();
        self.engine.endpoint_list_failed(self.pending_since.get());
    }

    /// Requests the complete list and then waits for changes, until a request fails.
    async fn watch(&self, discovery: SocketAddr) -> Result<Infallible, DiscoveryError> {
        let list_url = format!("http://{discovery}/catalog/members");
        let mut list = self.request_list(&list_url).await?;
        if !list.is_complete {
            return Err(DiscoveryError::UnexpectedDelta);
        }
        let wait_ms = self.limits.watch_wait.as_millis();
        loop {
            let revision = list.revision;
            let kind = if list.is_complete { EndpointListKind::Snapshot } else { EndpointListKind::Delta };
            self.engine.update_endpoints(kind, list);
            self.pending_since.set(Instant::now());
            let url = format!("{list_url}?after={revision}&wait_ms={wait_ms}");
            list = self.request(&url, self.limits.watch_wait + self.limits.watch_slack).await?;
        }
    }

    /// Requests the complete list, repeatedly, until one of the pending requests is answered.
    async fn request_list(&self, url: &str) -> Result<NodeList, DiscoveryError> {
        let mut requests = ListRequests::default();
        loop {
            let has_long_timeout = !requests.is_long_request_pending();
            let time_limit =
                if has_long_timeout { self.limits.long_list_timeout } else { self.limits.list_timeout };
            requests.push(self.request(url, time_limit), has_long_timeout);
            self.pending_since.set(Instant::now());
            let answered = match self.limits.retry_schedule() {
                RetrySchedule::FixedInterval(interval) => timeout(interval, requests.answered()).await.ok(),
                RetrySchedule::RoutingBackoff { silence_timeout } => {
                    self.wait_for_list_until_next_request(&mut requests, silence_timeout).await
                }
            };
            if let Some(list) = answered {
                return Ok(list);
            }
        }
    }

    /// Waits for a list until the routing logic asks for the next request, and then returns `None`. Reports a failure
    /// to the routing logic as soon as the newest request fails or has been pending for `silence_timeout`.
    async fn wait_for_list_until_next_request(
        &self,
        requests: &mut ListRequests<'_>,
        silence_timeout: Duration,
    ) -> Option<NodeList> {
        if let Ok(Some(list)) = timeout(silence_timeout, requests.answered_unless_newest_fails()).await {
            return Some(list);
        }
        self.report_failure();
        tokio::select! {
            list = requests.answered() => Some(list),
            () = self.engine.watch_requested.notified() => None,
        }
    }

    /// Sends one request, and fails if the list is not received within `time_limit`.
    async fn request(&self, url: &str, time_limit: Duration) -> Result<NodeList, DiscoveryError> {
        timeout(time_limit, self.fetch(url)).await.map_err(|_| DiscoveryError::TimedOut)?
    }

    /// Sends one request and parses the list in its response.
    async fn fetch(&self, url: &str) -> Result<NodeList, DiscoveryError> {
        let uri = url.parse().map_err(|source| DiscoveryError::InvalidUrl { url: url.to_owned(), source })?;
        let response = self.client.get(uri).await.map_err(DiscoveryError::Request)?;
        if !response.status().is_success() {
            return Err(DiscoveryError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), self.limits.max_list_bytes).collect().await;
        let bytes = body.map_err(DiscoveryError::Body)?.to_bytes();
        serde_json::from_slice(&bytes).map_err(DiscoveryError::InvalidList)
    }
}
