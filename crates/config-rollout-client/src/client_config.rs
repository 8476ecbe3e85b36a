//! Configuration of the rollout client of one broker.

use config_rollout::RolloutPolicy;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Settings of the rollout client: the services to subscribe to, and the limits that apply.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// The name of the broker, which is sent as the xDS node id.
    pub name: String,
    /// The installation whose versions the broker subscribes to.
    pub installation: String,
    /// The addresses of the configuration services.
    pub services: Vec<SocketAddr>,
    /// Timeouts, budgets and thresholds of the rollout.
    pub policy: RolloutPolicy,
    /// The maximum size of a document in bytes.
    pub max_document_bytes: usize,
    /// The path of the state file, or `None` if no state is persisted.
    pub state_file: Option<PathBuf>,
    /// The interval at which the outcomes of queries are counted.
    pub count_interval: Duration,
    /// The seed for random waits and for the choice of the first service.
    pub seed: u64,
}
