//! Errors of planning a replay.

use thiserror::Error;

/// The error returned when a replay cannot be planned.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlanError {
    /// The plan would have more entries than the given maximum, which is set in
    /// [`ReplayConfig::max_entries`](crate::plan::ReplayConfig::max_entries).
    #[error("plan exceeds the limit of {0} entries: shorten the window or reduce the sample share")]
    TooManyEntries(usize),
    /// No work starts in the window or is running when the window starts.
    #[error("no work in the window from {from} us to {to} us")]
    NoWork {
        /// Start of the window, in microseconds on the trace's clock.
        from: u64,
        /// End of the window, in microseconds on the trace's clock.
        to: u64,
    },
    /// The named part of the replay configuration is invalid.
    #[error("invalid replay configuration: `{0}` is out of range")]
    InvalidConfig(&'static str),
}
