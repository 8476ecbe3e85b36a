//! Version history of a broker: the state machine that applies, confirms, withdraws and rejects versions.
//!
//! The events are the result of comparing an offer with the known versions
//! ([`offer_comparison`](crate::offer_comparison)) and the verdict of a probation ([`probation`](crate::probation)).
//! A transition table maps the state and the event to the next state and an action, and the action emits effects. An
//! offer is rejected if the comparison gave a rejection reason, and acknowledged otherwise. Each change is logged as
//! a [`LogEvent`].

use crate::effects::{Effect, LogEvent};
use crate::inputs::Offer;
use crate::known_versions::{AcceptedNumbers, WithdrawnContents};
use crate::offer_comparison::{Comparison, ComparisonInputs, compare_offer};
use crate::persisted_state::{PersistedState, ProbationAttempt};
use crate::rejection::{Rejection, RejectionReason};
use crate::rollout_state::RolloutState::{self, OnProbation, Settled};
use crate::rollout_state::VersionEvent::{self, Empty, Failed, Forked, Invalid, Newer, Older, Paused};
use crate::rollout_state::VersionEvent::{Proven, Renumbered, Reverted, Unchanged, Unproven, Withdrawn};
use crate::verdict::{UnprovenReason, Verdict};
use crate::version::VersionId;
use routing::Timestamp;

/// Details of the offer or the verdict that caused an event, for the action of the transition.
struct EventContext<'a> {
    now: Timestamp,
    /// The number of the offer, or of the running version if the event is a verdict.
    number: Option<u64>,
    /// The offered version, or the running version if the event is a verdict.
    version: Option<VersionId>,
    rejection: Option<&'a RejectionReason>,
    verdict: Option<&'a Verdict>,
}

type Action = fn(&mut VersionHistory, &EventContext, &mut Vec<Effect>);

/// A row of the transition table, which applies if `states` contains the current state and the event matches.
struct Transition {
    states: &'static [RolloutState],
    event: VersionEvent,
    /// The next state, or `None` if the state does not change.
    next: Option<RolloutState>,
    action: Action,
}

const fn row(
    states: &'static [RolloutState],
    event: VersionEvent,
    next: Option<RolloutState>,
    action: Action,
) -> Transition {
    Transition { states, event, next, action }
}

const ANY: &[RolloutState] = &[Settled, OnProbation];
const PROBATION: &[RolloutState] = &[OnProbation];

/// The transition table. The first matching row is taken; an event that matches no row is ignored.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    //  states     event       next               action
    row(ANY,       Invalid,    None,              VersionHistory::reject),
    row(ANY,       Withdrawn,  None,              VersionHistory::reject),
    row(ANY,       Forked,     None,              VersionHistory::reject),
    row(ANY,       Older,      None,              VersionHistory::reject),
    row(ANY,       Empty,      None,              VersionHistory::ignore),
    row(ANY,       Unchanged,  None,              VersionHistory::ignore),
    row(ANY,       Renumbered, None,              VersionHistory::renumber),
    row(PROBATION, Reverted,   Some(Settled),     VersionHistory::revert),
    row(ANY,       Newer,      Some(OnProbation), VersionHistory::apply),
    row(PROBATION, Proven,     Some(Settled),     VersionHistory::confirm),
    row(PROBATION, Unproven,   Some(Settled),     VersionHistory::confirm_unproven),
    row(PROBATION, Failed,     Some(Settled),     VersionHistory::withdraw),
    row(PROBATION, Paused,     None,              VersionHistory::log_pause),
];

/// A version is withdrawn after the process has ended this many times during its probation. A single end may have any
/// cause and does not withdraw the version.
const MAX_UNFINISHED_RUNS: u32 = 3;

/// The running version and the versions that were accepted, confirmed or withdrawn before it.
#[derive(Debug)]
pub struct VersionHistory {
    running: VersionId,
    since: Timestamp,
    state: RolloutState,
    /// The version that was confirmed last, which is the target of a rollback.
    confirmed: VersionId,
    accepted: AcceptedNumbers,
    withdrawn: WithdrawnContents,
    last_rejection: Option<Rejection>,
    /// The version on probation. After a restart, the version whose probation was interrupted.
    probation_attempt: Option<ProbationAttempt>,
    /// The reason why the probation of the running version ended without a verdict, if it did.
    unproven: Option<UnprovenReason>,
}

impl VersionHistory {
    /// Creates the history of a broker that runs the persisted confirmed version or its own file.
    pub fn new(persisted: PersistedState, now: Timestamp) -> VersionHistory {
        let PersistedState { confirmed, highest_accepted, withdrawn, probation_attempt } = persisted;
        let mut history = VersionHistory {
            running: confirmed,
            since: now,
            state: Settled,
            confirmed,
            accepted: AcceptedNumbers::new(confirmed, highest_accepted),
            withdrawn: WithdrawnContents::new(withdrawn),
            last_rejection: None,
            probation_attempt,
            unproven: None,
        };
        history.withdraw_after_repeated_crashes(now);
        history
    }

    /// Withdraws a version during whose probation the process ended [`MAX_UNFINISHED_RUNS`] times.
    ///
    /// A version that crashes the broker does not live long enough to fail its probation, and a broker that applied
    /// it after each restart would serve no queries. The attempts are counted in the persisted state, which is
    /// written before the version is applied. The withdrawal is reported as the last rejection in the broker's
    /// status. The drawback is that a harmless version is withdrawn if something else ended the process that often.
    fn withdraw_after_repeated_crashes(&mut self, now: Timestamp) {
        let attempt = self.probation_attempt.filter(|attempt| attempt.unfinished_runs >= MAX_UNFINISHED_RUNS);
        let Some(ProbationAttempt { version, unfinished_runs }) = attempt else { return };
        let reason = RejectionReason::ProcessEnded { ends: unfinished_runs };
        self.probation_attempt = None;
        self.accepted.raise_highest(version.number);
        self.withdrawn.withdraw(version, &reason);
        self.last_rejection = Some(Rejection { number: Some(version.number), reason, at: now });
    }

    /// Returns the state to persist across restarts.
    pub fn persisted_state(&self) -> PersistedState {
        PersistedState {
            confirmed: self.confirmed,
            highest_accepted: self.accepted.highest(),
            withdrawn: self.withdrawn.to_persisted(),
            probation_attempt: self.probation_attempt,
        }
    }

    /// Returns the version that the broker runs.
    pub fn running(&self) -> VersionId {
        self.running
    }

    /// Returns the time since which the broker has run the current contents.
    pub fn since(&self) -> Timestamp {
        self.since
    }

    /// Returns whether the running version is settled or on probation.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Returns the version that was confirmed last, which is the target of a rollback.
    pub fn confirmed(&self) -> VersionId {
        self.confirmed
    }

    /// Returns the highest number accepted so far, which never decreases.
    pub fn highest_accepted(&self) -> u64 {
        self.accepted.highest()
    }

    /// Returns the most recent rejection or withdrawal, or `None` if there has been none.
    pub fn last_rejection(&self) -> Option<&Rejection> {
        self.last_rejection.as_ref()
    }

    /// Returns the reason why the probation of the running version ended without a verdict, or `None` if it did not.
    pub fn unproven(&self) -> Option<UnprovenReason> {
        self.unproven
    }

    /// Compares an offer with the known versions, without changing the history.
    pub fn compare(&self, offer: &Offer) -> Comparison {
        let inputs = ComparisonInputs {
            running: self.running,
            confirmed: self.confirmed,
            on_probation: self.probation_attempt.map(|attempt| attempt.version),
            accepted: &self.accepted,
            withdrawn: &self.withdrawn,
        };
        compare_offer(offer, &inputs)
    }

    /// Handles an offer, given the result of [`VersionHistory::compare`] for the current history.
    pub fn handle_offer(&mut self, now: Timestamp, comparison: &Comparison, effects: &mut Vec<Effect>) {
        let Comparison { event, number, version, ref rejection } = *comparison;
        let context = EventContext { now, number, version, rejection: rejection.as_ref(), verdict: None };
        self.handle(event, &context, effects);
    }

    /// Handles the verdict of the probation on the running version.
    pub fn handle_verdict(&mut self, now: Timestamp, verdict: &Verdict, effects: &mut Vec<Effect>) {
        let event = match verdict {
            Verdict::Pending => return,
            Verdict::Proven => Proven,
            Verdict::Unproven(_) => Unproven,
            Verdict::Failed(_) => Failed,
            Verdict::Paused(_) => Paused,
        };
        let (number, version) = (Some(self.running.number), Some(self.running));
        let context = EventContext { now, number, version, rejection: None, verdict: Some(verdict) };
        self.handle(event, &context, effects);
    }

    /// Takes the first transition that matches the state and the event, and runs its action.
    fn handle(&mut self, event: VersionEvent, context: &EventContext, effects: &mut Vec<Effect>) {
        let mut rows = TRANSITIONS.iter();
        let transition = rows.find(|row| row.states.contains(&self.state) && row.event == event);
        let Some(transition) = transition else { return };
        self.state = transition.next.unwrap_or(self.state);
        (transition.action)(self, context, effects);
    }

    // Actions of the transition table.

    fn ignore(&mut self, _: &EventContext, _: &mut Vec<Effect>) {}

    fn reject(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let (number, Some(reason)) = (context.number, context.rejection.cloned()) else { return };
        // A rejection that repeats the last one is not logged again.
        let is_repeated = self
            .last_rejection
            .as_ref()
            .is_some_and(|last| last.number == number && last.reason.to_string() == reason.to_string());
        if !is_repeated {
            effects.push(Effect::Log(LogEvent::Rejected { number, reason: reason.clone() }));
        }
        self.last_rejection = Some(Rejection { number, reason, at: context.now });
    }

    fn apply(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let Some(version) = context.version else { return };
        self.accepted.accept(version);
        self.set_running(version, context.now);
        let earlier_runs = self
            .probation_attempt
            .filter(|attempt| attempt.version == version)
            .map_or(0, |attempt| attempt.unfinished_runs);
        self.probation_attempt = Some(ProbationAttempt { version, unfinished_runs: earlier_runs + 1 });
        // The attempt is persisted before the version is applied, so that it is counted even if the version ends the
        // process.
        effects.push(Effect::StoreState);
        effects.push(Effect::Apply(version));
        effects.push(Effect::Log(LogEvent::Applied(version)));
    }

    /// Gives the running contents a higher number. Nothing is applied, and contents that were confirmed stay
    /// confirmed.
    fn renumber(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let Some(version) = context.version else { return };
        self.accepted.accept(version);
        self.running = version;
        effects.push(Effect::Renumber(version));
        effects.push(Effect::Log(LogEvent::Renumbered(version)));
        if self.state == Settled {
            self.confirmed = version;
            effects.push(Effect::StoreContents(version));
        }
    }

    /// Handles an operator's return to the confirmed contents, which need no second probation.
    fn revert(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let Some(version) = context.version else { return };
        self.set_running(self.confirmed, context.now);
        self.probation_attempt = None;
        effects.push(Effect::RollBack(self.running));
        self.renumber(context, effects);
        debug_assert_eq!(self.confirmed, version);
    }

    fn confirm(&mut self, _: &EventContext, effects: &mut Vec<Effect>) {
        (self.confirmed, self.probation_attempt) = (self.running, None);
        effects.push(Effect::StoreContents(self.running));
        effects.push(Effect::Log(LogEvent::Confirmed(self.running)));
    }

    fn confirm_unproven(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let Some(Verdict::Unproven(reason)) = context.verdict else { return };
        (self.confirmed, self.probation_attempt) = (self.running, None);
        self.unproven = Some(*reason);
        effects.push(Effect::StoreContents(self.running));
        effects.push(Effect::Log(LogEvent::Unproven { version: self.running, reason: *reason }));
    }

    /// Rolls back to the version that was confirmed last, which needs no probation. The failed contents are not
    /// applied again under any number, so that a broker cannot alternate between the two versions.
    fn withdraw(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let Some(Verdict::Failed(failure)) = context.verdict else { return };
        let (withdrawn, reason) = (self.running, RejectionReason::from(*failure));
        self.withdrawn.withdraw(withdrawn, &reason);
        self.set_running(self.confirmed, context.now);
        self.last_rejection = Some(Rejection { number: Some(withdrawn.number), reason, at: context.now });
        self.probation_attempt = None;
        effects.push(Effect::RollBack(self.running));
        effects.push(Effect::StoreState);
        let (running, reason) = (self.running, *failure);
        effects.push(Effect::Log(LogEvent::Withdrawn { version: withdrawn, running, reason }));
    }

    fn log_pause(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let Some(Verdict::Paused(reason)) = context.verdict else { return };
        effects.push(Effect::Log(LogEvent::ProbationPaused { version: self.running, reason: *reason }));
    }

    /// Sets the running version and the time at which it started to run.
    fn set_running(&mut self, version: VersionId, now: Timestamp) {
        (self.running, self.since, self.unproven) = (version, now, None);
    }
}

#[cfg(test)]
mod tests;
