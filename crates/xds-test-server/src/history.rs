//! The versions that the service has, and what brokers sent.

use crate::fault_plan::FaultPlan;
use config_rollout_client::wire::Version;
use envoy_types::pb::envoy::service::discovery::v3::DiscoveryRequest;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::watch;

/// How many requests are recorded: the newest.
const MAX_RECORDED_REQUESTS: usize = 100_000;

/// A request of a broker: its first, an acknowledgement, or a rejection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRequest {
    /// The broker's name.
    pub node: String,
    /// The version that it reports to run; empty for its own file.
    pub version: String,
    /// The nonce of the response that it answers; empty in the first request.
    pub nonce: String,
    /// Why it rejected that response, if it did.
    pub rejection: Option<String>,
}

/// The versions by number, the brokers' requests, and counters.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) versions: BTreeMap<u64, Version>,
    pub(crate) requests: Vec<RecordedRequest>,
    pub(crate) streams: u64,
    last_nonce: u64,
}

impl History {
    /// Counts a new stream, and returns its number.
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

/// What the server and its streams share.
pub(crate) struct Shared {
    pub(crate) faults: FaultPlan,
    history: Mutex<History>,
    /// The newest number; each publication is notified.
    pub(crate) newest: watch::Sender<u64>,
    /// How often all streams were dropped.
    pub(crate) drops: watch::Sender<u64>,
}

impl Shared {
    pub(crate) fn new(faults: FaultPlan) -> Shared {
        Shared { faults, history: Mutex::default(), newest: watch::channel(0).0, drops: watch::channel(0).0 }
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
