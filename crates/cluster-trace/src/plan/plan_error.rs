//! Why there is no plan.

use thiserror::Error;

/// Why rows can't be turned into a plan.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlanError {
    /// The plan would have more entries than allowed.
    #[error("more than {0} entries: take a shorter window, or a smaller sample")]
    TooManyEntries(usize),
    /// No work begins in the window or is running when it begins.
    #[error("no work in the window from {from} us to {to} us")]
    NoWork {
        /// The beginning of the window, in microseconds.
        from: u64,
        /// Its end.
        to: u64,
    },
    /// This field of the configuration is not valid.
    #[error("invalid replay configuration: `{0}`")]
    InvalidConfig(&'static str),
}
