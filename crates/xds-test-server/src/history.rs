//! Published versions, and the requests received from brokers.

use crate::fault_plan::FaultPlan;
use config_rollout_client::wire::Version;
use envoy_types::pb::envoy::service::discovery::v3::DiscoveryRequest;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::watch;

/// Maximum number of requests that are recorded; the oldest are dropped first.
const MAX_RECORDED_REQUESTS: usize = 100_000;

/// A request from a broker: the first one on a stream, an acknowledgement, or a rejection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRequest {
    /// The name of the broker, which is its xDS node id.
    pub node: String,
    /// The number of the version that the broker reports as running, or empty for its own file.
    pub version: String,
    /// The nonce of the response that the request answers, or empty in the first request.
    pub nonce: String,
    /// The reason for the rejection, or `None` if the request rejects no response.
    pub rejection: Option<String>,
}

/// Published versions by number, requests of the brokers, and counters.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) versions: BTreeMap<u64, Version>,
    pub(crate) requests: Vec<RecordedRequest>,
    pub(crate) streams: u64,
    last_nonce: u64,
}

impl History {
    /// Counts a new stream and returns its number, which begins at 1.
    pub(crate) fn add_stream(&mut self) -> u64 {
        self.streams += 1;
        self.streams
    }

    pub(crate) fn next_nonce(&mut self) -> String {
        self.last_nonce += 1;
        self.last_nonce.to_string()
    }

    pub(crate) fn record(&mut self, node: &str, request: &DiscoveryRequest) {
        self.requests.push(RecordedRequest {
            node: node.to_owned(),
            version: request.version_info.clone(),
            nonce: request.response_nonce.clone(),
            rejection: request.error_detail.as_ref().map(|status| status.message.clone()),
        });
        if self.requests.len() > MAX_RECORDED_REQUESTS {
            self.requests.remove(0);
        }
    }
}

/// State shared by the server and its streams.
pub(crate) struct SharedState {
    pub(crate) faults: FaultPlan,
    history: Mutex<History>,
    /// The number of the version published last, which the streams watch for changes.
    pub(crate) newest: watch::Sender<u64>,
    /// The number of times that all streams were dropped.
    pub(crate) drops: watch::Sender<u64>,
}

impl SharedState {
    pub(crate) fn new(faults: FaultPlan) -> SharedState {
        SharedState {
            faults,
            history: Mutex::default(),
            newest: watch::channel(0).0,
            drops: watch::channel(0).0,
        }
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
