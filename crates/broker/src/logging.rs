//! Logging to standard error, as text or as JSON.

use operator_config::LogFormat;
use std::io;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt;
use tracing_subscriber::prelude::*;

/// Installs the global log subscriber, which writes events of level info and above to standard error.
///
/// # Panics
///
/// Panics if the process has already installed a log subscriber.
pub fn log_to_standard_error(format: LogFormat) {
    // The HTTP library would log a line for each bad request; the HTTP server counts bad requests instead.
    let targets = Targets::new().with_default(LevelFilter::INFO).with_target("actix_http", LevelFilter::OFF);
    let lines = fmt::layer().with_ansi(false).with_writer(io::stderr).with_target(false);
    match format {
        LogFormat::Text => tracing_subscriber::registry().with(lines.with_filter(targets)).init(),
        LogFormat::Json => {
            let lines = lines.json().flatten_event(true).with_current_span(false).with_span_list(false);
            tracing_subscriber::registry().with(lines.with_filter(targets)).init();
        }
    }
}
