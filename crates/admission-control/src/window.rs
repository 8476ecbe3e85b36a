//! The sliding window over which load, demand and retries are counted, and the steps of the controller.

use routing::{SlidingWindow, TimeSpan};

/// The number of slices of the configured window. The counts of a slice are dropped together once it has left the
/// window.
const WINDOW_SLICES: usize = 10;

/// The number of steps of the controller in one window. The mode is evaluated once per slice.
pub(crate) const STEPS_PER_WINDOW: i64 = WINDOW_SLICES as i64;

/// A counter over the configured window.
pub(crate) type Window = SlidingWindow<WINDOW_SLICES>;

/// Converts a duration to seconds.
pub(crate) fn seconds(span: TimeSpan) -> f64 {
    span.as_ms() / 1000.0
}

/// Returns the time between two steps of the controller, which is at least a tenth of a millisecond.
pub(crate) fn step_length(window: TimeSpan) -> TimeSpan {
    TimeSpan((window.0 / STEPS_PER_WINDOW).max(1))
}

/// Returns the number of seconds covered by the window at `since_start` after the first turn. A controller that has
/// just started has counted for less than a window. The result is at least one step, so that a count is never divided
/// by zero.
pub(crate) fn observed_seconds(since_start: TimeSpan, window: TimeSpan) -> f64 {
    let observed_s = seconds(since_start.min(window));
    observed_s.max(seconds(window) / STEPS_PER_WINDOW as f64)
}

#[cfg(test)]
mod tests;
