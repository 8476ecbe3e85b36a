//! The log event of a change of mode.

use crate::mode::Mode;
use std::fmt;

/// A change of mode, as the log tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ModeChange {
    /// A limited rate is admitted from now on.
    Overloaded {
        /// The rate, in shard requests a second.
        admitted_per_second: f64,
    },
    /// All queries are admitted again.
    Normal,
}

impl ModeChange {
    /// The event of a change between two modes; `None` where the mode is the same.
    pub fn between(previous: Mode, current: Mode, admitted_per_second: f64) -> Option<ModeChange> {
        match (previous, current) {
            (Mode::Normal, Mode::Overloaded) => Some(ModeChange::Overloaded { admitted_per_second }),
            (Mode::Overloaded, Mode::Normal) => Some(ModeChange::Normal),
            _ => None,
        }
    }
}

impl fmt::Display for ModeChange {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ModeChange::Overloaded { admitted_per_second } => {
                write!(
                    formatter,
                    "admission overloaded: {admitted_per_second:.0} shard requests a second admitted"
                )
            }
            ModeChange::Normal => formatter.write_str("admission normal: all admitted again"),
        }
    }
}

#[cfg(test)]
mod tests;
