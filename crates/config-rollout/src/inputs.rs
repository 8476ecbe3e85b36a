//! What a keeper hears.

use crate::probation::Sample;
use crate::version::VersionId;

/// A place in the list of control services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceNo(pub usize);

/// One stream to a service; a new number for each call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamNo(pub u64);

/// What a service marks its response with, unique on its stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Nonce(pub String);

/// What a response brought, once its contents were checked by whoever reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It can be taken over; the program holds its contents.
    Sound(VersionId),
    /// It can't, whatever the keeper thinks of its number.
    Broken { number: Option<u64>, why: String },
    /// The service has nothing for this installation.
    Nothing,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Begin.
    Start,
    /// The stream is up.
    Opened(StreamNo),
    /// It has ended, or never came up.
    Ended { stream: StreamNo, why: String },
    /// A response came on it.
    Came { stream: StreamNo, nonce: Nonce, offer: Offer },
    /// How what was taken under the running version ended, counted up since it was applied, and how many
    /// nodes are ready. Told at a steady pace.
    Counted(Sample),
    /// A moment that was asked for has come.
    Due,
}
