//! The `check` command, which lists all mistakes in a file.

use super::mistakes::Mistakes;
use super::placeholder_address;
use crate::startup::StartupConfig;
use operator_config::OperatorConfig;
use serde_json::Value;
use settings::Document;
use std::path::Path;
use std::process::ExitCode;

/// The maximum length of a document that is checked, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Checks a file, prints its mistakes, and returns the exit code.
pub(super) fn check(path: &Path, as_json: bool) -> ExitCode {
    let is_operator_file = path.extension().is_some_and(|extension| extension == "ini");
    let checked = match is_operator_file {
        true => read_operator_file(path).map(|_| ()),
        false => check_json_file(path),
    };
    checked.err().unwrap_or_default().report(path, as_json)
}

/// Reads an operator's file, or returns all mistakes in it.
pub(super) fn read_operator_file(path: &Path) -> Result<OperatorConfig, Mistakes> {
    let text = std::fs::read_to_string(path).map_err(Mistakes::one)?;
    operator_config::read(&text).map_err(|mistakes| Mistakes::from_slice(&mistakes))
}

/// Checks a broker's config file including its settings, or the document of a configuration version, as a control
/// service provides it. A file with a `settings` key is a config file.
pub(super) fn check_json_file(path: &Path) -> Result<(), Mistakes> {
    let text = std::fs::read(path).map_err(Mistakes::one)?;
    let document = Document::parse(&text, MAX_DOCUMENT_BYTES).map_err(Mistakes::one)?;
    let file: Value = serde_json::from_slice(&text).unwrap_or_default();
    match file.get("settings") {
        Some(settings) => check_config_file(&text, &file, settings),
        None => Mistakes::from_slice(&settings::check(&document)).into_result(),
    }
}

/// Checks the settings and, if they have no mistakes, the rest of the file.
fn check_config_file(text: &[u8], file: &Value, settings: &Value) -> Result<(), Mistakes> {
    let settings = Document::parse(settings.to_string().as_bytes(), MAX_DOCUMENT_BYTES)
        .map_err(|e| Mistakes::one(e).within("settings"))?;
    Mistakes::from_slice(&settings::check(&settings)).within("settings").into_result()?;
    // The environment may provide addresses when the broker is started, so placeholders stand in for missing ones.
    let env = |variable: &str| {
        let key = variable.trim_start_matches("EDGE_").to_lowercase();
        let placeholder = placeholder_address(variable).filter(|_| file.get(&key).is_none());
        std::env::var(variable).ok().or(placeholder)
    };
    StartupConfig::read(text, env).map(|_| ()).map_err(Mistakes::one)
}
