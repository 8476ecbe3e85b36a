//! Inputs that the program passes to the [`RolloutController`](crate::RolloutController).

use crate::sample::Sample;
use crate::version::VersionId;

/// Index into the list of configuration services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceIndex(pub usize);

/// Identifier of a stream to a service. Each connection attempt has a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// Nonce of a response, which is unique on its stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Nonce(pub String);

/// The version offered by a response, after the program has validated its contents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The version can be applied, and the program holds its contents.
    Valid(VersionId),
    /// The version cannot be read or applied.
    Invalid {
        /// The offered number, or `None` if it could not be read.
        number: Option<u64>,
        /// All errors found, as worded by the reader of the response.
        reason: String,
    },
    /// The service has no version for this installation.
    Empty,
}

/// An event that the controller handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The program has started.
    Start,
    /// The stream is open.
    StreamOpened(StreamId),
    /// The stream has ended, or the connection attempt failed.
    StreamEnded {
        /// The stream that ended.
        stream: StreamId,
        /// The error reported by the transport.
        reason: String,
    },
    /// A response arrived.
    ResponseReceived {
        /// The stream on which the response arrived.
        stream: StreamId,
        /// The nonce of the response.
        nonce: Nonce,
        /// The version that the response offered.
        offer: Offer,
    },
    /// Cumulative outcomes of the queries accepted under the running version since it was applied, and the number of
    /// ready nodes. The program passes this input at a fixed interval.
    OutcomesCounted(Sample),
    /// A time requested by [`Effect::WakeAt`](crate::Effect::WakeAt) was reached.
    TimerExpired,
}
