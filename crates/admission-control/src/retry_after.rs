//! The time after which the client of a rejected query may retry (`Retry-After`).

use routing::{RequestLimits, TimeSpan};

/// The time to retry after, as a fraction of the window. After that time a decrease of the rate has taken effect, and
/// some of the retries that count against the budget have left the window.
const RETRY_AFTER_FRACTION_OF_WINDOW: f64 = 0.5;

/// Returns the time after which a rejected query may be sent again: half the window, limited to the configured
/// maximum. Returns zero, which means that no time is sent, if the configuration does not allow one.
pub(crate) fn retry_after(window: TimeSpan, limits: &RequestLimits) -> TimeSpan {
    if !limits.send_retry_after {
        return TimeSpan::ZERO;
    }
    // The result is at least 1, as zero means that no time is sent.
    window.mul_f64(RETRY_AFTER_FRACTION_OF_WINDOW).min(limits.max_retry_after).max(TimeSpan(1))
}

#[cfg(test)]
mod tests;
