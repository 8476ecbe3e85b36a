//! Why a day on sockets has no figure.

use broker::StartupError;
use std::fmt;
use std::io;
use thiserror::Error;

/// Why a day on sockets has no figure.
#[derive(Debug, Error)]
pub enum LoopbackError {
    /// A socket could not be opened or used.
    #[error("sockets: {0}")]
    Io(#[from] io::Error),
    /// A broker does not start from its settings.
    #[error("the brokers' settings: {0}")]
    Settings(#[source] StartupError),
    /// The parties did not become idle in time.
    #[error(
        "the machine was too busy: at {at_ms} ms of the day the parties did not come to rest within {timeout_s} s ({pending})"
    )]
    SettleTimeout {
        /// The time of the day, in milliseconds.
        at_ms: f64,
        /// How long it was waited, by the machine's clock, in seconds.
        timeout_s: f64,
        /// What was still under way.
        pending: PendingWork,
    },
}

/// What is under way between the parties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingWork {
    /// Between clients and brokers.
    QueryOrResponse,
    /// Between brokers and nodes: an attempt, its result, or its cancellation.
    Attempt,
    /// Between brokers and discovery.
    EndpointListUpdate,
    /// Nothing is under way by the counts, and yet brokers and nodes do not have the same attempts in flight.
    DifferentAttempts,
}

impl fmt::Display for PendingWork {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            PendingWork::QueryOrResponse => "a query or a response",
            PendingWork::Attempt => "an attempt, a result or a cancellation",
            PendingWork::EndpointListUpdate => "an update of the endpoint list",
            PendingWork::DifferentAttempts => "brokers and nodes differ in the attempts in flight",
        })
    }
}
