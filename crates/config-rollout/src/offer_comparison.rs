//! How an offered version compares with what a broker knows: the event that the table of
//! [`VersionHistory`](crate::version_history::VersionHistory) is read by, and the reason of a rejection.
//!
//! Nothing is changed by a comparison. Brokers of one installation must not drift apart, and a service may
//! lose its state or fork: so a number never goes back, and a number never gets other contents.

use crate::inputs::Offer;
use crate::known_versions::{AcceptedNumbers, Withdrawal, WithdrawnContents};
use crate::rejection::RejectionReason;
use crate::rollout_state::VersionEvent;
use crate::version::VersionId;

/// An offer, compared with what is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// How it compares.
    pub event: VersionEvent,
    /// The offered number, where it could be read.
    pub number: Option<u64>,
    /// The offered version, where it is valid.
    pub version: Option<VersionId>,
    /// Why it is rejected, if it is.
    pub rejection: Option<RejectionReason>,
}

/// What an offered version is compared with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ComparisonInputs<'a> {
    /// The running version.
    pub running: VersionId,
    /// The version that was confirmed last.
    pub confirmed: VersionId,
    /// The version on probation when the process ended, or now.
    pub on_probation: Option<VersionId>,
    pub accepted: &'a AcceptedNumbers,
    pub withdrawn: &'a WithdrawnContents,
}

/// Compares an offer with what is known.
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

/// The first that applies. The order counts: withdrawn contents are reported as such under any number, and a
/// fork as a fork even where its number is old.
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
        // The process ended during this version's probation: it was accepted before, and is tried again.
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
