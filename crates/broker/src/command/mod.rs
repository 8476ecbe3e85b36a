//! The command line of `shard-broker`.
//!
//! | Exit code | Meaning |
//! | --- | --- |
//! | 0 | The command succeeded. |
//! | 1 | The broker could not start. |
//! | 2 | The arguments or a checked file have a mistake. |
//! | 3 | The broker did not answer a request for its status. |

mod check;
mod mistakes;
mod reshape;

use crate::config_rollout;
use crate::program::serve;
use crate::startup::{ConfigSource, StartupError};
use check::{check, check_json_file, read_operator_file};
use clap::{Parser, Subcommand};
use mistakes::{EXIT_MISTAKE, Mistakes};
use reshape::{ReshapeRequest, reshape};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The time within which a broker must answer a request for its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// A broker that reads many shards for one query.
#[derive(Parser)]
#[command(
    name = "shard-broker",
    version,
    after_help = "Without a command the broker starts with the values of EDGE_CONFIG, EDGE_NAME, EDGE_LISTEN \
        and EDGE_DISCOVERY.\n\n\
        Examples:\n  \
        EDGE_CONFIG=config.json shard-broker\n  \
        shard-broker serve --config config.json --operator deploy/operator.ini\n  \
        shard-broker check config.json\n  \
        shard-broker check --json version-12.json\n  \
        shard-broker reshape config.json --shape shape.ini --dry-run\n  \
        shard-broker reshape config.json --shape shape.ini --zone cremona --to new.json\n  \
        shard-broker control status --at 127.0.0.1:18001\n\n\
        Exit codes: 0 success, 1 the broker could not start, 2 a mistake in the arguments or in a checked \
        file, 3 the broker did not answer."
)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM.
    Serve {
        /// The broker's config file (JSON). The default is the value of EDGE_CONFIG.
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
        /// The operator's file (INI) with optional features and their settings.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// List all mistakes in a config file, the document of a configuration version, or an operator's file, without
    /// starting a broker.
    Check {
        /// The file to check. A name that ends in .ini stands for an operator's file.
        file: PathBuf,
        /// Print one JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Convert a config file for a deployment with another layout, and list the settings that can't be carried over.
    /// Existing files are never overwritten.
    Reshape {
        /// The current config file (JSON), which is not changed.
        old: PathBuf,
        /// The layout of the new deployment (INI). `deploy/shape.ini` lists all keys.
        #[arg(long, value_name = "FILE")]
        shape: PathBuf,
        /// The new file, which must not exist.
        #[arg(long, value_name = "FILE", required_unless_present = "dry_run")]
        to: Option<PathBuf>,
        /// The name of this broker's zone, if the layout file does not have it.
        #[arg(long, value_name = "NAME")]
        zone: Option<String>,
        /// List the settings that can't be carried over, but write no file.
        #[arg(long)]
        dry_run: bool,
        /// Print one JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Inspect configuration versions from a control service.
    Control {
        #[command(subcommand)]
        command: ControlCommand,
    },
}

#[derive(Subcommand)]
enum ControlCommand {
    /// Print the configuration version that a running broker uses.
    Status {
        /// The address of the broker's status service, which is `status_listen` in its operator's file.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// Print one JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
}

/// Parses the command line and runs its command.
pub(crate) fn run() -> ExitCode {
    match CommandLine::try_parse() {
        Ok(command_line) => run_command(command_line.command),
        Err(e) => {
            let exit_code = if e.use_stderr() { EXIT_MISTAKE } else { 0 };
            // If standard error can't be written to, there is no other way to report the error.
            let _ = e.print();
            ExitCode::from(exit_code)
        }
    }
}

fn run_command(command: Command) -> ExitCode {
    match command {
        Command::Serve { config, operator } => serve_checked(config, operator.as_deref()),
        Command::Check { file, json } => check(&file, json),
        Command::Reshape { old, shape, to, zone, dry_run, json } => reshape(&ReshapeRequest {
            old: &old,
            shape: &shape,
            zone: zone.as_deref(),
            new: to.as_deref().filter(|_| !dry_run),
            as_json: json,
        }),
        Command::Control { command: ControlCommand::Status { at, json } } => {
            config_rollout::status(at, STATUS_TIMEOUT, json)
        }
    }
}

/// Runs a broker, unless the operator's file or the config file has a mistake.
fn serve_checked(config: Option<String>, operator: Option<&Path>) -> ExitCode {
    let operator = match operator.map(|path| (path, read_operator_file(path))) {
        Some((path, Err(mistakes))) => return mistakes.report(path, false),
        Some((_, Ok(operator))) => operator,
        None => Default::default(),
    };
    // Without this check, a misspelt or invalid setting would silently be replaced by its default. The check is not
    // done if the program is started without a command, as the platform does, because the file may then have keys
    // that this version does not know yet.
    let path = config.clone().or_else(|| std::env::var("EDGE_CONFIG").ok()).map(PathBuf::from);
    if let Some(path) = path.filter(|path| path.exists())
        && let Err(mistakes) = check_json_file(&path)
    {
        return mistakes.report(&path, false);
    }
    serve(&ConfigSource { config }, operator)
}

/// Prints all mistakes of a config file with which a broker could not start. If the check finds none, prints
/// `reason`.
pub(crate) fn report_invalid_file(path: &str, reason: &StartupError) -> ExitCode {
    let path = Path::new(path);
    check_json_file(path).err().unwrap_or_else(|| Mistakes::one(reason)).report(path, false)
}

/// Returns a placeholder for an address variable, for config files that are only checked. Returns `None` for other
/// variables.
fn placeholder_address(variable: &str) -> Option<String> {
    matches!(variable, "EDGE_LISTEN" | "EDGE_DISCOVERY").then(|| "127.0.0.1:0".to_owned())
}
