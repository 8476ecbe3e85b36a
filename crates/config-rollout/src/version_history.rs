//! What a broker runs, and how it got there: the table of rollout states, and what is done on each event.
//!
//! An offer is compared with what is known ([`offer_comparison`](crate::offer_comparison)) and the probation
//! gives its verdict ([`probation`](crate::probation)); either is an event, which the table turns into the
//! next state and effects. An offer with a rejection reason is rejected, every other is acknowledged. Each
//! change shows as a log event ([`LogEvent`]).

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

/// What an action needs of the offer or the verdict that caused it.
struct EventContext<'a> {
    now: Timestamp,
    /// The offered number, or that of the running version.
    number: Option<u64>,
    /// The offered version, or the running one.
    version: Option<VersionId>,
    rejection: Option<&'a RejectionReason>,
    verdict: Option<&'a Verdict>,
}

type Action = fn(&mut VersionHistory, &EventContext, &mut Vec<Effect>);

/// In one of these states, on the event: the next state, and what is done.
struct Transition {
    states: &'static [RolloutState],
    event: VersionEvent,
    /// `None`: the state stays as it is.
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

/// The row that fits is taken; where none fits, nothing happens.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    //  states     event       next               action
    row(ANY,       Invalid,    None,              VersionHistory::reject),
    row(ANY,       Withdrawn,  None,              VersionHistory::reject),
    row(ANY,       Forked,     None,              VersionHistory::reject),
    row(ANY,       Older,      None,              VersionHistory::reject),
    row(ANY,       Empty,      None,              VersionHistory::do_nothing),
    row(ANY,       Unchanged,  None,              VersionHistory::do_nothing),
    row(ANY,       Renumbered, None,              VersionHistory::renumber),
    row(PROBATION, Reverted,   Some(Settled),     VersionHistory::revert),
    row(ANY,       Newer,      Some(OnProbation), VersionHistory::apply),
    row(PROBATION, Proven,     Some(Settled),     VersionHistory::confirm),
    row(PROBATION, Unproven,   Some(Settled),     VersionHistory::confirm_unproven),
    row(PROBATION, Failed,     Some(Settled),     VersionHistory::withdraw),
    row(PROBATION, Paused,     None,              VersionHistory::log_pause),
];

/// A version during whose probation the process ended this often is not tried again. One end may have any
/// cause.
const MAX_UNFINISHED_RUNS: u32 = 3;

/// The running version, and what is known of those before it.
#[derive(Debug)]
pub struct VersionHistory {
    running: VersionId,
    since: Timestamp,
    state: RolloutState,
    /// The last one confirmed; what a roll-back goes to.
    confirmed: VersionId,
    accepted: AcceptedNumbers,
    withdrawn: WithdrawnContents,
    last_rejection: Option<Rejection>,
    /// The version on probation; after a restart, the one whose probation the last process did not finish.
    probation_attempt: Option<ProbationAttempt>,
    /// The running version's probation ended without a verdict, and why.
    unproven: Option<UnprovenReason>,
}

impl VersionHistory {
    /// The history of a broker that runs what it confirmed last: its own file, or what it stored earlier.
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
        history.withdraw_after_repeated_ends(now);
        history
    }

    /// Withdraws a version during whose probation the process ended [`MAX_UNFINISHED_RUNS`] times. A version
    /// that crashes the broker is never judged by its probation, and a broker that applied it after each
    /// restart would serve nobody. The attempts are counted in the stored state, which is written before the
    /// version is applied. It shows as the last rejection in the broker's status. The cost is that a harmless
    /// version is withdrawn where something else ended the process that often.
    fn withdraw_after_repeated_ends(&mut self, now: Timestamp) {
        let attempt = self.probation_attempt.filter(|attempt| attempt.unfinished_runs >= MAX_UNFINISHED_RUNS);
        let Some(ProbationAttempt { version, unfinished_runs }) = attempt else { return };
        let reason = RejectionReason::ProcessEnded { ends: unfinished_runs };
        self.probation_attempt = None;
        self.accepted.raise_highest(version.number);
        self.withdrawn.withdraw(version, &reason);
        self.last_rejection = Some(Rejection { number: Some(version.number), reason, at: now });
    }

    /// What must outlive the process.
    pub fn persisted_state(&self) -> PersistedState {
        PersistedState {
            confirmed: self.confirmed,
            highest_accepted: self.accepted.highest(),
            withdrawn: self.withdrawn.to_persisted(),
            probation_attempt: self.probation_attempt,
        }
    }

    /// The running version.
    pub fn running(&self) -> VersionId {
        self.running
    }

    /// Since when it runs.
    pub fn since(&self) -> Timestamp {
        self.since
    }

    /// Whether it is on probation.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// The version that was confirmed last.
    pub fn confirmed(&self) -> VersionId {
        self.confirmed
    }

    /// The highest number accepted; it never falls.
    pub fn highest_accepted(&self) -> u64 {
        self.accepted.highest()
    }

    /// The last version that was rejected or withdrawn.
    pub fn last_rejection(&self) -> Option<&Rejection> {
        self.last_rejection.as_ref()
    }

    /// Why the running version's probation ended without a verdict, if it did.
    pub fn unproven(&self) -> Option<UnprovenReason> {
        self.unproven
    }

    /// How an offer compares with what is known.
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

    /// Handles an offer that was compared just now.
    pub fn handle_offer(&mut self, now: Timestamp, comparison: &Comparison, effects: &mut Vec<Effect>) {
        let Comparison { event, number, version, ref rejection } = *comparison;
        let context = EventContext { now, number, version, rejection: rejection.as_ref(), verdict: None };
        self.handle(event, &context, effects);
    }

    /// Handles the probation's verdict on the running version.
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

    /// Takes the row of `TRANSITIONS` that fits.
    fn handle(&mut self, event: VersionEvent, context: &EventContext, effects: &mut Vec<Effect>) {
        let mut rows = TRANSITIONS.iter();
        let transition = rows.find(|row| row.states.contains(&self.state) && row.event == event);
        let Some(transition) = transition else { return };
        self.state = transition.next.unwrap_or(self.state);
        (transition.action)(self, context, effects);
    }

    // ---- actions

    fn do_nothing(&mut self, _: &EventContext, _: &mut Vec<Effect>) {}

    fn reject(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let (number, Some(reason)) = (context.number, context.rejection.cloned()) else { return };
        // Logged once while a service repeats itself.
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
        self.run(version, context.now);
        let earlier_runs = self
            .probation_attempt
            .filter(|attempt| attempt.version == version)
            .map_or(0, |attempt| attempt.unfinished_runs);
        self.probation_attempt = Some(ProbationAttempt { version, unfinished_runs: earlier_runs + 1 });
        // Stored before it is applied, so that one that ends the process is known after the restart.
        effects.push(Effect::StoreState);
        effects.push(Effect::Apply(version));
        effects.push(Effect::Log(LogEvent::Applied(version)));
    }

    /// The same contents under a higher number: nothing is applied, and what was proven stays so.
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

    /// An operator goes back: what was confirmed needs no second probation.
    fn revert(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let Some(version) = context.version else { return };
        self.run(self.confirmed, context.now);
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

    /// Rolls back to the last confirmed version. It needs no probation, and the contents that failed are
    /// not applied again under any number, so that a broker can't alternate between the two.
    fn withdraw(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let Some(Verdict::Failed(failure)) = context.verdict else { return };
        let (withdrawn, reason) = (self.running, RejectionReason::from(*failure));
        self.withdrawn.withdraw(withdrawn, &reason);
        self.run(self.confirmed, context.now);
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

    /// The running version is this one from now on.
    fn run(&mut self, version: VersionId, now: Timestamp) {
        (self.running, self.since, self.unproven) = (version, now, None);
    }
}

#[cfg(test)]
mod tests;
