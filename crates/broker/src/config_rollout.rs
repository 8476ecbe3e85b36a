//! Configuration versions from a configuration service, brought to the engine.
//!
//! The streams, the checks and the state file are on a thread of their own (`config_rollout_client::run`). It sends
//! [`EngineRequest`]s over a channel; a task on the broker's thread carries them out one at a time, so a version is
//! applied in one step between two turns. When either side is gone, the other's requests or replies are dropped: the
//! broker serves on under its last configuration.

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

/// The name of the thread that carries the rollout out.
const THREAD_NAME: &str = "control";

/// What a broker's rollout starts from, prepared before the broker serves.
pub struct PreparedRollout {
    client_config: ClientConfig,
    restored: RestoredState,
    /// The configuration that the broker starts with, adapted to sockets.
    start_config: BrokerConfig,
    status_listener: Option<TcpListener>,
}

/// The broker's own settings can't be what versions are compared with.
#[derive(Debug, Error)]
enum OwnSettingsError {
    /// They are not JSON, or too long.
    #[error("settings: {0}")]
    Unreadable(#[source] settings::DocumentError),
    /// A check finds a mistake; the first one.
    #[error("settings: {0}")]
    Invalid(ValidationError),
}

impl From<OwnSettingsError> for io::Error {
    fn from(error: OwnSettingsError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidInput, error)
    }
}

/// Restores the stored version, if there is one, so that the broker serves under it from its first query on.
///
/// # Errors
///
/// The broker's own settings have a mistake, or the status service's address can't be listened on.
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
        warn!(reason, "persisted version not used, starting with own file");
    }
    let version = restored.running.version;
    if version.number > 0 {
        info!(number = version.number, digest = %version.digest, "persisted version restored");
        let restored_settings = restored.running.broker_settings.clone();
        let own = std::mem::replace(&mut startup.broker_settings, restored_settings);
        keep_socket_waits(&mut startup.broker_settings.broker_config, &own.broker_config);
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

/// Reads the broker's own settings, which must be free of mistakes: versions are compared with them.
fn read_own_settings(text: &[u8], max_bytes: usize) -> Result<Document, OwnSettingsError> {
    let document = Document::parse(text, max_bytes).map_err(OwnSettingsError::Unreadable)?;
    match check(&document).into_iter().next() {
        Some(mistake) => Err(OwnSettingsError::Invalid(mistake)),
        None => Ok(document),
    }
}

impl PreparedRollout {
    /// Starts the rollout's thread; returns the address of the status service, if it is switched on.
    ///
    /// # Errors
    ///
    /// The system refuses the thread or its runtime.
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

/// The status service's listener for the rollout's runtime; without it there is no status service.
fn into_async(listener: TcpListener) -> Option<tokio::net::TcpListener> {
    let ready = listener.set_nonblocking(true).and_then(|()| tokio::net::TcpListener::from_std(listener));
    ready.inspect_err(|error| warn!(reason = %error, "no status service")).ok()
}

/// What the rollout's thread asks of the broker's.
enum EngineRequest {
    /// Accept queries under this version from now on.
    Apply { version: VersionId, broker_settings: Box<BrokerSettings>, done: oneshot::Sender<()> },
    /// The contents in force have another version number.
    Renumber { version: VersionId, done: oneshot::Sender<()> },
    /// Say how queries have ended under the present configuration.
    CountOutcomes { reply: oneshot::Sender<Sample> },
}

/// The engine, as seen from the rollout's thread.
struct EngineHandle {
    requests: mpsc::Sender<EngineRequest>,
}

impl EngineHandle {
    /// Sends a request and waits for its reply; `None`: the engine is gone.
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

/// Keeps the values that were adapted to sockets at the start: a version's document has only those of the settings.
fn keep_socket_waits(config: &mut BrokerConfig, start_config: &BrokerConfig) {
    config.send_lag = start_config.send_lag;
    config.watch_on_request = start_config.watch_on_request;
    config.rules.endpoint_list_max_age = start_config.rules.endpoint_list_max_age;
}

/// The task that carries out the rollout's requests. The published version changes in the same step as the engine's
/// configuration, so the status never shows one without the other.
async fn serve_requests(
    engine: Rc<Engine>,
    start_config: BrokerConfig,
    mut requests: mpsc::Receiver<EngineRequest>,
    status: Arc<PublishedStatus>,
) {
    while let Some(request) = requests.recv().await {
        // A reply can't be sent where the rollout's thread is gone.
        match request {
            EngineRequest::Apply { version, mut broker_settings, done } => {
                let config = &mut broker_settings.broker_config;
                keep_socket_waits(config, &start_config);
                // Zones have the ids of the start here, whatever order a version lists them in.
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

/// How queries have ended under the present configuration. Only its own counts are in a sample, so a version is not
/// judged by queries that its predecessor accepted.
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
