//! The command line of the program `shard-broker`.
//!
//! Exit codes: 0 done; 1 the broker can't serve; 2 a mistake in the arguments or in a checked file; 3 the broker
//! whose status was asked for does not answer.

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

/// How long a broker may take to answer with its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// A broker that reads many shards for one query.
#[derive(Parser)]
#[command(
    name = "shard-broker",
    version,
    after_help = "Without a command the broker starts as EDGE_CONFIG, EDGE_NAME, EDGE_LISTEN and \
        EDGE_DISCOVERY say.\n\n\
        Examples:\n  \
        EDGE_CONFIG=config.json shard-broker\n  \
        shard-broker serve --config config.json --operator deploy/operator.ini\n  \
        shard-broker check config.json\n  \
        shard-broker check --json version-12.json\n  \
        shard-broker reshape config.json --shape shape.ini --dry-run\n  \
        shard-broker reshape config.json --shape shape.ini --zone cremona --to new.json\n  \
        shard-broker control status --at 127.0.0.1:18001\n\n\
        Exit codes: 0 done, 1 can't serve, 2 a mistake in the arguments or in a checked file, \
        3 no broker answers."
)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM.
    Serve {
        /// The broker's config file, JSON; the default is EDGE_CONFIG.
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
        /// The operator's file, INI: optional features and their settings.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// List every mistake in a config file, a configuration version's document, or an operator's file. Starts
    /// nothing.
    Check {
        /// The file; one that ends in .ini is an operator's file.
        file: PathBuf,
        /// Print one JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Convert a config file to a deployment with another layout, and list what can't be carried over. An existing
    /// file is never overwritten.
    Reshape {
        /// The present config file, JSON; it is not changed.
        old: PathBuf,
        /// The layout of the new deployment, INI; `deploy/shape.ini` has every key.
        #[arg(long, value_name = "FILE")]
        shape: PathBuf,
        /// The new file, which must not exist.
        #[arg(long, value_name = "FILE", required_unless_present = "dry_run")]
        to: Option<PathBuf>,
        /// This broker's zone, by name, where the layout file does not name it.
        #[arg(long, value_name = "NAME")]
        zone: Option<String>,
        /// Write nothing, only print what would be written.
        #[arg(long)]
        dry_run: bool,
        /// Print one JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Configuration versions from a control service.
    Control {
        #[command(subcommand)]
        command: ControlCommand,
    },
}

#[derive(Subcommand)]
enum ControlCommand {
    /// Print which configuration version a running broker runs.
    Status {
        /// The address of its status service, the `status_listen` of its operator's file.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// Print one JSON object for scripts.
        #[arg(long)]
        json: bool,
    },
}

/// Runs the command that the command line names.
pub(crate) fn run() -> ExitCode {
    match CommandLine::try_parse() {
        Ok(command_line) => run_command(command_line.command),
        Err(e) => {
            let exit_code = if e.use_stderr() { EXIT_MISTAKE } else { 0 };
            // Where it can't be printed, there is no other place for it.
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

/// Serves, unless there is a mistake in the operator's file or in the config file.
fn serve_checked(config: Option<String>, operator: Option<&Path>) -> ExitCode {
    let operator = match operator.map(|path| (path, read_operator_file(path))) {
        Some((path, Err(mistakes))) => return mistakes.report(path, false),
        Some((_, Ok(operator))) => operator,
        None => Default::default(),
    };
    // A setting that is misspelt or out of range would otherwise be served with its default, and nobody would notice.
    // Started without a command, as the platform does, the file may have keys that are not known yet.
    let path = config.clone().or_else(|| std::env::var("EDGE_CONFIG").ok()).map(PathBuf::from);
    if let Some(path) = path.filter(|path| path.exists())
        && let Err(mistakes) = check_json_file(&path)
    {
        return mistakes.report(&path, false);
    }
    serve(&ConfigSource { config }, operator)
}

/// Lists every mistake of a config file that could not be started from for this reason.
pub(crate) fn report_invalid_file(path: &str, reason: &StartupError) -> ExitCode {
    let path = Path::new(path);
    check_json_file(path).err().unwrap_or_else(|| Mistakes::one(reason)).report(path, false)
}

/// A placeholder for an address of a config file that is only checked.
fn placeholder_address(variable: &str) -> Option<String> {
    matches!(variable, "EDGE_LISTEN" | "EDGE_DISCOVERY").then(|| "127.0.0.1:0".to_owned())
}
