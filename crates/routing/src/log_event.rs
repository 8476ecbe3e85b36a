//! What the decisions have to say to whoever operates the broker.

use std::fmt;

/// A change worth a line in the log. The front end decides how it is written: `shard-broker` logs it with
/// structured fields, a simulator's wire takes the text that [`fmt::Display`] gives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// Pressure passed the design's threshold: light shard requests stay unsent from now on.
    CutoffActivated {
        /// The share of recent attempts that overload has cost, from 0 to 1.
        pressure: f64,
    },
    /// Pressure fell to the threshold or below it: all shard requests are sent again.
    CutoffDeactivated {
        /// The share of recent attempts that overload has cost, from 0 to 1.
        pressure: f64,
    },
    /// A query brought several nodes down and was quarantined: the same query is rejected for one deadline.
    QueryQuarantined {
        /// How many nodes dropped their connection while they executed it.
        lost_nodes: usize,
    },
    /// Admission control found the nodes overloaded and limits the rate from now on.
    AdmissionOverloaded {
        /// Shard requests that are admitted each second.
        admitted_per_s: f64,
    },
    /// Admission control admits everything again.
    AdmissionNormal,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::CutoffActivated { pressure } => {
                write!(formatter, "pressure {pressure:.2}: cutoff active, light shard requests stay unsent")
            }
            LogEvent::CutoffDeactivated { pressure } => {
                write!(formatter, "pressure {pressure:.2}: cutoff inactive, all shard requests are sent")
            }
            LogEvent::QueryQuarantined { lost_nodes } => {
                write!(formatter, "quarantined: {lost_nodes} nodes lost with a query")
            }
            LogEvent::AdmissionOverloaded { admitted_per_s } => {
                write!(
                    formatter,
                    "admission overloaded: {admitted_per_s:.0} shard requests a second admitted"
                )
            }
            LogEvent::AdmissionNormal => formatter.write_str("admission normal: all admitted again"),
        }
    }
}
