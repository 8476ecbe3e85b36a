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
//! ([`NoFigure`]).

mod clients;
mod day;
mod no_figure;
mod nodes;
mod quiescence;
mod setup;

pub use no_figure::{NoFigure, PendingWork};

use crate::results::DayResults;
use crate::simulation::SimulationConfig;
use cluster_trace::plan::{Plan, ReplayConfig};
use day::Day;
use routing::Timestamp;
use std::time::Duration;

/// How long the parties may take to become idle, by the machine's clock, before the day is given up.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Plays a plan. `goes_on` gets the time and the day's end once for each second of the day; where it says no, the
/// day is broken off, and its results are marked as partial.
///
/// # Errors
/// Says why there is no figure; see [`NoFigure`].
pub fn play(
    plan: Plan,
    replay: &ReplayConfig,
    config: SimulationConfig,
    goes_on: impl FnMut(Timestamp, Timestamp) -> bool,
) -> Result<DayResults, NoFigure> {
    play_within(SETTLE_TIMEOUT, plan, replay, config, goes_on)
}

fn play_within(
    settle_timeout: Duration,
    plan: Plan,
    replay: &ReplayConfig,
    config: SimulationConfig,
    goes_on: impl FnMut(Timestamp, Timestamp) -> bool,
) -> Result<DayResults, NoFigure> {
    // Paused from its first moment: what is left of a millisecond would else differ from run to run.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build()?;
    let runtime = actix_rt::Runtime::from(runtime);
    runtime.block_on(async {
        let mut day = Day::start(settle_timeout, plan, replay, config).await?;
        day.run(goes_on).await?;
        Ok(day.results)
    })
}

#[cfg(test)]
mod tests;
