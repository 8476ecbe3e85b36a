//! Status of a broker that can be read from any thread.

use crate::client_config::ClientConfig;
use crate::clock::unix_now;
use arc_swap::ArcSwap;
use config_rollout::{PersistedState, Report, RolloutController, VersionId};
use std::sync::Arc;

/// The running version and the last report of the controller, shared with the status service.
#[derive(Debug)]
pub struct PublishedStatus {
    /// The name of the broker, which is its xDS node id.
    pub name: String,
    /// The installation to which the broker belongs.
    pub installation: String,
    /// The running version, which is updated at the moment when the broker applies a configuration.
    pub running: ArcSwap<VersionId>,
    /// The last report of the controller.
    pub report: ArcSwap<Report>,
}

impl PublishedStatus {
    /// Creates the status of a broker that starts with this version.
    pub fn new(config: &ClientConfig, running: VersionId) -> Arc<PublishedStatus> {
        let controller = RolloutController::new(
            config.policy.clone(),
            config.services.len(),
            PersistedState::of(running),
            config.seed,
            unix_now(),
        );
        Arc::new(PublishedStatus {
            name: config.name.clone(),
            installation: config.installation.clone(),
            running: ArcSwap::from_pointee(running),
            report: ArcSwap::from_pointee(controller.report()),
        })
    }
}
