//! Graceful shutdown on SIGTERM: everything that was accepted is answered first.
//!
//! [`ShutdownSchedule`] defines the steps and their times. Guarantee: each accepted query receives exactly one
//! response, possibly a 502, before a SIGKILL may follow. At the deadline the engine fails all open queries in one
//! step, and accepts none after that, so each request handler that is still waiting has its outcome.

use crate::limits::to_duration;
use crate::running::RunningBroker;
use routing::shutdown_deadline::ShutdownSchedule;
use std::io;
use std::pin::pin;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{info, warn};

/// Returns a stream of SIGTERM signals. The signal no longer ends the process once this has been called.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be registered.
pub fn termination_signal() -> io::Result<Signal> {
    signal(SignalKind::terminate())
}

impl RunningBroker {
    /// Shuts the broker down gracefully: accepts connections for a while longer, answers the open queries, and
    /// returns.
    ///
    /// Queries that are still open at the shutdown deadline are failed, so that each has exactly one response before
    /// a SIGKILL may follow.
    pub async fn shut_down(self) {
        info!(open_queries = self.engine.open_queries(), "shutting down");
        // The current request classes are used, as a rollout may have changed the deadlines since the start.
        let longest_deadline = to_duration(self.engine.epoch().longest_deadline());
        let schedule = ShutdownSchedule::new(longest_deadline);
        let fail_open_at = Instant::now() + schedule.fail_open_after;
        sleep(schedule.accept_period).await;
        let mut closed = pin!(self.http_server.close());
        if timeout_at(fail_open_at, &mut closed).await.is_err() {
            let failed_queries = self.engine.fail_open_queries();
            warn!(failed_queries, "queries failed at the shutdown deadline");
            // There is no further wait for a client that does not read its response or is still sending.
            let _ = timeout(schedule.final_response_timeout, closed).await;
        }
        info!("shut down");
    }
}
