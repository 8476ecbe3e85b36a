//! What a broker publishes of itself, readable from any thread.

use crate::client_config::ClientConfig;
use crate::clock::unix_now;
use arc_swap::ArcSwap;
use config_rollout::{PersistedState, Report, RolloutController, VersionId};
use std::sync::Arc;

/// What the broker runs, and what the controller reports beside that.
#[derive(Debug)]
pub struct PublishedStatus {
    /// The broker's name.
    pub name: String,
    /// Its installation.
    pub installation: String,
    /// Set in the same step in which the broker applies a configuration.
    pub running: ArcSwap<VersionId>,
    /// The controller's last report.
    pub report: ArcSwap<Report>,
}

impl PublishedStatus {
    /// The status of a broker that starts with this version.
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
