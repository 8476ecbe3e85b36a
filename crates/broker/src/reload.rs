//! Reloading of the config file on SIGHUP.

use crate::startup::{ConfigSource, StartupConfig};
use std::io;
use std::net::SocketAddr;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tracing::{info, warn};

/// Installs the handler for SIGHUP, which requests a reload of the config file.
///
/// # Errors
///
/// Returns an error if the operating system refuses the signal handler.
pub fn reload_signal() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reloads the address of discovery at each signal. If the config file is not valid, logs a warning and keeps the
/// current address.
pub async fn reload_on_signal(
    mut reload: Signal,
    source: ConfigSource,
    discovery: watch::Sender<SocketAddr>,
) {
    while reload.recv().await.is_some() {
        match StartupConfig::reread_discovery(&source) {
            Ok(address) => {
                info!(discovery = %address, "config reloaded");
                // Sent even if the address is unchanged, so that the endpoint list is requested again.
                discovery.send_replace(address);
            }
            Err(reason) => warn!(%reason, "config reload failed, the old config stays in use"),
        }
    }
}
