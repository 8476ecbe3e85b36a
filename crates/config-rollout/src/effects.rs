//! Effects that the [`RolloutController`](crate::RolloutController) requests from the program.

use crate::inputs::{Nonce, ServiceIndex, StreamId};
use crate::rejection::RejectionReason;
use crate::verdict::{NodeLoss, ProbationFailure, UnprovenReason};
use crate::version::VersionId;
use routing::Timestamp;

/// An action for the program. Effects are carried out in the order given, and all of them before the next input is
/// handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Opens a stream to a configuration service.
    Connect {
        /// The service to connect to.
        service: ServiceIndex,
        /// The id of the new stream.
        stream: StreamId,
    },
    /// Closes the stream. Events that still arrive on it are ignored.
    Disconnect {
        /// The stream to close.
        stream: StreamId,
    },
    /// Sends the first request on a stream, which subscribes to the versions of the installation.
    Subscribe {
        /// The stream that has just opened.
        stream: StreamId,
        /// The version that the broker runs.
        running: VersionId,
    },
    /// Acknowledges or rejects a response.
    Respond {
        /// The stream on which the response arrived.
        stream: StreamId,
        /// The nonce of the response.
        nonce: Nonce,
        /// The version that the broker runs.
        running: VersionId,
        /// The reason for the rejection, or `None` to acknowledge the response.
        rejection: Option<RejectionReason>,
    },
    /// Reports to the service that a version accepted earlier was withdrawn. The report is sent as a rejection of the
    /// newest nonce.
    ReportWithdrawal {
        /// The open stream.
        stream: StreamId,
        /// The newest nonce that was answered on the stream.
        nonce: Nonce,
        /// The version that the broker runs after the rollback.
        running: VersionId,
        /// The counts by which the withdrawn version failed.
        reason: ProbationFailure,
    },
    /// Applies the version that was last offered as valid: new queries are accepted under it.
    Apply(VersionId),
    /// Gives the running contents a new number.
    Renumber(VersionId),
    /// Applies the version that was confirmed last again: new queries are accepted under it.
    RollBack(VersionId),
    /// Stores the contents of the confirmed version, for rollbacks and restarts.
    StoreContents(VersionId),
    /// Stores the [`PersistedState`](crate::PersistedState) before the next effect is carried out.
    StoreState,
    /// Requests an [`Input::TimerExpired`](crate::Input::TimerExpired) at this time.
    WakeAt(Timestamp),
    /// Writes an event to the log.
    Log(LogEvent),
}

/// An event to log for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A version was applied and is on probation.
    Applied(VersionId),
    /// The running contents were given a new number.
    Renumbered(VersionId),
    /// A version passed its probation.
    Confirmed(VersionId),
    /// A probation ended without a verdict, and the version remains in use.
    Unproven {
        /// The version that remains in use.
        version: VersionId,
        /// The reason why there is no verdict.
        reason: UnprovenReason,
    },
    /// An offer was rejected.
    Rejected {
        /// The offered number, or `None` if it could not be read.
        number: Option<u64>,
        /// The reason for the rejection.
        reason: RejectionReason,
    },
    /// A version failed its probation and was rolled back.
    Withdrawn {
        /// The version that failed.
        version: VersionId,
        /// The version that the broker runs after the rollback.
        running: VersionId,
        /// The counts by which the version failed.
        reason: ProbationFailure,
    },
    /// The probation was paused because nodes are failing.
    ProbationPaused {
        /// The version on probation.
        version: VersionId,
        /// The counts that indicate failing nodes.
        reason: NodeLoss,
    },
    /// A service responded for the first time, or again after it was unreachable.
    ServiceReached(ServiceIndex),
    /// A service cannot be reached. This is logged once until the service responds.
    ServiceUnreachable {
        /// The service that is unreachable.
        service: ServiceIndex,
        /// The error reported by the transport.
        reason: String,
    },
}
