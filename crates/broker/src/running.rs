//! Starting a broker, and what is known of one that serves.
//!
//! Everything runs on the thread that starts it. Spawned tasks: the engine's event loop, discovery, the HTTP server's
//! listener, one for each connection, and the rollout's requests where versions are switched on. None of them ends before the
//! process does, apart from connections, and the listener at the shutdown.

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

/// A broker that serves.
pub struct RunningBroker {
    /// Where clients reach it.
    pub listen_address: SocketAddr,
    /// Its engine, with the routing decisions.
    pub engine: Rc<Engine>,
    /// Where discovery is; it may move while the broker runs.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// Where its status is served, if that is switched on.
    pub status_address: Option<SocketAddr>,
    pub(crate) http_server: Rc<HttpServer>,
}

/// Starts a broker on the current thread, within an `actix_rt` runtime, without optional features.
///
/// # Errors
///
/// As [`start_with_operator_config`].
pub async fn start(config: StartupConfig) -> io::Result<RunningBroker> {
    start_with_operator_config(config, OperatorConfig::default()).await
}

/// Starts a broker on the current thread, within an `actix_rt` runtime, with the features that the operator's file
/// switches on.
///
/// # Errors
///
/// An address can't be listened on, or a feature can't be started.
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
    // Where discovery is a local agent, the broker counts as notified of every drain that the agent knows, from its
    // start on. The cached list may miss one, so nothing is sent by it: the broker waits for the agent's list. The cost
    // is that `/_health` is 503 until then.
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

/// Warns of request classes whose queries the protocol can't carry.
fn warn_of_unsupported_second_phases(broker_settings: &BrokerSettings) {
    if broker_settings.broker_config.classes.values().any(|class| class.second_phase_shard_requests > 0) {
        warn!(
            "a request class has a second phase, which the protocol does not support: its queries are rejected"
        );
    }
}
