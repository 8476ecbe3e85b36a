//! What a keeper does.

use crate::inputs::{Nonce, ServiceNo, StreamNo};
use crate::version::VersionId;
use routing::Tenths;

/// One thing to do, in the order given, and before the next input is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Open a stream to a service, under this number.
    Call {
        service: ServiceNo,
        stream: StreamNo,
    },
    /// End it; nothing that still comes on it counts.
    HangUp {
        stream: StreamNo,
    },
    /// Ask for the installation's version; `runs` is what the broker runs.
    Subscribe {
        stream: StreamNo,
        runs: VersionId,
    },
    /// Answer the response with this nonce: accepted, or turned down with a reason.
    Answer {
        stream: StreamNo,
        nonce: Nonce,
        runs: VersionId,
        refusal: Option<String>,
    },
    /// Tell that a version which was accepted earlier is no longer run, on the newest nonce of the stream.
    TellWithdrawn {
        stream: StreamNo,
        nonce: Nonce,
        runs: VersionId,
        why: String,
    },
    /// Take queries under this version from now on; it was the last one offered as sound.
    Apply(VersionId),
    /// The same contents have a new number.
    Relabel(VersionId),
    /// Take queries under the last confirmed version again.
    PutBack(VersionId),
    /// This version is confirmed: keep its contents, for a withdrawal and for a restart.
    Keep(VersionId),
    /// Write down [`crate::PersistedState`], before what comes next is done.
    Remember,
    /// Be told `Due` at this moment.
    WakeAt(Tenths),
    Say(LogEvent),
}

/// What the log is told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    Applied(VersionId),
    Relabelled(VersionId),
    Confirmed(VersionId),
    /// Its trial is over without a verdict, for this reason; it stays.
    Unproven(VersionId, String),
    TurnedDown {
        number: Option<u64>,
        why: String,
    },
    Withdrawn {
        version: VersionId,
        runs: VersionId,
        why: String,
    },
    /// The trial makes a pause: something else is wrong.
    Clouded(VersionId, String),
    Reached(ServiceNo),
    /// A service that had been reached, or was to be for the first time, can't be; told once until it can.
    Gone {
        service: ServiceNo,
        why: String,
    },
}
