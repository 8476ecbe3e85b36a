//! Shutting down on SIGTERM: everything that was accepted is answered first.

use crate::limits::shutdown_timeout;
use crate::running::Running;
use std::io;
use std::pin::pin;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{info, warn};

/// The signal to shut down, listened for from this call on.
///
/// # Errors
///
/// The system refuses the handler.
pub fn termination_signal() -> io::Result<Signal> {
    signal(SignalKind::terminate())
}

impl Running {
    /// Serves as before while new connections keep coming, then answers what it has and ends. Guards against
    /// the kill: what no node has answered by the last moment before it is answered as failed.
    pub async fn shut_down(self) {
        info!(open_queries = self.engine.open_queries(), "shutting down");
        // By the classes as they are now: a rollout may have changed the deadlines that the kill waits for.
        let deadline = Instant::now() + shutdown_timeout(&self.engine.epoch().classes);
        sleep(self.limits.shutdown_accept_period).await;
        let mut closed = pin!(self.http_server.close());
        if timeout_at(deadline, &mut closed).await.is_err() {
            let failed_queries = self.engine.fail_open_queries();
            warn!(failed_queries, "queries without a response at the shutdown deadline, answered as failed");
            // A client that does not take its response, or still sends, is not waited for.
            let _ = timeout(self.limits.final_response_timeout, closed).await;
        }
        info!("shut down");
    }
}
