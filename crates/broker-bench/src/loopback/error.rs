//! Errors of a run on sockets.

use broker::StartupError;
use std::fmt;
use std::io;
use thiserror::Error;

/// An error that ends a run on sockets without results.
#[derive(Debug, Error)]
pub enum LoopbackError {
    /// A socket could not be opened or used.
    #[error("failed to open or use a socket: {0}")]
    Io(#[from] io::Error),
    /// A broker did not start with its settings.
    #[error("broker can't start with the generated settings: {0}")]
    Settings(#[source] StartupError),
    /// The parties did not become idle within the timeout, as on a machine that is too busy.
    #[error(
        "at {at_ms} ms of the run, brokers, nodes and clients were not idle within {timeout_s} s; pending: {pending}; the machine may be too busy"
    )]
    SettleTimeout {
        /// Time of the run, in milliseconds.
        at_ms: f64,
        /// The timeout on the machine's clock, in seconds.
        timeout_s: f64,
        /// The kind of work that was still pending.
        pending: PendingWork,
    },
}

/// A kind of work that is pending between the parties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingWork {
    /// A query or a response is in flight between a client and a broker.
    QueryOrResponse,
    /// An attempt, its result or its cancellation is in flight between a broker and a node.
    Attempt,
    /// A broker's watch of the endpoint list is not waiting at discovery.
    EndpointListUpdate,
    /// The counts agree, but brokers and nodes differ in the attempts in flight.
    AttemptMismatch,
}

impl fmt::Display for PendingWork {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            PendingWork::QueryOrResponse => "a query or a response",
            PendingWork::Attempt => "an attempt, a result or a cancellation",
            PendingWork::EndpointListUpdate => "an update of the endpoint list",
            PendingWork::AttemptMismatch => "different attempts in flight at brokers and nodes",
        })
    }
}
