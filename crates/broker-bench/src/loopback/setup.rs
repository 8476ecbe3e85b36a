//! Starts the parties of a run: discovery, stopped nodes and brokers.

use crate::invariants::InvariantChecker;
use crate::loopback::LoopbackError;
use crate::loopback::clients::Clients;
use crate::loopback::nodes::{Nodes, Publications};
use crate::loopback::state::{HttpClass, LoopbackRun, UNIX_START};
use crate::run_results::RunResults;
use crate::simulation::SimulationConfig;
use crate::simulation::deployment;
use crate::simulation::settings_text::settings_text;
use broker::{RunningBroker, StartupConfig};
use cluster_trace::plan::{Plan, ReplayConfig};
use node_emulator::DiscoveryCatalog;
use routing::{TimeSpan, Timestamp};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{spawn_local, yield_now};

/// The maximum delay between an event and its observation in a run on real sockets.
const INVARIANT_SLACK: TimeSpan = TimeSpan(500);
/// Resource limits of each broker: large enough for any run, so that no connection is closed for lack of room.
const BROKER_CORES: f64 = 1.0;
const BROKER_MEMORY_MB: u32 = 2048;
const BROKER_SOCKETS: u32 = 16_384;

impl LoopbackRun {
    /// Starts the parties and waits until every broker watches the endpoint list. The time of the run is then 0.
    pub(super) async fn start(
        settle_timeout: Duration,
        plan: Plan,
        replay: &ReplayConfig,
        config: SimulationConfig,
    ) -> Result<LoopbackRun, LoopbackError> {
        let catalog = DiscoveryCatalog::start().await?;
        let nodes = Nodes::reserve(replay.nodes, &config)?;
        let brokers = start_brokers(replay, &config, catalog.address).await?;
        let last_entry_at = Timestamp(plan.entries.last().map_or(0, |entry| entry.at) as i64);
        let invariant_limits = deployment::invariant_limits(replay, INVARIANT_SLACK);
        let mut run = LoopbackRun {
            settle_timeout,
            now: Timestamp(0),
            last_entry_at,
            plan: plan.entries.into(),
            classes: replay.classes.iter().map(HttpClass::of).collect(),
            has_quotas: replay.quota_per_s.is_some(),
            publications: Publications::all_removed(replay.nodes as usize),
            catalog,
            nodes,
            clients: Clients::new(brokers.len()),
            queries: Vec::new(),
            hasher: blake3::Hasher::new(),
            invariants: InvariantChecker::new(invariant_limits, brokers.len()),
            brokers,
            results: RunResults::new(deployment::class_objectives(replay), replay.tenant_weights.len()),
            config,
        };
        keep_runtime_busy();
        run.settle().await?;
        Ok(run)
    }
}

/// Spawns a task that is always runnable. With a paused clock, a runtime that only waits for sockets would advance
/// the clock to the next timer by itself, and time-outs would fire at once. The task costs one core.
fn keep_runtime_busy() {
    spawn_local(async {
        loop {
            yield_now().await;
        }
    });
}

async fn start_brokers(
    replay: &ReplayConfig,
    config: &SimulationConfig,
    discovery: SocketAddr,
) -> Result<Vec<RunningBroker>, LoopbackError> {
    let mut brokers = Vec::new();
    for number in 0..config.brokers {
        let startup_config = startup_config(number, replay, config, discovery)?;
        brokers.push(broker::start(startup_config).await?);
    }
    Ok(brokers)
}

fn startup_config(
    number: u32,
    replay: &ReplayConfig,
    config: &SimulationConfig,
    discovery: SocketAddr,
) -> Result<StartupConfig, LoopbackError> {
    let seed = config.seed ^ u64::from(number).rotate_left(32);
    let text = json!({
        "name": format!("b{number}"),
        "listen": "127.0.0.1:0",
        "discovery": discovery.to_string(),
        "seed": format!("{seed:x}"),
        "limits": {"cores": BROKER_CORES, "memory_mb": BROKER_MEMORY_MB, "sockets": BROKER_SOCKETS},
        "settings": settings_text(replay, config),
    });
    let no_environment = |_: &str| None;
    let mut startup_config =
        StartupConfig::read(text.to_string().as_bytes(), no_environment).map_err(LoopbackError::Settings)?;
    startup_config.clock_start = Some(UNIX_START);
    Ok(startup_config)
}
