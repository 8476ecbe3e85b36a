//! Asks discovery for the endpoint list and watches its changes.

mod connector;
mod error;
mod list_requests;

use crate::endpoint_list::NodeList;
use crate::engine::Engine;
use crate::limits::Limits;
use bytes::Bytes;
use connector::DiscoveryConnector;
use error::DiscoveryError;
use futures_util::FutureExt;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use list_requests::ListRequests;
use routing::EndpointListKind;
use routing::discovery_backoff::{self, RetrySchedule};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::warn;

/// Keeps its connections; reads a response without a length up to its end, and takes no reset for one.
type HttpClient = legacy::Client<DiscoveryConnector, Empty<Bytes>>;

/// Each time that the engine asks for it, watches the endpoint list until a request fails, and says so. Where
/// discovery has moved, the old watch is dropped and the new address is asked for all nodes at once. An agent
/// on this machine is asked until it answers: guards against drains that it has, and that count as notified,
/// while the broker waits longer after each failure, as it must where discovery is shared.
pub async fn watch_endpoints(
    engine: Rc<Engine>,
    limits: Rc<Limits>,
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

struct EndpointWatcher {
    engine: Rc<Engine>,
    limits: Rc<Limits>,
    client: HttpClient,
}

impl EndpointWatcher {
    /// Watches until a request fails; where discovery is a local agent, for ever.
    async fn watch_until_failure(&self, discovery: &mut watch::Receiver<SocketAddr>) {
        loop {
            let address = *discovery.borrow_and_update();
            // Guards against an agent that lists and breaks off at once, again and again.
            let retry_at = Instant::now() + self.limits.list_retry_interval;
            tokio::select! {
                Err(error) = self.watch(address) => {
                    warn!(%error, "endpoint list is not watched, the last one stays in use");
                    self.report_failure();
                    match self.retry_schedule() {
                        RetrySchedule::RoutingBackoff { .. } => return,
                        RetrySchedule::FixedInterval(_) => sleep_until(retry_at).await,
                    }
                }
                // Guards against configurations in quick succession, of which each would ask for the list.
                Ok(()) = discovery.changed() => sleep_until(retry_at).await,
            }
        }
    }

    fn retry_schedule(&self) -> RetrySchedule {
        let Limits { discovery_kind, list_retry_interval, list_timeout, .. } = *self.limits;
        discovery_backoff::retry_schedule(discovery_kind, list_retry_interval, list_timeout)
    }

    fn report_failure(&self) {
        // What was asked for before this failure was this watch; from now on the engine says when.
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
                if is_patient { self.limits.patient_list_timeout } else { self.limits.list_timeout };
            requests.push(self.request(url, time_limit), is_patient);
            let answered = match self.retry_schedule() {
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

    /// Waits for a list until the routing decisions ask for the next request. They are told of the failure as soon as
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
