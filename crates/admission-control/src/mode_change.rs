//! The log event for a change of mode.

use crate::mode::Mode;
use routing::LogEvent;

/// Returns the log event for a change between two modes, or `None` if the mode is unchanged. `admitted_per_s` is the
/// new admitted rate in shard requests per second.
pub(crate) fn mode_change(previous: Mode, current: Mode, admitted_per_s: f64) -> Option<LogEvent> {
    match (previous, current) {
        (Mode::Normal, Mode::Overloaded) => Some(LogEvent::AdmissionOverloaded { admitted_per_s }),
        (Mode::Overloaded, Mode::Normal) => Some(LogEvent::AdmissionNormal),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
