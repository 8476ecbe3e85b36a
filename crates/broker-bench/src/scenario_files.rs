//! Finds scenarios, in the library or in a file.

use fault_scenarios::{LIBRARY, Scenario, ScenarioError, find_in_library};
use std::io;
use thiserror::Error;

/// Chooses all scenarios of the library.
pub const ALL_SCENARIOS: &str = "all";

/// Why a scenario can't be read.
#[derive(Debug, Error)]
pub enum ReadScenarioError {
    #[error("{path}: {source}; neither a file nor in the library (--list)")]
    File { path: String, source: io::Error },
    #[error("there is no scenario `{0}` in the library")]
    NotInLibrary(&'static str),
    #[error("{}", list_errors(name, errors))]
    Invalid { name: String, errors: Vec<ScenarioError> },
}

fn list_errors(name: &str, errors: &[ScenarioError]) -> String {
    errors.iter().map(|error| format!("{name}: {error}")).collect::<Vec<_>>().join("\n")
}

fn parse_scenario(name: &str, text: &str) -> Result<Scenario, ReadScenarioError> {
    Scenario::parse(name, text).map_err(|errors| ReadScenarioError::Invalid { name: name.to_owned(), errors })
}

/// The scenario of this name in the library.
///
/// # Errors
///
/// There is none, or its text is invalid.
pub fn read_library_scenario(name: &'static str) -> Result<Scenario, ReadScenarioError> {
    let found = find_in_library(name).ok_or(ReadScenarioError::NotInLibrary(name))?;
    parse_scenario(found.name, found.text)
}

/// All scenarios of the library, the one of this name, or the one in the file of this path.
///
/// # Errors
///
/// The file can't be read, or the text of a scenario is invalid.
pub fn read_scenarios(which: &str) -> Result<Vec<Scenario>, ReadScenarioError> {
    if which == ALL_SCENARIOS {
        return LIBRARY.iter().map(|scenario| parse_scenario(scenario.name, scenario.text)).collect();
    }
    if let Some(scenario) = find_in_library(which) {
        return Ok(vec![parse_scenario(scenario.name, scenario.text)?]);
    }
    let text = std::fs::read_to_string(which)
        .map_err(|source| ReadScenarioError::File { path: which.to_owned(), source })?;
    Ok(vec![parse_scenario(which, &text)?])
}
