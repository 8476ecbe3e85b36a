//! Events that the broker reports to its operators.

use std::fmt;

/// Event for the broker's log. The front end chooses the format: `shard-broker` logs structured fields, and the
/// simulator adapter sends the text of the [`fmt::Display`] implementation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// Pressure has risen above the threshold, so shard requests of low weight are no longer sent.
    CutoffActivated {
        /// Fraction of recent shard requests, from 0 to 1, that nodes rejected as overloaded, that timed out, or
        /// that this broker rejected.
        pressure: f64,
    },
    /// Pressure has fallen to the threshold or below, so all shard requests are sent again.
    CutoffDeactivated {
        /// Fraction of recent shard requests, from 0 to 1, that nodes rejected as overloaded, that timed out, or
        /// that this broker rejected.
        pressure: f64,
    },
    /// A query made several nodes fail, so queries with the same signature are rejected for the deadline of
    /// its class.
    QueryQuarantined {
        /// Number of nodes that dropped the connection while they executed the query.
        lost_nodes: usize,
    },
    /// Admission control has detected overloaded nodes and now limits the admitted rate.
    AdmissionOverloaded {
        /// Number of shard requests that are admitted per second.
        admitted_per_s: f64,
    },
    /// Admission control has lifted its limit on the admitted rate.
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
