//! The `check` command: lists every mistake in a file.

use super::mistakes::Mistakes;
use super::placeholder_address;
use crate::startup::StartupConfig;
use operator_config::OperatorConfig;
use serde_json::Value;
use settings::Document;
use std::path::Path;
use std::process::ExitCode;

/// The longest document that is checked, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Checks a file, and prints what was found.
pub(super) fn check(path: &Path, as_json: bool) -> ExitCode {
    let is_operator_file = path.extension().is_some_and(|extension| extension == "ini");
    let checked = match is_operator_file {
        true => read_operator_file(path).map(|_| ()),
        false => check_json_file(path),
    };
    checked.err().unwrap_or_default().report(path, as_json)
}

/// Reads an operator's file.
pub(super) fn read_operator_file(path: &Path) -> Result<OperatorConfig, Mistakes> {
    let text = std::fs::read_to_string(path).map_err(Mistakes::one)?;
    operator_config::read(&text).map_err(|mistakes| Mistakes::list(&mistakes))
}

/// Checks a broker's config file with the settings in it, or a version's document as a control service serves
/// it.
pub(super) fn check_json_file(path: &Path) -> Result<(), Mistakes> {
    let text = std::fs::read(path).map_err(Mistakes::one)?;
    let document = Document::parse(&text, MAX_DOCUMENT_BYTES).map_err(Mistakes::one)?;
    let file: Value = serde_json::from_slice(&text).unwrap_or_default();
    match file.get("settings") {
        Some(settings) => check_config_file(&text, &file, settings),
        None => Mistakes::list(&settings::check(&document)).into_result(),
    }
}

/// Checks the settings, and the rest of the file only if they have no mistake.
fn check_config_file(text: &[u8], file: &Value, settings: &Value) -> Result<(), Mistakes> {
    let settings = Document::parse(settings.to_string().as_bytes(), MAX_DOCUMENT_BYTES)
        .map_err(|e| Mistakes::one(e).within("settings"))?;
    Mistakes::list(&settings::check(&settings)).within("settings").into_result()?;
    // The addresses may come from the environment, also where the file has none.
    let env = |variable: &str| {
        let key = variable.trim_start_matches("EDGE_").to_lowercase();
        let placeholder = placeholder_address(variable).filter(|_| file.get(&key).is_none());
        std::env::var(variable).ok().or(placeholder)
    };
    StartupConfig::read(text, env).map(|_| ()).map_err(Mistakes::one)
}
