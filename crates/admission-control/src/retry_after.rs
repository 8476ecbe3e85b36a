//! The time after which the client of a rejected query may send it again (`Retry-After`).

use routing::{RequestLimits, TimeSpan};

/// The time to retry after, as a share of the window: by then a decrease of the rate shows, and part of the
/// retries that were counted against the budget have left the window.
const RETRY_AFTER_WINDOW_RATIO: f64 = 0.5;

/// When a rejected query may be sent again: after half the window, up to the configured maximum; zero (no
/// time is sent) where the configuration does not allow one.
pub(crate) fn retry_after(window: TimeSpan, limits: &RequestLimits) -> TimeSpan {
    if !limits.send_retry_after {
        return TimeSpan::ZERO;
    }
    // Zero would mean that no time is sent.
    window.mul_f64(RETRY_AFTER_WINDOW_RATIO).min(limits.max_retry_after).max(TimeSpan(1))
}

#[cfg(test)]
mod tests;
