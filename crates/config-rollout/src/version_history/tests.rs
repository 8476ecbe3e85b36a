//! Tests of the state changes and effects of each event.

use super::{MAX_UNFINISHED_RUNS, VersionHistory};
use crate::effects::{Effect, LogEvent};
use crate::inputs::Offer;
use crate::persisted_state::{PersistedState, ProbationAttempt};
use crate::rejection::RejectionReason;
use crate::rollout_state::{RolloutState, VersionEvent};
use crate::verdict::{ProbationFailure, UnprovenReason, Verdict};
use crate::version::{Digest, VersionId};
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const NOW: Timestamp = Timestamp(10_000);
const FAILURE: ProbationFailure = ProbationFailure {
    failed: 9,
    ended: 10,
    observed: TimeSpan(10_000),
    failed_before: 0,
    ended_before: 100,
};

fn version(number: u64, contents: &str) -> VersionId {
    VersionId { number, digest: Digest::of(contents.as_bytes()) }
}

/// Returns the history of a broker that runs its own file.
fn own_file() -> VersionHistory {
    VersionHistory::new(PersistedState::of(version(0, "own")), NOW)
}

fn offer(history: &mut VersionHistory, offer: &Offer) -> Vec<Effect> {
    let mut effects = Vec::new();
    let comparison = history.compare(offer);
    history.handle_offer(NOW, &comparison, &mut effects);
    effects
}

fn offer_version(history: &mut VersionHistory, number: u64, contents: &str) -> Vec<Effect> {
    offer(history, &Offer::Valid(version(number, contents)))
}

fn verdict(history: &mut VersionHistory, verdict: &Verdict) -> Vec<Effect> {
    let mut effects = Vec::new();
    history.handle_verdict(NOW, verdict, &mut effects);
    effects
}

/// Returns the history of a broker that was restarted after its process ended during the probation of version 7.
fn restarted(unfinished_runs: u32) -> VersionHistory {
    let attempt = ProbationAttempt { version: version(7, "crashes"), unfinished_runs };
    let own = PersistedState::of(version(0, "own"));
    VersionHistory::new(PersistedState { probation_attempt: Some(attempt), ..own }, NOW)
}

/// A version crashes the process each time it is applied, before its probation reaches a verdict. After three crashes
/// the broker withdraws it at startup: it is the last rejection, its number is used up, and its contents are not
/// applied again.
#[rstest]
fn a_version_that_crashes_the_process_is_withdrawn() {
    let mut history = restarted(MAX_UNFINISHED_RUNS);
    let state = history.persisted_state();
    assert_eq!((state.probation_attempt, state.highest_accepted, state.withdrawn.len()), (None, 7, 1));
    let rejection = history.last_rejection().cloned().unwrap();
    let reason = RejectionReason::ProcessEnded { ends: MAX_UNFINISHED_RUNS };
    assert_eq!((rejection.number, rejection.reason, rejection.at), (Some(7), reason, NOW));
    assert_eq!(history.compare(&Offer::Valid(version(8, "crashes"))).event, VersionEvent::Withdrawn);
    offer_version(&mut history, 8, "fixed");
    assert_eq!(history.running(), version(8, "fixed"));
}

/// One or two ends of the process may have any cause. The version is applied again, and the count of its unfinished
/// runs continues.
#[rstest]
fn a_version_is_applied_again_after_fewer_crashes() {
    let mut history = restarted(MAX_UNFINISHED_RUNS - 1);
    offer_version(&mut history, 7, "crashes");
    assert_eq!(history.running(), version(7, "crashes"));
    let attempt = history.persisted_state().probation_attempt.unwrap();
    assert_eq!(attempt.unfinished_runs, MAX_UNFINISHED_RUNS);
}

/// The unfinished runs of one version must not be counted for the next.
#[rstest]
fn unfinished_runs_are_counted_for_each_version() {
    let mut history = restarted(MAX_UNFINISHED_RUNS - 1);
    offer_version(&mut history, 8, "other");
    let attempt = history.persisted_state().probation_attempt.unwrap();
    assert_eq!((attempt.version, attempt.unfinished_runs), (version(8, "other"), 1));
}

/// A service repeats an offer for hours. The offer is rejected each time but logged once. Another number or another
/// reason is logged again.
#[rstest]
#[case(1, "broken", 0)]
#[case(2, "broken", 1)]
#[case(1, "broken in another way", 1)]
fn a_repeated_rejection_is_logged_once(#[case] number: u64, #[case] reason: &str, #[case] lines: usize) {
    let invalid = |number, reason: &str| Offer::Invalid { number: Some(number), reason: reason.to_owned() };
    let mut history = own_file();
    assert_eq!(offer(&mut history, &invalid(1, "broken")).len(), 1);
    let effects = offer(&mut history, &invalid(number, reason));
    assert_eq!(effects.len(), lines, "{effects:?}");
    assert_eq!(history.last_rejection().unwrap().number, Some(number));
}

/// Contents on probation are given a new number, which does not confirm them. A rollback must still return to the
/// version that was confirmed.
#[rstest]
fn renumbering_confirms_nothing() {
    let mut history = own_file();
    offer_version(&mut history, 1, "new");
    let effects = offer_version(&mut history, 2, "new");
    let renumbered =
        [Effect::Renumber(version(2, "new")), Effect::Log(LogEvent::Renumbered(version(2, "new")))];
    assert_eq!(effects, renumbered, "nothing else must be stored");
    assert_eq!((history.running(), history.confirmed()), (version(2, "new"), version(0, "own")));
}

#[rstest]
fn a_settled_version_is_stored_under_its_new_number() {
    let mut history = own_file();
    let effects = offer_version(&mut history, 1, "own");
    assert!(effects.contains(&Effect::StoreContents(version(1, "own"))), "{effects:?}");
    assert_eq!(history.confirmed(), version(1, "own"));
}

/// The probation of a version has ended. If the attempt stayed in the persisted state, the broker would withdraw the
/// version after three restarts.
#[rstest]
#[case::proven(Verdict::Proven)]
#[case::unproven(Verdict::Unproven(UnprovenReason::Inconclusive))]
#[case::failed(Verdict::Failed(FAILURE))]
fn a_verdict_ends_the_attempt(#[case] conclusion: Verdict) {
    let mut history = own_file();
    offer_version(&mut history, 1, "new");
    assert!(history.persisted_state().probation_attempt.is_some());
    verdict(&mut history, &conclusion);
    assert_eq!((history.persisted_state().probation_attempt, history.state()), (None, RolloutState::Settled));
}

/// An operator's return to the confirmed contents during a probation must also clear the attempt.
#[rstest]
fn a_revert_ends_the_attempt() {
    let mut history = own_file();
    offer_version(&mut history, 1, "new");
    offer_version(&mut history, 2, "own");
    assert_eq!((history.persisted_state().probation_attempt, history.state()), (None, RolloutState::Settled));
    assert_eq!(history.running(), version(2, "own"));
}

/// The reason for a missing verdict must be reported for as long as the version runs.
#[rstest]
fn an_unproven_version_is_reported_until_another_runs() {
    let mut history = own_file();
    offer_version(&mut history, 1, "new");
    let reason = UnprovenReason::NodesFailing;
    let effects = verdict(&mut history, &Verdict::Unproven(reason));
    assert!(effects.contains(&Effect::StoreContents(version(1, "new"))), "{effects:?}");
    assert_eq!((history.unproven(), history.confirmed()), (Some(reason), version(1, "new")));
    offer_version(&mut history, 2, "newer");
    assert_eq!(history.unproven(), None);
}

/// The broker is killed directly after a rollback. The withdrawal must be persisted by then, or the version would be
/// applied again after the restart.
#[rstest]
fn a_withdrawal_is_stored_at_once() {
    let mut history = own_file();
    offer_version(&mut history, 1, "bad");
    let effects = verdict(&mut history, &Verdict::Failed(FAILURE));
    let own = version(0, "own");
    let log = LogEvent::Withdrawn { version: version(1, "bad"), running: own, reason: FAILURE };
    assert_eq!(effects, [Effect::RollBack(own), Effect::StoreState, Effect::Log(log)]);
    assert_eq!(history.persisted_state().withdrawn[0].version, version(1, "bad"));
}
