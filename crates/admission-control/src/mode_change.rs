//! The log event of a change of mode.

use crate::mode::Mode;
use routing::LogEvent;

/// The event of a change between two modes, with the rate that is admitted from now on in shard requests a
/// second; `None` where the mode is the same.
pub(crate) fn mode_change(previous: Mode, current: Mode, admitted_per_s: f64) -> Option<LogEvent> {
    match (previous, current) {
        (Mode::Normal, Mode::Overloaded) => Some(LogEvent::AdmissionOverloaded { admitted_per_s }),
        (Mode::Overloaded, Mode::Normal) => Some(LogEvent::AdmissionNormal),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
