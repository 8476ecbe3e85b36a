//! What the client needs of the broker.

use config_rollout::{Sample, VersionId};
use settings::BrokerSettings;
use std::future::Future;

/// Applies configurations: the broker, on its own thread.
pub trait ConfigReceiver {
    /// Accepts queries under these settings from now on; completes when that is so.
    fn apply(&mut self, version: VersionId, broker_settings: BrokerSettings) -> impl Future<Output = ()>;
    /// The running contents have another number from now on; completes when that is published.
    fn renumber(&mut self, version: VersionId) -> impl Future<Output = ()>;
    /// How queries accepted under the running configuration ended since it was applied. `None`: the broker is
    /// gone.
    fn count_outcomes(&mut self) -> impl Future<Output = Option<Sample>>;
}
