//! Reads scenarios from the library or from a file.

use fault_scenarios::{LIBRARY, Scenario, ScenarioError, find_in_library};
use std::io;
use thiserror::Error;

/// Argument that selects all scenarios of the library.
pub const ALL_SCENARIOS: &str = "all";

/// An error while reading a scenario.
#[derive(Debug, Error)]
pub enum ReadScenarioError {
    #[error(
        "failed to read scenario file {path}: {source}; it is not a scenario of the library either (see --list)"
    )]
    File { path: String, source: io::Error },
    #[error("the library has no scenario `{0}`")]
    NotInLibrary(&'static str),
    #[error("{}", join_errors(name, errors))]
    Invalid { name: String, errors: Vec<ScenarioError> },
}

fn join_errors(name: &str, errors: &[ScenarioError]) -> String {
    errors.iter().map(|error| format!("{name}: {error}")).collect::<Vec<_>>().join("\n")
}

fn parse_scenario(name: &str, text: &str) -> Result<Scenario, ReadScenarioError> {
    Scenario::parse(name, text).map_err(|errors| ReadScenarioError::Invalid { name: name.to_owned(), errors })
}

/// Returns the scenario of this name in the library.
///
/// # Errors
///
/// Returns an error if the library has no scenario of this name, or if its text is invalid.
pub fn read_library_scenario(name: &'static str) -> Result<Scenario, ReadScenarioError> {
    let found = find_in_library(name).ok_or(ReadScenarioError::NotInLibrary(name))?;
    parse_scenario(found.name, found.text)
}

/// Returns all scenarios of the library for [`ALL_SCENARIOS`], else the library's scenario of this name, else the
/// scenario in the file at this path.
///
/// # Errors
///
/// Returns an error if the file can't be read, or if the text of a scenario is invalid.
pub fn read_scenarios(name_or_path: &str) -> Result<Vec<Scenario>, ReadScenarioError> {
    if name_or_path == ALL_SCENARIOS {
        return LIBRARY.iter().map(|scenario| parse_scenario(scenario.name, scenario.text)).collect();
    }
    if let Some(scenario) = find_in_library(name_or_path) {
        return Ok(vec![parse_scenario(scenario.name, scenario.text)?]);
    }
    let text = std::fs::read_to_string(name_or_path)
        .map_err(|source| ReadScenarioError::File { path: name_or_path.to_owned(), source })?;
    Ok(vec![parse_scenario(name_or_path, &text)?])
}
