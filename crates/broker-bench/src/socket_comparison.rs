//! Compares a scenario run in virtual time with a run of the same plan on loopback sockets.

use crate::loopback;
use crate::run_results::RunResults;
use crate::scenario_run::{ScenarioRun, SocketRun, UnsupportedOnSockets};
use crate::simulation::Simulation;
use thiserror::Error;

/// Largest accepted difference in service between a run on sockets and the same run in virtual time. It covers the
/// overhead of the HTTP server (frames, connections, a turn's wait for its period) and the paused clock, which
/// rounds to whole milliseconds what virtual time has in tenths.
pub const MAX_SERVICE_DIFFERENCE: f64 = 0.02;

/// An error of a run that was to be compared.
#[derive(Debug, Error)]
pub enum ComparisonError {
    #[error(transparent)]
    UnsupportedOnSockets(#[from] UnsupportedOnSockets),
    #[error("failed to run the scenario {scenario} on sockets: {source}")]
    Loopback { scenario: String, source: loopback::LoopbackError },
}

/// The results of one plan in virtual time and on sockets.
pub struct RunComparison {
    pub virtual_time: RunResults,
    pub sockets: RunResults,
}

impl RunComparison {
    /// Runs the scenario in virtual time, then on sockets.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario has a fault that is not supported on sockets, or if the run on sockets fails.
    pub fn run(scenario_run: &ScenarioRun) -> Result<RunComparison, ComparisonError> {
        let SocketRun { plan, replay, config } = scenario_run.to_socket_run()?;
        let virtual_time = Simulation::new(plan.clone(), &replay, config.clone()).run(|_, _| true);
        let sockets = loopback::run(plan, &replay, config, |_, _| true).map_err(|source| {
            ComparisonError::Loopback { scenario: scenario_run.scenario.name.clone(), source }
        })?;
        Ok(RunComparison { virtual_time, sockets })
    }

    /// Returns the served share on sockets minus that in virtual time.
    pub fn difference(&self) -> f64 {
        self.sockets.service.share() - self.virtual_time.service.share()
    }

    /// Returns whether the served shares differ by at most [`MAX_SERVICE_DIFFERENCE`].
    pub fn is_within_margin(&self) -> bool {
        self.difference().abs() <= MAX_SERVICE_DIFFERENCE
    }

    /// Returns the rules that were broken in virtual time, followed by those broken on sockets.
    pub fn broken_rules(&self) -> Vec<&'static str> {
        self.virtual_time.violations.keys().chain(self.sockets.violations.keys()).copied().collect()
    }
}
