//! Application of configuration versions from a configuration service to the engine.
//!
//! A separate thread (`config_rollout_client::run`) receives and validates versions and writes the state file. It
//! sends [`EngineRequest`]s over a channel to a task on the broker's thread. The task executes them one at a time, so
//! a version is applied atomically between two turns. If one side ends, the requests or replies of the other are
//! dropped, and the broker continues with its last configuration.

mod status_command;

use crate::StartupConfig;
use crate::config_epoch::{ConfigEpoch, EpochCounts};
use crate::engine::Engine;
use ::config_rollout::{Sample, VersionId};
use config_rollout_client::{
    ClientConfig, ConfigReceiver, PublishedStatus, RestoredState, restore, run, serve_status,
};
use operator_config::RolloutConfig;
use routing::BrokerConfig;
use settings::{BrokerSettings, Document, ValidationError, check};
pub use status_command::status;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

/// The name of the thread on which the rollout runs.
const THREAD_NAME: &str = "control";

/// A rollout that was prepared before the broker serves and has not been started.
pub struct PreparedRollout {
    client_config: ClientConfig,
    restored: RestoredState,
    /// The configuration that the broker starts with, including the values adapted to its connections.
    start_config: BrokerConfig,
    status_listener: Option<TcpListener>,
}

/// An error in the broker's own settings, with which every version is compared.
#[derive(Debug, Error)]
enum OwnSettingsError {
    /// The settings are not JSON or too long.
    #[error("failed to read `settings` in the config file: {0}")]
    Unreadable(#[source] settings::DocumentError),
    /// The settings have a mistake. This is the first one.
    #[error("invalid `settings` in the config file: {0}")]
    Invalid(ValidationError),
}

impl From<OwnSettingsError> for io::Error {
    fn from(error: OwnSettingsError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidInput, error)
    }
}

/// Restores the stored version, if there is one, into `startup`, so that it applies from the first query on.
///
/// # Errors
///
/// Returns an error if the broker's own settings have a mistake or the address of the status service can't be bound.
pub fn prepare(startup: &mut StartupConfig, control: RolloutConfig) -> io::Result<PreparedRollout> {
    let own_document = read_own_settings(startup.settings.as_bytes(), control.max_document_bytes)?;
    let RolloutConfig { installation, max_document_bytes, state_file, .. } = &control;
    let restored = restore(
        own_document,
        &startup.broker_settings,
        state_file.as_deref(),
        installation,
        *max_document_bytes,
    );
    if let Some(file) = &restored.unused_file {
        let reason = file.to_string();
        warn!(reason, "persisted version not used, starting with the settings of the config file");
    }
    let version = restored.running.version;
    if version.number > 0 {
        info!(number = version.number, digest = %version.digest, "persisted version restored");
        let restored_settings = restored.running.broker_settings.clone();
        let own = std::mem::replace(&mut startup.broker_settings, restored_settings);
        keep_transport_overrides(&mut startup.broker_settings.broker_config, &own.broker_config);
    }
    let status_listener = control.status_address.map(TcpListener::bind).transpose()?;
    let client_config = ClientConfig {
        name: startup.name.clone(),
        installation: control.installation,
        services: control.services,
        policy: control.policy,
        max_document_bytes: control.max_document_bytes,
        state_file: control.state_file,
        count_interval: control.sample_interval,
        seed: startup.seed,
    };
    let start_config = startup.broker_settings.broker_config.clone();
    Ok(PreparedRollout { client_config, restored, start_config, status_listener })
}

/// Reads the broker's own settings. They must not have any mistakes, because versions are compared with them.
fn read_own_settings(text: &[u8], max_bytes: usize) -> Result<Document, OwnSettingsError> {
    let document = Document::parse(text, max_bytes).map_err(OwnSettingsError::Unreadable)?;
    match check(&document).into_iter().next() {
        Some(mistake) => Err(OwnSettingsError::Invalid(mistake)),
        None => Ok(document),
    }
}

impl PreparedRollout {
    /// Starts the rollout thread. Returns the address of the status service, or `None` if it is disabled.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its runtime can't be created.
    pub fn start(self, engine: Rc<Engine>) -> io::Result<Option<SocketAddr>> {
        let PreparedRollout { client_config, restored, start_config, status_listener } = self;
        let status_address = status_listener.as_ref().map(TcpListener::local_addr).transpose()?;
        let status = PublishedStatus::new(&client_config, restored.running.version);
        let (requests, received) = mpsc::channel(1);
        actix_rt::spawn(serve_requests(engine, start_config, received, status.clone()));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(move || {
            runtime.block_on(async move {
                if let Some(listener) = status_listener.and_then(into_async) {
                    tokio::spawn(serve_status(status.clone(), listener));
                }
                run(client_config, restored, EngineHandle { requests }, status).await;
            });
        })?;
        if let Some(address) = status_address {
            info!(address = %address, "status service");
        }
        Ok(status_address)
    }
}

/// Converts the listener of the status service for use in the rollout's runtime. If that fails, logs a warning and
/// returns `None`, and the broker runs without a status service.
fn into_async(listener: TcpListener) -> Option<tokio::net::TcpListener> {
    let ready = listener.set_nonblocking(true).and_then(|()| tokio::net::TcpListener::from_std(listener));
    ready.inspect_err(|error| warn!(reason = %error, "no status service")).ok()
}

/// A request from the rollout thread to the broker's thread.
enum EngineRequest {
    /// Accept further queries under this version.
    Apply { version: VersionId, broker_settings: Box<BrokerSettings>, done: oneshot::Sender<()> },
    /// Report the current contents under another version number.
    Renumber { version: VersionId, done: oneshot::Sender<()> },
    /// Count the outcomes of queries under the current configuration.
    CountOutcomes { reply: oneshot::Sender<Sample> },
}

/// A handle through which the rollout thread sends requests to the engine.
struct EngineHandle {
    requests: mpsc::Sender<EngineRequest>,
}

impl EngineHandle {
    /// Sends a request and waits for its reply. Returns `None` if the engine no longer exists.
    async fn request<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> EngineRequest) -> Option<T> {
        let (reply, replied) = oneshot::channel();
        self.requests.send(request(reply)).await.ok()?;
        replied.await.ok()
    }
}

impl ConfigReceiver for EngineHandle {
    async fn apply(&mut self, version: VersionId, broker_settings: BrokerSettings) {
        let broker_settings = Box::new(broker_settings);
        self.request(|done| EngineRequest::Apply { version, broker_settings, done }).await;
    }

    async fn renumber(&mut self, version: VersionId) {
        self.request(|done| EngineRequest::Renumber { version, done }).await;
    }

    async fn count_outcomes(&mut self) -> Option<Sample> {
        self.request(|reply| EngineRequest::CountOutcomes { reply }).await
    }
}

/// Copies the values that depend on the broker's connections from `start_config`. The document of a version contains
/// only the values of the settings.
fn keep_transport_overrides(config: &mut BrokerConfig, start_config: &BrokerConfig) {
    config.send_lag = start_config.send_lag;
    config.watch_on_request = start_config.watch_on_request;
    config.rules.endpoint_list_max_age = start_config.rules.endpoint_list_max_age;
}

/// Executes the requests of the rollout thread.
///
/// The published version and the configuration of the engine change without an await in between, so the status is
/// always consistent with the engine.
async fn serve_requests(
    engine: Rc<Engine>,
    start_config: BrokerConfig,
    mut requests: mpsc::Receiver<EngineRequest>,
    status: Arc<PublishedStatus>,
) {
    while let Some(request) = requests.recv().await {
        // Sending a reply fails if the rollout thread has ended.
        match request {
            EngineRequest::Apply { version, mut broker_settings, done } => {
                let config = &mut broker_settings.broker_config;
                keep_transport_overrides(config, &start_config);
                // Zone ids are assigned at startup, and a version may list the zones in a different order.
                config.zone = start_config.zone;
                engine.apply_config(ConfigEpoch::new(&broker_settings), broker_settings.broker_config);
                status.running.store(Arc::new(version));
                let _ = done.send(());
            }
            EngineRequest::Renumber { version, done } => {
                status.running.store(Arc::new(version));
                let _ = done.send(());
            }
            EngineRequest::CountOutcomes { reply } => _ = reply.send(count_outcomes(&engine)),
        }
    }
}

/// Returns the outcomes of queries accepted under the current configuration. Queries accepted under an earlier one
/// are not included, so that a version is not judged by them.
fn count_outcomes(engine: &Engine) -> Sample {
    let EpochCounts { ended, late, rejected, failed, not_accepted, with_lost_node } =
        engine.epoch().counts.get();
    Sample {
        ended,
        failed: late + rejected + failed + not_accepted,
        failed_on_nodes: with_lost_node,
        ready_nodes: engine.ready_nodes() as u64,
    }
}

#[cfg(test)]
mod tests;
