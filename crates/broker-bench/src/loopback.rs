//! Runs a plan on loopback sockets: unmodified brokers, node models behind scripted servers, discovery and clients,
//! all in one process and on one thread.
//!
//! Sockets and clocks are not deterministic. Two measures make a run reproducible all the same:
//!
//! - There is one clock, tokio's, and it is paused. It advances by a millisecond, and only when all parties are
//!   idle ([`quiescence`]). Idleness is not inferred from a wait: the counts of brokers, nodes, discovery and clients
//!   have to agree, and any message in flight makes them differ.
//! - Received messages are then handled one by one in a defined order, and the parties become idle after each.
//!
//! A busy machine makes a run slower but does not change its results. Past a timeout the run fails with
//! [`LoopbackError::SettleTimeout`].

mod clients;
mod error;
mod nodes;
mod quiescence;
mod setup;
mod state;

pub use error::{LoopbackError, PendingWork};

use crate::run_results::RunResults;
use crate::simulation::SimulationConfig;
use cluster_trace::plan::{Plan, ReplayConfig};
use routing::Timestamp;
use state::LoopbackRun;
use std::time::Duration;

/// Longest time that the parties may take to become idle, on the machine's clock, before the run fails.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a plan. `should_continue` is called once per second of the run with its time and the time of the last entry;
/// if it returns false, the run stops and its results are marked as partial.
///
/// # Errors
///
/// Returns an error if a socket fails, if a broker does not start, or if the parties do not become idle in time.
pub fn run(
    plan: Plan,
    replay: &ReplayConfig,
    config: SimulationConfig,
    should_continue: impl FnMut(Timestamp, Timestamp) -> bool,
) -> Result<RunResults, LoopbackError> {
    run_with_timeout(SETTLE_TIMEOUT, plan, replay, config, should_continue)
}

fn run_with_timeout(
    settle_timeout: Duration,
    plan: Plan,
    replay: &ReplayConfig,
    config: SimulationConfig,
    should_continue: impl FnMut(Timestamp, Timestamp) -> bool,
) -> Result<RunResults, LoopbackError> {
    // The clock is paused from the start: otherwise the fraction of a millisecond at the pause would differ between
    // runs.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build()?;
    let runtime = actix_rt::Runtime::from(runtime);
    runtime.block_on(async {
        let mut run = LoopbackRun::start(settle_timeout, plan, replay, config).await?;
        run.run(should_continue).await?;
        Ok(run.results)
    })
}

#[cfg(test)]
mod tests;
