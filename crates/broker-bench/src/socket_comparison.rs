//! One day of a scenario in virtual time and on loopback sockets, from the same plan.

use crate::loopback;
use crate::results::DayResults;
use crate::scenario_day::{NotOnSockets, ScenarioDay, SocketDay};
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
    NotOnSockets(#[from] NotOnSockets),
    #[error("{scenario}: {source}")]
    NoFigure { scenario: String, source: loopback::NoFigure },
}

/// The results of a day in virtual time and on sockets.
pub struct DayComparison {
    pub virtual_time: DayResults,
    pub sockets: DayResults,
}

impl DayComparison {
    /// Plays the day both ways.
    ///
    /// # Errors
    ///
    /// The scenario has a fault that sockets can't play, or the machine was too busy for a figure.
    pub fn play(day: &ScenarioDay) -> Result<DayComparison, ComparisonError> {
        let SocketDay { plan, replay, config } = day.for_sockets()?;
        let virtual_time = Simulation::new(plan.clone(), &replay, config.clone()).run(|_, _| true);
        let sockets = loopback::play(plan, &replay, config, |_, _| true)
            .map_err(|source| ComparisonError::NoFigure { scenario: day.scenario.name.clone(), source })?;
        Ok(DayComparison { virtual_time, sockets })
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
