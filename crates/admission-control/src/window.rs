//! The sliding window over which load, demand and retries are counted, and the steps in which it moves.

use routing::{SlidingWindow, TimeSpan};

/// Slices of the configured window. What a slice has counted is forgotten as a whole once the window has
/// passed it.
const WINDOW_SLICES: usize = 10;

/// Steps of the controller in one window: the mode is judged once for each slice.
pub(crate) const STEPS_PER_WINDOW: i64 = WINDOW_SLICES as i64;

/// Counts over the configured window.
pub(crate) type Window = SlidingWindow<WINDOW_SLICES>;

/// A span in seconds.
pub(crate) fn seconds(span: TimeSpan) -> f64 {
    span.as_ms() / 1000.0
}

/// The time between two steps of the controller, at least a tenth of a millisecond.
pub(crate) fn step_length(window: TimeSpan) -> TimeSpan {
    TimeSpan((window.0 / STEPS_PER_WINDOW).max(1))
}

/// Seconds over which the window has counted, `since_start` after the first input: a controller that has
/// just started has counted for less than a window. One step at least, so that a rate is never a count
/// divided by nothing.
pub(crate) fn observed_seconds(since_start: TimeSpan, window: TimeSpan) -> f64 {
    let observed_s = seconds(since_start.min(window));
    observed_s.max(seconds(window) / STEPS_PER_WINDOW as f64)
}

#[cfg(test)]
mod tests;
