//! The way out, on SIGTERM: everything taken is answered first.

use crate::Running;
use std::io;
use std::pin::pin;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{info, warn};

/// The word to leave, listened for from now on.
pub fn word() -> io::Result<Signal> {
    signal(SignalKind::terminate())
}

impl Running {
    /// Serves as before while new connections keep coming, then answers what it has and ends. Guards against the
    /// kill: what no node has answered by the last moment before it gets its final word all the same.
    pub async fn leave(self) {
        info!("leaving: {} retrievals are open", self.engine.open_queries());
        let until = Instant::now() + self.limits.leave_within;
        sleep(self.limits.last_moment).await;
        let mut closed = pin!(self.front.close());
        if timeout_at(until, &mut closed).await.is_err() {
            let open = self.engine.fail_open_queries();
            warn!("{open} retrievals had no end in the time that is left, and are answered as failed");
            // A client that does not take its answer, or still sends, is not waited for.
            let _ = timeout(self.limits.last_answers, closed).await;
        }
        info!("left");
    }
}
