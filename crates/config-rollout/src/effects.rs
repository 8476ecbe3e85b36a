//! What the [`RolloutController`](crate::RolloutController) requests of the program around it.

use crate::inputs::{Nonce, ServiceIndex, StreamId};
use crate::rejection::RejectionReason;
use crate::verdict::{NodeLoss, ProbationFailure, UnprovenReason};
use crate::version::VersionId;
use routing::Timestamp;

/// One action. Effects are carried out in the order given, all of them before the next input is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Open a stream to a configuration service, under this id.
    Connect {
        /// Which service.
        service: ServiceIndex,
        /// The id of the new stream.
        stream: StreamId,
    },
    /// Close the stream; nothing that still arrives on it counts.
    Disconnect {
        /// The stream to close.
        stream: StreamId,
    },
    /// Ask for the installation's version.
    Subscribe {
        /// The stream that has just opened.
        stream: StreamId,
        /// What the broker runs.
        running: VersionId,
    },
    /// Acknowledge the response with this nonce, or reject it with a reason.
    Respond {
        /// The stream that the response came on.
        stream: StreamId,
        /// The nonce of the response.
        nonce: Nonce,
        /// What the broker runs.
        running: VersionId,
        /// Why the response is rejected; `None` acknowledges it.
        rejection: Option<RejectionReason>,
    },
    /// Report, on the newest nonce of the stream, that a version accepted earlier is no longer run.
    ReportWithdrawal {
        /// The open stream.
        stream: StreamId,
        /// The newest nonce that was answered on it.
        nonce: Nonce,
        /// What the broker runs instead.
        running: VersionId,
        /// What the withdrawn version did.
        reason: ProbationFailure,
    },
    /// Accept queries under this version from now on; it is the one that was last offered as valid.
    Apply(VersionId),
    /// The running contents have a new number.
    Renumber(VersionId),
    /// Accept queries under this version, the last confirmed one, again.
    RollBack(VersionId),
    /// This version is confirmed: store its contents, for a roll-back and for a restart.
    StoreContents(VersionId),
    /// Store the [`PersistedState`](crate::PersistedState) before the next effect is carried out.
    StoreState,
    /// Handle [`Input::TimerExpired`](crate::Input::TimerExpired) at this time.
    WakeAt(Timestamp),
    /// Write this event to the log.
    Log(LogEvent),
}

/// What is logged for an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A version was applied and is on probation.
    Applied(VersionId),
    /// The running contents got a new number.
    Renumbered(VersionId),
    /// A version passed its probation.
    Confirmed(VersionId),
    /// A version's probation is over without a verdict; the version stays.
    Unproven {
        /// The version.
        version: VersionId,
        /// Why there is no verdict.
        reason: UnprovenReason,
    },
    /// An offer was rejected.
    Rejected {
        /// The offered number, where it could be read.
        number: Option<u64>,
        /// Why.
        reason: RejectionReason,
    },
    /// A version failed its probation and was rolled back.
    Withdrawn {
        /// The version that failed.
        version: VersionId,
        /// What runs instead.
        running: VersionId,
        /// What it did.
        reason: ProbationFailure,
    },
    /// The probation pauses: nodes are failing.
    ProbationPaused {
        /// The version on probation.
        version: VersionId,
        /// What shows that nodes are failing.
        reason: NodeLoss,
    },
    /// A service responded.
    ServiceReached(ServiceIndex),
    /// A service that had been reached, or was to be for the first time, can't be; logged once until it
    /// can.
    ServiceUnreachable {
        /// Which service.
        service: ServiceIndex,
        /// The transport's error.
        reason: String,
    },
}
