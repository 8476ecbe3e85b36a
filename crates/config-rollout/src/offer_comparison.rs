//! Comparison of an offer with the known versions. The result is the event for the transition table of
//! [`VersionHistory`](crate::version_history::VersionHistory) and the reason for a rejection.
//!
//! A comparison changes no state. All brokers of an installation must run the same contents under a number even if a
//! service loses its state or forks. A broker therefore never accepts a lower number, or other contents under a known
//! number.

use crate::inputs::Offer;
use crate::known_versions::{AcceptedNumbers, Withdrawal, WithdrawnContents};
use crate::rejection::RejectionReason;
use crate::rollout_state::VersionEvent;
use crate::version::VersionId;

/// Result of comparing an offer with the known versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// The event that the comparison results in.
    pub event: VersionEvent,
    /// The offered number, or `None` if it could not be read or nothing was offered.
    pub number: Option<u64>,
    /// The offered version, or `None` if the offer is not valid.
    pub version: Option<VersionId>,
    /// The reason for the rejection, or `None` if the offer is not rejected.
    pub rejection: Option<RejectionReason>,
}

/// The known versions with which an offer is compared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ComparisonInputs<'a> {
    /// The version that the broker runs.
    pub running: VersionId,
    /// The version that was confirmed last.
    pub confirmed: VersionId,
    /// The version on probation, now or when the last process ended.
    pub on_probation: Option<VersionId>,
    pub accepted: &'a AcceptedNumbers,
    pub withdrawn: &'a WithdrawnContents,
}

/// Compares an offer with the known versions.
pub(crate) fn compare_offer(offer: &Offer, inputs: &ComparisonInputs) -> Comparison {
    match offer {
        Offer::Empty => {
            Comparison { event: VersionEvent::Empty, number: None, version: None, rejection: None }
        }
        Offer::Invalid { number, reason } => {
            let rejection = Some(RejectionReason::Invalid(reason.clone()));
            Comparison { event: VersionEvent::Invalid, number: *number, version: None, rejection }
        }
        Offer::Valid(version) => {
            let (event, rejection) = compare_version(*version, inputs);
            Comparison { event, number: Some(version.number), version: Some(*version), rejection }
        }
    }
}

/// Returns the first matching event. The order matters: withdrawn contents are reported as withdrawn under any
/// number, and a fork is reported as a fork even if its number is old.
fn compare_version(version: VersionId, inputs: &ComparisonInputs) -> (VersionEvent, Option<RejectionReason>) {
    let VersionId { number, digest } = version;
    if version == inputs.running {
        return (VersionEvent::Unchanged, None);
    }
    if let Some(Withdrawal { number, reason }) = inputs.withdrawn.get(digest).cloned() {
        return (VersionEvent::Withdrawn, Some(RejectionReason::Withdrawn { number, reason }));
    }
    if let Some(known) = inputs.accepted.conflicting_digest(version) {
        return (VersionEvent::Forked, Some(RejectionReason::Forked { number, known, offered: digest }));
    }
    if inputs.on_probation == Some(version) {
        // The process ended during the probation of this version, which was accepted before, so that it is applied
        // again.
        return (VersionEvent::Newer, None);
    }
    let highest = inputs.accepted.highest();
    if number <= highest {
        return (VersionEvent::Older, Some(RejectionReason::Older { number, highest }));
    }
    if digest == inputs.running.digest {
        return (VersionEvent::Renumbered, None);
    }
    if digest == inputs.confirmed.digest {
        return (VersionEvent::Reverted, None);
    }
    (VersionEvent::Newer, None)
}

#[cfg(test)]
mod tests;
