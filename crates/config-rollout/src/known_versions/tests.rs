//! Tests of the bounds on remembered versions.

use super::{AcceptedNumbers, MAX_ACCEPTED_NUMBERS, MAX_WITHDRAWN_DIGESTS, WithdrawnContents};
use crate::rejection::RejectionReason;
use crate::version::{Digest, VersionId};
use rstest::rstest;

fn version(number: u64) -> VersionId {
    VersionId { number, digest: Digest::of(&number.to_be_bytes()) }
}

fn other_contents(number: u64) -> VersionId {
    VersionId { number, digest: Digest::of(b"other") }
}

#[rstest]
#[case(9, 9)]
#[case(2, 5)]
fn the_highest_number_outlives_the_process(#[case] stored: u64, #[case] expected: u64) {
    assert_eq!(AcceptedNumbers::new(version(5), stored).highest(), expected);
}

#[rstest]
fn the_highest_number_never_falls() {
    let mut accepted = AcceptedNumbers::new(version(5), 5);
    accepted.accept(version(3));
    assert_eq!(accepted.highest(), 5);
    accepted.raise_highest(4);
    assert_eq!(accepted.highest(), 5);
    accepted.accept(version(7));
    assert_eq!(accepted.highest(), 7);
}

#[rstest]
fn other_contents_under_a_known_number_conflict() {
    let accepted = AcceptedNumbers::new(version(5), 5);
    assert_eq!(accepted.conflicting_digest(other_contents(5)), Some(version(5).digest));
    assert_eq!(accepted.conflicting_digest(version(5)), None);
    assert_eq!(accepted.conflicting_digest(other_contents(6)), None);
}

/// A service that offers new numbers indefinitely must not exhaust the memory of the broker.
#[rstest]
fn the_lowest_numbers_are_evicted_first() {
    let mut accepted = AcceptedNumbers::new(version(0), 0);
    let last = MAX_ACCEPTED_NUMBERS as u64;
    (1..=last).for_each(|number| accepted.accept(version(number)));
    assert_eq!(accepted.conflicting_digest(other_contents(0)), None, "evicted");
    assert!(accepted.conflicting_digest(other_contents(1)).is_some());
    assert!(accepted.conflicting_digest(other_contents(last)).is_some());
}

#[rstest]
fn the_lowest_withdrawn_versions_are_evicted_first() {
    let mut withdrawn = WithdrawnContents::new(Vec::new());
    let reason = RejectionReason::ProcessEnded { ends: 3 };
    let last = MAX_WITHDRAWN_DIGESTS as u64;
    (0..=last).for_each(|number| withdrawn.withdraw(version(number), &reason));
    assert!(withdrawn.get(version(0).digest).is_none(), "evicted");
    assert!(withdrawn.get(version(1).digest).is_some());
    let newest = withdrawn.get(version(last).digest).unwrap();
    assert_eq!((newest.number, newest.reason.as_str()), (last, reason.to_string().as_str()));
    assert_eq!(withdrawn.to_persisted().len(), MAX_WITHDRAWN_DIGESTS);
}
