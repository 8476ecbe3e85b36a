//! Tests of each result of a comparison, and of the order of the checks.

use super::{ComparisonInputs, compare_offer};
use crate::inputs::Offer;
use crate::known_versions::{AcceptedNumbers, WithdrawnContents};
use crate::rejection::RejectionReason;
use crate::rollout_state::VersionEvent;
use crate::version::{Digest, VersionId};
use rstest::rstest;

fn version(number: u64, contents: &str) -> VersionId {
    VersionId { number, digest: Digest::of(contents.as_bytes()) }
}

/// Compares an offer for a broker that confirmed version 4, runs version 6 on probation and withdrew version 5. Its
/// last process ended while version 3 was on probation.
fn compare(number: u64, contents: &str) -> VersionEvent {
    let mut accepted = AcceptedNumbers::new(version(4, "confirmed"), 4);
    accepted.accept(version(5, "withdrawn"));
    accepted.accept(version(6, "running"));
    let mut withdrawn = WithdrawnContents::new(Vec::new());
    withdrawn.withdraw(version(5, "withdrawn"), &RejectionReason::ProcessEnded { ends: 3 });
    let inputs = ComparisonInputs {
        running: version(6, "running"),
        confirmed: version(4, "confirmed"),
        on_probation: Some(version(3, "interrupted")),
        accepted: &accepted,
        withdrawn: &withdrawn,
    };
    let comparison = compare_offer(&Offer::Valid(version(number, contents)), &inputs);
    let is_rejected = matches!(
        comparison.event,
        VersionEvent::Withdrawn | VersionEvent::Forked | VersionEvent::Older | VersionEvent::Invalid
    );
    assert_eq!(comparison.rejection.is_some(), is_rejected, "{comparison:?}");
    comparison.event
}

#[rstest]
#[case(6, "running", VersionEvent::Unchanged)]
#[case(7, "running", VersionEvent::Renumbered)]
#[case(7, "confirmed", VersionEvent::Reverted)]
#[case(7, "new", VersionEvent::Newer)]
#[case(2, "new", VersionEvent::Older)]
#[case(4, "confirmed", VersionEvent::Older)]
#[case(2, "running", VersionEvent::Older)]
#[case(6, "new", VersionEvent::Forked)]
#[case(4, "new", VersionEvent::Forked)]
#[case(5, "withdrawn", VersionEvent::Withdrawn)]
#[case(6, "withdrawn", VersionEvent::Withdrawn)]
#[case(7, "withdrawn", VersionEvent::Withdrawn)]
fn a_valid_offer_compares_by_number_and_contents(
    #[case] number: u64,
    #[case] contents: &str,
    #[case] expected: VersionEvent,
) {
    assert_eq!(compare(number, contents), expected);
}

/// After a restart the highest accepted number is known without its contents. Other contents offered under exactly
/// this number must be rejected.
#[rstest]
fn the_highest_number_itself_is_older() {
    let (own, accepted) = (version(4, "own"), AcceptedNumbers::new(version(4, "own"), 9));
    let withdrawn = WithdrawnContents::new(Vec::new());
    let inputs = ComparisonInputs {
        running: own,
        confirmed: own,
        on_probation: None,
        accepted: &accepted,
        withdrawn: &withdrawn,
    };
    let compare = |number| compare_offer(&Offer::Valid(version(number, "new")), &inputs).event;
    assert_eq!((compare(9), compare(10)), (VersionEvent::Older, VersionEvent::Newer));
}

/// The process ended while a version was on probation, and the service offers it again. Although its number was
/// accepted before, it must be applied again rather than rejected as older.
#[rstest]
fn a_version_whose_probation_was_interrupted_is_applied_again() {
    assert_eq!(compare(3, "interrupted"), VersionEvent::Newer);
}
