//! The `reshape` command, which converts a config file for a deployment with another layout.

use super::mistakes::Mistakes;
use super::placeholder_address;
use crate::startup::StartupConfig;
use serde_json::json;
use settings_migration::{DeploymentLayout, MigratedSettings};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

/// The arguments of the `reshape` command.
pub(super) struct ReshapeRequest<'a> {
    /// The current config file.
    pub(super) old: &'a Path,
    /// The file with the layout of the new deployment.
    pub(super) shape: &'a Path,
    /// The name of this broker's zone, if `shape` does not have it.
    pub(super) zone: Option<&'a str>,
    /// The file to write, or `None` for a dry run.
    pub(super) new: Option<&'a Path>,
    /// Whether the result is printed as one JSON object.
    pub(super) as_json: bool,
}

/// The mistakes that prevented the new file from being written.
struct ReshapeError<'a> {
    /// The file that has the mistakes.
    file: &'a Path,
    mistakes: Mistakes,
}

/// Converts the config file, checks that a broker could start with the result, and writes it. Fails if the new file
/// already exists.
pub(super) fn reshape(request: &ReshapeRequest) -> ExitCode {
    match convert_and_write(request) {
        Ok(reshaped) => {
            print_result(request, &reshaped);
            ExitCode::SUCCESS
        }
        Err(error) => error.mistakes.report(error.file, request.as_json),
    }
}

fn convert_and_write<'a>(request: &ReshapeRequest<'a>) -> Result<MigratedSettings, ReshapeError<'a>> {
    let in_shape = |mistakes| ReshapeError { file: request.shape, mistakes };
    let in_old = |mistakes| ReshapeError { file: request.old, mistakes };
    let shape = read_shape(request.shape).map_err(in_shape)?;
    let reshaped = convert(request, &shape).map_err(in_old)?;
    if let Some(new) = request.new {
        write_new(new, &reshaped.text).map_err(|e| ReshapeError { file: new, mistakes: Mistakes::one(e) })?;
    }
    Ok(reshaped)
}

fn read_shape(path: &Path) -> Result<DeploymentLayout, Mistakes> {
    let text = std::fs::read_to_string(path).map_err(Mistakes::one)?;
    DeploymentLayout::read(&text).map_err(|mistakes| Mistakes::from_slice(&mistakes))
}

/// Converts the config file and checks that a broker could start with the result.
fn convert(request: &ReshapeRequest, shape: &DeploymentLayout) -> Result<MigratedSettings, Mistakes> {
    let old = std::fs::read(request.old).map_err(Mistakes::one)?;
    let reshaped = settings_migration::migrate(&old, shape, request.zone)
        .map_err(|mistakes| Mistakes::from_slice(&mistakes))?;
    StartupConfig::read(reshaped.text.as_bytes(), placeholder_address).map_err(Mistakes::one)?;
    Ok(reshaped)
}

fn write_new(path: &Path, text: &str) -> io::Result<()> {
    File::create_new(path)?.write_all(text.as_bytes())
}

fn print_result(request: &ReshapeRequest, reshaped: &MigratedSettings) {
    if request.as_json {
        let old = request.old.display().to_string();
        let left = reshaped.omitted_keys.iter();
        let left: Vec<_> =
            left.map(|left| json!({"key": left.key, "why": left.reason.to_string()})).collect();
        println!("{}", json!({"old": old, "written": request.new.is_some(), "left": left}));
        return;
    }
    for left in &reshaped.omitted_keys {
        println!("not carried over: `{}`: {}", left.key, left.reason);
    }
    match request.new {
        Some(new) => {
            println!("{}: written; `shard-broker check` validates it", new.display());
        }
        None => println!("nothing was written; use --to FILE to write the new file"),
    }
}
