//! The schedule of a graceful shutdown: when a broker stops accepting connections, and when it fails the
//! queries that are still open.
//!
//! **Scope.** The steps between SIGTERM and the end of the process ([`ShutdownSchedule`]).
//!
//! **Input.** The longest deadline of any request class in the configuration that is in effect when SIGTERM
//! is received.
//!
//! **Rule.** New connections are accepted for [`ACCEPT_PERIOD`], so that clients that are not yet aware of
//! the shutdown are served. Open queries continue until [`FAIL_MARGIN`] before the earliest SIGKILL, which
//! may follow [`KILL_MARGIN`] after the longest deadline; at most [`LONGEST_COUNTED_DEADLINE`] of that
//! deadline counts. Queries without a response by then are failed (502). Writing the failed responses may
//! take [`FINAL_RESPONSE_TIMEOUT`]; a client that does not read its response within that time is not waited
//! for.
//!
//! **Rationale.** SIGKILL follows no sooner than the longest counted deadline plus [`KILL_MARGIN`] after
//! SIGTERM. A query that is still open at that time would get no response at all; a query that is failed
//! before it gets exactly one.
//!
//! **Cost.** A query whose response would have arrived in the last tenth of a second is failed.
//!
//! **Observability.** The log lines `shutting down`, `queries failed at the shutdown deadline` with the
//! number of queries, and `shut down`.

use std::time::Duration;

/// How long connections are accepted after SIGTERM; clients that are not yet aware of the shutdown may still
/// connect.
pub const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// The upper bound on the part of the longest deadline that SIGKILL waits for.
pub const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The minimum time between the end of the longest counted deadline and SIGKILL.
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How long before the earliest SIGKILL open queries are failed: half of it is for writing their responses,
/// and half is a reserve for a busy machine.
pub const FAIL_MARGIN: Duration = Duration::from_millis(100);
/// The time limit for writing the responses to failed queries.
pub const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

/// The steps of a graceful shutdown, as durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// The time after SIGTERM during which new connections are accepted.
    pub accept_period: Duration,
    /// The time after SIGTERM at which open queries are failed.
    pub fail_open_after: Duration,
    /// The maximum time for writing the responses of the failed queries, counted from when they are failed.
    pub final_response_timeout: Duration,
}

impl ShutdownSchedule {
    /// Returns the schedule for a configuration in which `longest_deadline` is the longest deadline of a
    /// request class.
    pub fn new(longest_deadline: Duration) -> ShutdownSchedule {
        ShutdownSchedule {
            accept_period: ACCEPT_PERIOD,
            fail_open_after: longest_deadline.min(LONGEST_COUNTED_DEADLINE) + KILL_MARGIN - FAIL_MARGIN,
            final_response_timeout: FINAL_RESPONSE_TIMEOUT,
        }
    }
}
