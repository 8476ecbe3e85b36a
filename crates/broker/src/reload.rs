//! Reloading on SIGHUP: what a running broker takes over from its config file.

use crate::startup::{ConfigSource, StartupConfig};
use std::io;
use std::net::SocketAddr;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tracing::{info, warn};

/// The signal that the config file has changed, listened for from this call on.
///
/// # Errors
///
/// The system refuses the handler.
pub fn reload_signal() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// At each signal, reads where discovery is now. A file that can't be used changes nothing.
pub async fn reload_on_signal(
    mut reload: Signal,
    source: ConfigSource,
    discovery: watch::Sender<SocketAddr>,
) {
    while reload.recv().await.is_some() {
        match StartupConfig::reread_discovery(&source) {
            Ok(address) => {
                info!(discovery = %address, "config reloaded");
                // Sent even if the address is the same, so that the endpoint list is requested again.
                discovery.send_replace(address);
            }
            Err(reason) => warn!(%reason, "config reload failed, the old config stays in use"),
        }
    }
}
