//! Graceful shutdown on SIGTERM: everything that was accepted is answered first.
//!
//! The steps and their times are [`ShutdownSchedule`]'s. Guarantee: each accepted query has exactly one response before a
//! SIGKILL may follow, be it 502. It holds since queries that are open at the deadline are failed by the engine in one
//! step, after which it accepts none, and each waiting request handler then has its outcome.

use crate::limits::to_duration;
use crate::running::RunningBroker;
use routing::shutdown_deadline::ShutdownSchedule;
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

impl RunningBroker {
    /// Accepts connections for a while longer, answers what is open, and ends. Queries that are still open at
    /// the shutdown deadline are failed, so that each has its one answer before a SIGKILL may follow.
    pub async fn shut_down(self) {
        info!(open_queries = self.engine.open_queries(), "shutting down");
        // By the present classes: a rollout may have changed the deadlines since the start.
        let longest_deadline = to_duration(self.engine.epoch().longest_deadline());
        let schedule = ShutdownSchedule::new(longest_deadline);
        let fail_open_at = Instant::now() + schedule.fail_open_after;
        sleep(schedule.accept_period).await;
        let mut closed = pin!(self.http_server.close());
        if timeout_at(fail_open_at, &mut closed).await.is_err() {
            let failed_queries = self.engine.fail_open_queries();
            warn!(failed_queries, "queries failed at the shutdown deadline");
            // A client that does not take its response, or still sends, is not waited for.
            let _ = timeout(schedule.final_response_timeout, closed).await;
        }
        info!("shut down");
    }
}
