//! When a broker that was told to shut down stops accepting, and when it fails what is still open.
//!
//! **Decided.** The steps between SIGTERM and the end of the process ([`ShutdownSchedule`]).
//!
//! **Input.** The longest deadline of any request class, in the configuration that holds when SIGTERM comes.
//!
//! **Rule.** New connections are accepted for [`ACCEPT_PERIOD`], so that clients which do not know of the shutdown yet
//! are answered. Open queries go on until [`KILL_MARGIN`] after the longest deadline, of which no more than
//! [`LONGEST_COUNTED_DEADLINE`] counts, less [`FAIL_MARGIN`]. What has no response by then is failed (502). The
//! failed responses are given [`FINAL_RESPONSE_TIMEOUT`]; a client that takes no response in that time is not
//! waited for.
//!
//! **Why.** SIGKILL may follow no sooner than the longest counted deadline and [`KILL_MARGIN`] after SIGTERM. A query
//! that is open at that moment would get no answer at all; one that is failed before it gets exactly one.
//!
//! **Cost.** A query whose response would have come in the last tenth of a second is failed.
//!
//! **How it shows.** The log lines `shutting down`, `queries failed at the shutdown deadline` with their number, and
//! `shut down`.

use std::time::Duration;

/// How long connections are accepted after SIGTERM: clients may still be connecting that do not know of it.
pub const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// The most of the longest deadline that SIGKILL waits for.
pub const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// SIGKILL comes no sooner than this after the longest counted deadline.
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How long before the earliest SIGKILL open queries are failed: time to write their responses, and as much again
/// for a busy machine.
pub const FAIL_MARGIN: Duration = Duration::from_millis(100);
/// How long the responses to failed queries may take to be written.
pub const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

/// The steps of a graceful shutdown, as spans of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// From SIGTERM: new connections are accepted.
    pub accept_period: Duration,
    /// From SIGTERM: queries that are open at its end are failed.
    pub fail_open_after: Duration,
    /// From the failing of open queries: their responses are written.
    pub final_response_timeout: Duration,
}

impl ShutdownSchedule {
    /// The schedule where the longest deadline of a request class is `longest_deadline`.
    pub fn new(longest_deadline: Duration) -> ShutdownSchedule {
        ShutdownSchedule {
            accept_period: ACCEPT_PERIOD,
            fail_open_after: longest_deadline.min(LONGEST_COUNTED_DEADLINE) + KILL_MARGIN - FAIL_MARGIN,
            final_response_timeout: FINAL_RESPONSE_TIMEOUT,
        }
    }
}
