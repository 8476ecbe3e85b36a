//! Requests the endpoint list from discovery and watches its changes.
//!
//! # How the list is kept
//!
//! 1. The routing decisions ask for the list (`Effect::WatchEndpoints`), which notifies `Engine::watch_requested`;
//!    or a reload sets another address of discovery.
//! 2. [`watch_endpoints`] requests the complete list. More requests follow while earlier ones still wait
//!    (`ListRequests`); the first that is answered is used.
//! 3. With the list's revision it watches: each request waits at discovery for the next change.
//! 4. When a watch or a list request fails, [`RetrySchedule`] says what follows: a local agent is asked again at an
//!    interval, shared discovery when the routing decisions ask for it. The rules are in
//!    [`routing::discovery_backoff`].
//!
//! # Tasks and cancellation
//!
//! One task does all of this, for as long as the broker runs. Requests are futures within it: dropping one closes its
//! connection or returns it to the HTTP client, and changes nothing else. That happens at a time limit, when another
//! list request is answered first, and when discovery moves.

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
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::warn;

/// Keeps its connections. A response without a length ends with its connection, but not with a reset.
type HttpClient = legacy::Client<DiscoveryConnector, Empty<Bytes>>;

/// Watches the endpoint list whenever the engine asks for it, until a request fails, and reports each failure to the
/// engine. When the address of discovery changes, the old watch is dropped and the complete list is requested at the new
/// address at once.
pub async fn watch_endpoints(
    engine: Rc<Engine>,
    limits: DiscoveryLimits,
    mut discovery: watch::Receiver<SocketAddr>,
) {
    let client = legacy::Client::builder(TokioExecutor::new()).build(DiscoveryConnector);
    let watcher = EndpointWatcher { engine, limits, client };
    loop {
        tokio::select! {
            () = watcher.engine.watch_requested.notified() => {}
            Ok(()) = discovery.changed() => {}
        }
        watcher.watch_until_failure(&mut discovery).await;
    }
}

/// What one watch needs.
struct EndpointWatcher {
    engine: Rc<Engine>,
    limits: DiscoveryLimits,
    client: HttpClient,
}

impl EndpointWatcher {
    /// Watches until a request fails; where discovery is a local agent, for ever.
    async fn watch_until_failure(&self, discovery: &mut watch::Receiver<SocketAddr>) {
        loop {
            let address = *discovery.borrow_and_update();
            // The interval also holds where a watch fails right after its list came, and where reloads follow each
            // other quickly: else each of them would cost discovery a complete list.
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

    /// Reports a failure to the routing decisions, which ask for the list again after their backoff.
    fn report_failure(&self) {
        // A request that was notified before this failure asked for this watch, and must not start the next one.
        let _ = self.engine.watch_requested.notified().now_or_never();
        self.engine.endpoint_list_failed();
    }

    /// Lists all nodes, then waits for changes, until a request fails.
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
            let url = format!("{list_url}?after={revision}&wait_ms={wait_ms}");
            list = self.request(&url, self.limits.watch_wait + self.limits.watch_slack).await?;
        }
    }

    /// Requests the complete list until one of the requests that still wait is answered.
    async fn request_list(&self, url: &str) -> Result<NodeList, DiscoveryError> {
        let mut requests = ListRequests::default();
        loop {
            let is_patient = !requests.has_patient();
            let time_limit =
                if is_patient { self.limits.long_list_timeout } else { self.limits.list_timeout };
            requests.push(self.request(url, time_limit), is_patient);
            let answered = match self.limits.retry_schedule() {
                RetrySchedule::FixedInterval(interval) => timeout(interval, requests.answered()).await.ok(),
                RetrySchedule::RoutingBackoff { silence_timeout } => {
                    self.list_before_backoff(&mut requests, silence_timeout).await
                }
            };
            if let Some(list) = answered {
                return Ok(list);
            }
        }
    }

    /// Waits for a list until the routing decisions ask for the next request. The failure is reported to them as soon as
    /// the newest request fails, or has been silent for `silence_timeout`.
    async fn list_before_backoff(
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

    /// One request, abandoned after `time_limit`.
    async fn request(&self, url: &str, time_limit: Duration) -> Result<NodeList, DiscoveryError> {
        timeout(time_limit, self.fetch(url)).await.map_err(|_| DiscoveryError::TimedOut)?
    }

    /// Sends one request and reads the list in its response.
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
