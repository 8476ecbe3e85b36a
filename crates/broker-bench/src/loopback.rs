//! Plays a plan on loopback sockets: brokers as they are, model nodes behind scripted peers, discovery and
//! clients, all in one process and on one thread.
//!
//! Sockets and clocks are not deterministic; the day is the same in each run for two reasons:
//!
//! - There is one clock, tokio's, and it is paused. It moves on by a millisecond, and only when every party is
//!   idle ([`quiescence`]). Idle is not guessed from a wait: the counts of brokers, nodes, discovery and clients
//!   have to agree, and any message under way makes them differ.
//! - What has arrived is then handled one by one, in a stated order, and the parties become idle after each.
//!
//! A machine that is too busy makes this slow, never different: past a limit there is no figure at all
//! ([`LoopbackError`]).

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

/// How long the parties may take to become idle, by the machine's clock, before the day is given up.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Plays a plan. `should_continue` gets the time and the day's end once for each second of the day; where it says no, the
/// day is broken off, and its results are marked as partial.
///
/// # Errors
/// Says why there is no figure; see [`LoopbackError`].
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
    // Paused from its first moment: what is left of a millisecond would else differ from run to run.
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
