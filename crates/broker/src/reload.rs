//! New configurations, on SIGHUP: what a running broker takes over from its file.

use crate::{ConfigSource, StartupConfig};
use std::io;
use std::net::SocketAddr;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tracing::{info, warn};

/// The word that the file is new, listened for from now on.
pub fn word() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Each time, reads where discovery is now. A file that can't be used changes nothing.
pub async fn follow(mut word: Signal, source: ConfigSource, discovery: watch::Sender<SocketAddr>) {
    while word.recv().await.is_some() {
        match StartupConfig::reread(&source) {
            Ok(place) => {
                info!("a new config: discovery is at {place}");
                // Also where it names the same place: the endpoint list is asked for anew.
                discovery.send_replace(place);
            }
            Err(why) => warn!("the new config is not used, the old one holds: {why}"),
        }
    }
}
