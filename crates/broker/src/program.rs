//! The entry point of the `shard-broker` program.

use crate::command::report_invalid_file;
use crate::logging::log_to_standard_error;
use crate::reload::{reload_on_signal, reload_signal};
use crate::running::start_with_operator_config;
use crate::shutdown::termination_signal;
use crate::startup::{ConfigSource, StartupConfig, StartupError};
use operator_config::OperatorConfig;
use std::process::ExitCode;
use tracing::error;

/// Runs the program. Without arguments, a broker is configured by the environment and serves until SIGTERM. Otherwise
/// the command line selects a command.
pub fn run() -> ExitCode {
    match std::env::args_os().len() {
        0 | 1 => serve(&ConfigSource::default(), OperatorConfig::default()),
        _ => crate::command::run(),
    }
}

/// Serves until SIGTERM and returns the exit code: 0 after a shutdown, 1 if the broker could not start, and 2 if its
/// config file has mistakes, which are then printed.
pub(crate) fn serve(source: &ConfigSource, operator: OperatorConfig) -> ExitCode {
    log_to_standard_error(operator.log_format);
    match serve_until_terminated(source, operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            error!(%reason, "can't serve");
            match &reason {
                StartupError::InvalidFile { path, source } => report_invalid_file(path, source),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

/// Starts the broker and shuts it down on SIGTERM.
fn serve_until_terminated(source: &ConfigSource, operator: OperatorConfig) -> Result<(), StartupError> {
    actix_rt::Runtime::new()?.block_on(async {
        // The handlers are installed first, because either signal terminates a process that does not handle it.
        let mut terminate = termination_signal()?;
        let reload = reload_signal()?;
        let config = StartupConfig::from(source)?;
        let running = start_with_operator_config(config, operator).await?;
        actix_rt::spawn(reload_on_signal(reload, source.clone(), running.discovery_address.clone()));
        terminate.recv().await;
        running.shut_down().await;
        Ok(())
    })
}
