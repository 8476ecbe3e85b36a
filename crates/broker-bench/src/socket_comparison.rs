//! One day of a scenario in virtual time and on loopback sockets, from the same plan.

use crate::loopback;
use crate::run_results::RunResults;
use crate::scenario_run::{ScenarioRun, SocketRun, UnsupportedOnSockets};
use crate::simulation::Simulation;
use thiserror::Error;

/// The largest difference in service between a day on sockets and the same day in virtual time. It allows for
/// what the HTTP server adds (frames, connections, a turn's wait for its period), and for the paused clock of
/// whole milliseconds, which rounds times that virtual time has in tenths.
pub const MAX_SERVICE_DIFFERENCE: f64 = 0.02;

/// Why a day can't be compared.
#[derive(Debug, Error)]
pub enum ComparisonError {
    #[error(transparent)]
    UnsupportedOnSockets(#[from] UnsupportedOnSockets),
    #[error("{scenario}: {source}")]
    Loopback { scenario: String, source: loopback::LoopbackError },
}

/// The results of a day in virtual time and on sockets.
pub struct RunComparison {
    pub virtual_time: RunResults,
    pub sockets: RunResults,
}

impl RunComparison {
    /// Plays the day both ways.
    ///
    /// # Errors
    ///
    /// The scenario has a fault that sockets can't play, or the machine was too busy for a figure.
    pub fn run(scenario_run: &ScenarioRun) -> Result<RunComparison, ComparisonError> {
        let SocketRun { plan, replay, config } = scenario_run.to_socket_run()?;
        let virtual_time = Simulation::new(plan.clone(), &replay, config.clone()).run(|_, _| true);
        let sockets = loopback::run(plan, &replay, config, |_, _| true).map_err(|source| {
            ComparisonError::Loopback { scenario: scenario_run.scenario.name.clone(), source }
        })?;
        Ok(RunComparison { virtual_time, sockets })
    }

    /// How much more service the day had on sockets.
    pub fn difference(&self) -> f64 {
        self.sockets.service.share() - self.virtual_time.service.share()
    }

    /// Whether the services differ by no more than [`MAX_SERVICE_DIFFERENCE`].
    pub fn is_within_margin(&self) -> bool {
        self.difference().abs() <= MAX_SERVICE_DIFFERENCE
    }

    /// The rules that were broken, in virtual time or on sockets.
    pub fn broken_rules(&self) -> Vec<&'static str> {
        self.virtual_time.violations.keys().chain(self.sockets.violations.keys()).copied().collect()
    }
}
