//! The way out, on SIGTERM: everything taken is answered first.

use crate::Running;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;
use tracing::info;

/// The word to leave, listened for from now on.
pub fn word() -> io::Result<Signal> {
    signal(SignalKind::terminate())
}

impl Running {
    /// Serves as before while new connections keep coming, then answers what it has and ends.
    pub async fn leave(self) {
        info!("leaving: {} retrievals are open", self.desk.open_retrievals());
        sleep(self.limits.last_moment).await;
        self.front.close().await;
        info!("left");
    }
}
