//! A broker on real sockets: clients and discovery by HTTP, nodes by frames.
//!
//! ```no_run
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let order = broker::StartupConfig::from_env()?;
//! let running = broker::start(order).await?; // within a single-threaded `actix_rt` runtime
//! println!("serving on {}", running.listens);
//! running.leave().await;
//! # Ok(()) }
//! ```
//!
//! A front of another kind takes the engine's place of `front` and `query`: it makes a
//! [`desk::QueryRequest`], hands it to [`desk::Engine::take`] and waits for the [`desk::QueryOutcome`].

mod command;
#[cfg_attr(not(feature = "config-rollout"), path = "config_rollout_disabled.rs")]
mod config_rollout;
pub mod desk;
pub mod edition;
pub mod frame;
pub mod front;
mod leave;
pub mod limits;
pub mod listing;
pub mod nodes;
mod reload;
pub mod retrieval;
pub mod roll;
mod start;

pub use leave::word;
pub use operator_config::{Control, Fitting, LogForm};
pub use start::{ConfigSource, StartupConfig};

use desk::Engine;
use front::HttpServer;
use limits::Limits;
use retrieval::{QueryHandler, RejectedRequests};
use routing::EndpointListKind;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tracing::{error, info, warn};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt;
use tracing_subscriber::prelude::*;

/// A broker that serves.
pub struct Running {
    pub listens: SocketAddr,
    pub engine: Rc<Engine>,
    /// Where discovery is; it may move while the broker runs.
    pub discovery: watch::Sender<SocketAddr>,
    /// Where it tells what it runs.
    pub status: Option<SocketAddr>,
    front: Rc<HttpServer>,
    limits: Rc<Limits>,
}

/// Starts a broker on the current thread, within an `actix_rt` runtime.
pub async fn start(order: StartupConfig) -> io::Result<Running> {
    start_fitted(order, Fitting::default()).await
}

/// The same, fitted to an installation.
pub async fn start_fitted(mut order: StartupConfig, fitting: Fitting) -> io::Result<Running> {
    let follower = match fitting.control {
        Some(control) => Some(config_rollout::prepare(&mut order, control)?),
        None => None,
    };
    let listener = TcpListener::bind(order.listen).await?;
    let listens = listener.local_addr()?;
    let limits = Rc::new(order.limits);
    if order.broker_settings.broker_config.classes.values().any(|class| class.second_parts > 0) {
        warn!("a category has a second step, which this protocol lacks: its retrievals are declined");
    }
    let engine =
        Engine::new(order.broker_settings, order.seed, limits.clone(), order.since, fitting.admission);
    // Guards against drains that an agent has and that count as told from the first moment: it is heard before
    // anything is sent, and what was known before is not used.
    if let Some(known) = order.known.filter(|_| !limits.agent) {
        engine.hear_roll(EndpointListKind::Cached, known);
    }
    let counter =
        QueryHandler { engine: engine.clone(), limits: limits.clone(), wrongs: RejectedRequests::default() };
    let front = HttpServer::new(counter);
    actix_rt::spawn(engine.clone().run());
    let (discovery, place) = watch::channel(order.discovery);
    actix_rt::spawn(roll::follow(engine.clone(), limits.clone(), place));
    let status = follower.map(|follower| follower.begin(engine.clone())).transpose()?.flatten();
    actix_rt::spawn(front.clone().run(listener));
    info!("{} serves on {listens}", order.name);
    Ok(Running { listens, engine, discovery, status, front, limits })
}

/// The program: bare, it starts as the environment says and serves until told to leave; with arguments, as
/// the command line says.
pub fn run() -> ExitCode {
    match std::env::args_os().len() {
        0 | 1 => serve(&ConfigSource::default(), Fitting::default()),
        _ => command::run(),
    }
}

/// Serves until told to leave.
fn serve(source: &ConfigSource, fitting: Fitting) -> ExitCode {
    log_to_standard_error(fitting.log);
    let served = actix_rt::Runtime::new().map_err(|e| e.to_string()).and_then(|runtime| {
        runtime.block_on(async {
            // Listened for before anything else: without that, either signal ends the process.
            let mut leave = word().map_err(|e| e.to_string())?;
            let anew = reload::word().map_err(|e| e.to_string())?;
            let order = StartupConfig::from(source)?;
            let running = start_fitted(order, fitting).await.map_err(|e| e.to_string())?;
            actix_rt::spawn(reload::follow(anew, source.clone(), running.discovery.clone()));
            leave.recv().await;
            running.leave().await;
            Ok(())
        })
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            error!("can't serve: {why}");
            ExitCode::FAILURE
        }
    }
}

fn log_to_standard_error(form: LogForm) {
    // The HTTP server would write a line for each bad request; the front sums them up.
    let told = Targets::new().with_default(LevelFilter::INFO).with_target("actix_http", LevelFilter::OFF);
    let lines = fmt::layer().with_ansi(false).with_writer(io::stderr).with_target(false);
    match form {
        LogForm::Text => tracing_subscriber::registry().with(lines.with_filter(told)).init(),
        LogForm::Json => {
            let lines = lines.json().flatten_event(true).with_current_span(false).with_span_list(false);
            tracing_subscriber::registry().with(lines.with_filter(told)).init();
        }
    }
}
