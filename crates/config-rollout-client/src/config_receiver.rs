//! Interface through which the client applies configurations to the broker.

use config_rollout::{Sample, VersionId};
use settings::BrokerSettings;
use std::future::Future;

/// Applies configurations to a broker, which runs on another thread.
pub trait ConfigReceiver {
    /// Applies these settings. The future completes once the broker accepts queries under them.
    fn apply(&mut self, version: VersionId, broker_settings: BrokerSettings) -> impl Future<Output = ()>;
    /// Gives the running contents another number. The future completes once the number is published.
    fn renumber(&mut self, version: VersionId) -> impl Future<Output = ()>;
    /// Returns the outcomes of queries accepted under the running configuration since it was applied, or `None` if
    /// the broker has stopped.
    fn count_outcomes(&mut self) -> impl Future<Output = Option<Sample>>;
}
