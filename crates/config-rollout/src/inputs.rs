//! What the program around it gives the [`RolloutController`](crate::RolloutController) to handle.

use crate::sample::Sample;
use crate::version::VersionId;

/// An index into the list of configuration services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceIndex(pub usize);

/// One stream to a service; each connection attempt has a new id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// A service's mark of one response, unique on its stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Nonce(pub String);

/// What a response offered, once its contents were checked by the program that read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It can be applied; the program holds its contents.
    Valid(VersionId),
    /// It can't be read or applied.
    Invalid {
        /// The offered number, where it could be read.
        number: Option<u64>,
        /// All that is wrong, as the reader of the response words it.
        reason: String,
    },
    /// The service has no version for this installation.
    Empty,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The program starts.
    Start,
    /// The stream is open.
    StreamOpened(StreamId),
    /// The stream has ended, or never opened.
    StreamEnded {
        /// Which stream.
        stream: StreamId,
        /// The transport's error.
        reason: String,
    },
    /// A response arrived.
    ResponseReceived {
        /// The stream that it arrived on.
        stream: StreamId,
        /// Its nonce.
        nonce: Nonce,
        /// What it offered.
        offer: Offer,
    },
    /// How queries accepted under the running version ended, counted since it was applied, and how many
    /// nodes are ready. Given at a steady interval.
    OutcomesCounted(Sample),
    /// A time requested by [`Effect::WakeAt`](crate::Effect::WakeAt) has come.
    TimerExpired,
}
