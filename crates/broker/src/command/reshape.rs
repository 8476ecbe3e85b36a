//! The `reshape` command: converts a config file to a deployment with another layout.

use super::mistakes::Mistakes;
use super::placeholder_address;
use crate::startup::StartupConfig;
use serde_json::json;
use settings_migration::{DeploymentLayout, MigratedSettings};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

/// The arguments of the command.
pub(super) struct ReshapeRequest<'a> {
    /// The present config file.
    pub(super) old: &'a Path,
    /// The layout of the new deployment.
    pub(super) shape: &'a Path,
    /// This broker's zone, where `shape` does not say it.
    pub(super) zone: Option<&'a str>,
    /// The new file; `None`: nothing is written.
    pub(super) new: Option<&'a Path>,
    /// Print one JSON object.
    pub(super) as_json: bool,
}

/// Why nothing was written.
struct ReshapeError<'a> {
    /// The file that the mistakes are in.
    file: &'a Path,
    /// What they are.
    mistakes: Mistakes,
}

/// Makes the new file, checks that a broker would start from it, and writes it, unless a file of that name exists.
pub(super) fn reshape(request: &ReshapeRequest) -> ExitCode {
    match make_and_write(request) {
        Ok(reshaped) => {
            print_result(request, &reshaped);
            ExitCode::SUCCESS
        }
        Err(error) => error.mistakes.report(error.file, request.as_json),
    }
}

fn make_and_write<'a>(request: &ReshapeRequest<'a>) -> Result<MigratedSettings, ReshapeError<'a>> {
    let in_shape = |mistakes| ReshapeError { file: request.shape, mistakes };
    let in_old = |mistakes| ReshapeError { file: request.old, mistakes };
    let shape = read_shape(request.shape).map_err(in_shape)?;
    let reshaped = make(request, &shape).map_err(in_old)?;
    if let Some(new) = request.new {
        write_new(new, &reshaped.text).map_err(|e| ReshapeError { file: new, mistakes: Mistakes::one(e) })?;
    }
    Ok(reshaped)
}

fn read_shape(path: &Path) -> Result<DeploymentLayout, Mistakes> {
    let text = std::fs::read_to_string(path).map_err(Mistakes::one)?;
    DeploymentLayout::read(&text).map_err(|mistakes| Mistakes::list(&mistakes))
}

/// The converted file, from which a broker would start.
fn make(request: &ReshapeRequest, shape: &DeploymentLayout) -> Result<MigratedSettings, Mistakes> {
    let old = std::fs::read(request.old).map_err(Mistakes::one)?;
    let reshaped = settings_migration::migrate(&old, shape, request.zone)
        .map_err(|mistakes| Mistakes::list(&mistakes))?;
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
            println!("{}: written; `shard-broker check` holds it against the rules again", new.display());
        }
        None => println!("nothing was written; --to FILE writes the new file"),
    }
}
