//! How one broker follows its configuration services.

use config_rollout::RolloutPolicy;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Which services a broker subscribes to, and how.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// The broker's name, its xDS node id.
    pub name: String,
    /// The installation whose versions it subscribes to.
    pub installation: String,
    /// The addresses of the services.
    pub services: Vec<SocketAddr>,
    /// Times, budgets and bounds of the rollout.
    pub policy: RolloutPolicy,
    /// The most bytes of a document.
    pub max_document_bytes: usize,
    /// Where the confirmed version is stored; `None`: nowhere.
    pub state_file: Option<PathBuf>,
    /// How often the outcomes of queries are counted.
    pub count_interval: Duration,
    /// The seed of waits and of the choice of the first service.
    pub seed: u64,
}
