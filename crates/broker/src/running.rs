//! Startup of a broker, and the handle of a running one.
//!
//! Everything runs on the thread that starts the broker. The spawned tasks are the engine's event loop, discovery,
//! the HTTP server's listener, one for each connection, and the rollout's requests if rollouts are enabled. None of
//! them ends before the process does, except those of connections, and the listener at shutdown.

use crate::engine::Engine;
use crate::http_server::HttpServer;
use crate::query_handler::{QueryHandler, RejectedRequests};
use crate::startup::StartupConfig;
use crate::{config_rollout, discovery};
use operator_config::OperatorConfig;
use routing::EndpointListKind;
use routing::discovery_backoff::DiscoveryKind;
use settings::BrokerSettings;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tracing::{info, warn};

/// A handle to a running broker.
pub struct RunningBroker {
    /// The address on which the broker accepts clients.
    pub listen_address: SocketAddr,
    /// The engine, which owns the routing logic.
    pub engine: Rc<Engine>,
    /// The address of discovery. Sending a new one moves the watch to it while the broker runs.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// The address on which the rollout status is served, or `None` if it is not served.
    pub status_address: Option<SocketAddr>,
    pub(crate) http_server: Rc<HttpServer>,
}

/// Starts a broker with no optional features on the current thread, which must run an `actix_rt` runtime.
///
/// # Errors
///
/// Returns the same errors as [`start_with_operator_config`].
pub async fn start(config: StartupConfig) -> io::Result<RunningBroker> {
    start_with_operator_config(config, OperatorConfig::default()).await
}

/// Starts a broker on the current thread, which must run an `actix_rt` runtime, with the features that the operator's
/// configuration enables.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a feature cannot be started.
pub async fn start_with_operator_config(
    mut config: StartupConfig,
    operator: OperatorConfig,
) -> io::Result<RunningBroker> {
    let rollout = match operator.rollout {
        Some(control) => Some(config_rollout::prepare(&mut config, control)?),
        None => None,
    };
    let listener = TcpListener::bind(config.listen).await?;
    let listen_address = listener.local_addr()?;
    let limits = Rc::new(config.limits);
    warn_of_unsupported_second_phases(&config.broker_settings);
    let engine = Engine::new(
        config.broker_settings,
        config.seed,
        limits.clone(),
        config.clock_start,
        operator.admission,
    );
    // A local discovery agent counts the broker as notified of every drain that it knows of as soon as the broker
    // starts. The cached list may lack a drain, so it is not used: the broker waits for the agent's list. The cost is
    // that `/_health` returns 503 until then.
    if let Some(known) = config.cached_endpoints.filter(|_| limits.discovery.kind == DiscoveryKind::Shared) {
        engine.update_endpoints(EndpointListKind::Cached, known);
    }
    let query_handler = QueryHandler {
        engine: engine.clone(),
        limits: limits.clone(),
        rejected_requests: RejectedRequests::default(),
    };
    let http_server = HttpServer::new(query_handler);
    actix_rt::spawn(engine.clone().run());
    let (discovery_address, discovery_changes) = watch::channel(config.discovery);
    actix_rt::spawn(discovery::watch_endpoints(engine.clone(), limits.discovery.clone(), discovery_changes));
    let status_address = rollout.map(|rollout| rollout.start(engine.clone())).transpose()?.flatten();
    actix_rt::spawn(http_server.clone().run(listener));
    info!(broker = %config.name, listen_address = %listen_address, "serving");
    Ok(RunningBroker { listen_address, engine, discovery_address, status_address, http_server })
}

/// Logs a warning if any request class has a second phase, which the protocol does not support.
fn warn_of_unsupported_second_phases(broker_settings: &BrokerSettings) {
    if broker_settings.broker_config.classes.values().any(|class| class.second_phase_shard_requests > 0) {
        warn!(
            "a request class is configured with a second phase of shard requests, which the protocol does not support: its queries are rejected"
        );
    }
}
