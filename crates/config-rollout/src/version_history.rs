//! What a broker runs, and how each offer is answered. Guards against brokers that drift apart, against a
//! service that lost its state or forked, and against a version that is applied twice.

use crate::effects::{Effect, LogEvent};
use crate::inputs::Offer;
use crate::persisted_state::{PersistedState, ProbationAttempt, WithdrawnVersion};
use crate::rejection::{Rejection, RejectionReason};
use crate::verdict::{UnprovenReason, Verdict};
use crate::version::{Digest, VersionId};
use RolloutState::{OnProbation, Settled};
use VersionEvent::{Empty, Failed, Forked, Invalid, Newer, Older, Paused, Proven, Renumbered, Reverted};
use VersionEvent::{Unchanged, Unproven, Withdrawn};
use routing::Tenths;
use std::collections::BTreeMap;

/// Whether the running version is still on probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Confirmed, or the broker's own file.
    Settled,
    /// Applied, and observed until the verdict.
    OnProbation,
}

/// An offer as it compares with what is known, or the verdict of the probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionEvent {
    /// It can't be read or applied.
    Invalid,
    /// The service has none.
    Empty,
    /// These contents were withdrawn earlier.
    Withdrawn,
    /// Its number is known with other contents.
    Forked,
    /// Its number is not above the highest that was accepted.
    Older,
    /// It is what runs.
    Unchanged,
    /// A higher number with the contents that run.
    Renumbered,
    /// A higher number with the contents that were confirmed last, while others are on probation.
    Reverted,
    /// A higher number with other contents.
    Newer,
    /// The version passed its probation.
    Proven,
    /// The probation ended without a verdict.
    Unproven,
    /// The version failed its probation.
    Failed,
    /// The probation is paused.
    Paused,
}

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

/// What an action needs of the offer or the verdict that caused it.
struct EventContext<'a> {
    now: Tenths,
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

/// The row that fits is taken; where none fits, nothing happens. An offer with a rejection reason is
/// rejected, every other is acknowledged.
#[rustfmt::skip]
const TRANSITIONS: &[Transition] = &[
    //  states     event       next               action
    row(ANY,       Invalid,    None,              VersionHistory::reject),
    row(ANY,       Withdrawn,  None,              VersionHistory::reject),
    row(ANY,       Forked,     None,              VersionHistory::reject),
    row(ANY,       Older,      None,              VersionHistory::reject),
    row(ANY,       Empty,      None,              VersionHistory::keep_running),
    row(ANY,       Unchanged,  None,              VersionHistory::keep_running),
    row(ANY,       Renumbered, None,              VersionHistory::renumber),
    row(PROBATION, Reverted,   Some(Settled),     VersionHistory::revert),
    row(ANY,       Newer,      Some(OnProbation), VersionHistory::apply),
    row(PROBATION, Proven,     Some(Settled),     VersionHistory::confirm),
    row(PROBATION, Unproven,   Some(Settled),     VersionHistory::confirm_unproven),
    row(PROBATION, Failed,     Some(Settled),     VersionHistory::withdraw),
    row(PROBATION, Paused,     None,              VersionHistory::log_pause),
];

/// How many numbers and withdrawn digests are remembered; the oldest are forgotten first.
const MAX_REMEMBERED: usize = 256;
/// A version during whose probation the process ended this often is not tried again. One end may have any
/// cause.
const MAX_UNFINISHED_RUNS: u32 = 3;

/// Why, and under which number, contents were withdrawn.
#[derive(Clone, Debug)]
struct Withdrawal {
    number: u64,
    reason: String,
}

/// The running version, and what is known of those before it.
#[derive(Debug)]
pub struct VersionHistory {
    running: VersionId,
    since: Tenths,
    state: RolloutState,
    /// The last one confirmed; what a roll-back goes to.
    confirmed: VersionId,
    highest_accepted: u64,
    known: BTreeMap<u64, Digest>,
    withdrawn: BTreeMap<Digest, Withdrawal>,
    last_rejection: Option<Rejection>,
    probation_attempt: Option<ProbationAttempt>,
    /// The running version's probation ended without a verdict, and why.
    unproven: Option<UnprovenReason>,
}

impl VersionHistory {
    /// The history of a broker that runs what it confirmed last: its own file, or what it stored earlier.
    pub fn new(persisted: PersistedState, now: Tenths) -> VersionHistory {
        let PersistedState { confirmed, highest_accepted, withdrawn, probation_attempt } = persisted;
        let withdrawn = withdrawn.into_iter().map(|WithdrawnVersion { version, reason }| {
            (version.digest, Withdrawal { number: version.number, reason })
        });
        let mut history = VersionHistory {
            running: confirmed,
            since: now,
            state: Settled,
            confirmed,
            highest_accepted: highest_accepted.max(confirmed.number),
            known: BTreeMap::from([(confirmed.number, confirmed.digest)]),
            withdrawn: withdrawn.collect(),
            last_rejection: None,
            probation_attempt,
            unproven: None,
        };
        history.withdraw_after_repeated_ends(now);
        history
    }

    /// Guards against a version that ends the process again and again, before any probation could judge it.
    fn withdraw_after_repeated_ends(&mut self, now: Tenths) {
        let attempt = self.probation_attempt.filter(|attempt| attempt.unfinished_runs >= MAX_UNFINISHED_RUNS);
        let Some(ProbationAttempt { version, unfinished_runs }) = attempt else { return };
        let reason = RejectionReason::ProcessEnded { ends: unfinished_runs };
        self.probation_attempt = None;
        self.highest_accepted = self.highest_accepted.max(version.number);
        self.withdrawn
            .insert(version.digest, Withdrawal { number: version.number, reason: reason.to_string() });
        self.last_rejection = Some(Rejection { number: Some(version.number), reason, at: now });
    }

    /// What must outlive the process.
    pub fn persisted_state(&self) -> PersistedState {
        let withdrawn = self.withdrawn.iter().map(|(digest, withdrawal)| WithdrawnVersion {
            version: VersionId { number: withdrawal.number, digest: *digest },
            reason: withdrawal.reason.clone(),
        });
        PersistedState {
            confirmed: self.confirmed,
            highest_accepted: self.highest_accepted,
            withdrawn: withdrawn.collect(),
            probation_attempt: self.probation_attempt,
        }
    }

    /// The running version.
    pub fn running(&self) -> VersionId {
        self.running
    }

    /// Since when it runs.
    pub fn since(&self) -> Tenths {
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
        self.highest_accepted
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
        match offer {
            Offer::Empty => Comparison { event: Empty, number: None, version: None, rejection: None },
            Offer::Invalid { number, reason } => {
                let rejection = Some(RejectionReason::Invalid(reason.clone()));
                Comparison { event: Invalid, number: *number, version: None, rejection }
            }
            Offer::Valid(version) => {
                let (event, rejection) = self.compare_version(*version);
                Comparison { event, number: Some(version.number), version: Some(*version), rejection }
            }
        }
    }

    /// The order counts: withdrawn contents are reported as such under any number, and a fork as a fork
    /// even where its number is old.
    fn compare_version(&self, version: VersionId) -> (VersionEvent, Option<RejectionReason>) {
        let VersionId { number, digest } = version;
        if version == self.running {
            return (Unchanged, None);
        }
        if let Some(Withdrawal { number, reason }) = self.withdrawn.get(&digest).cloned() {
            return (Withdrawn, Some(RejectionReason::Withdrawn { number, reason }));
        }
        if let Some(known) = self.known.get(&number).copied().filter(|known| *known != digest) {
            return (Forked, Some(RejectionReason::Forked { number, known, offered: digest }));
        }
        if self.probation_attempt.is_some_and(|attempt| attempt.version == version) {
            // The process ended during its probation, and goes on where it was.
            return (Newer, None);
        }
        if number <= self.highest_accepted {
            let highest = self.highest_accepted;
            return (Older, Some(RejectionReason::Older { number, highest }));
        }
        if digest == self.running.digest {
            return (Renumbered, None);
        }
        if digest == self.confirmed.digest {
            return (Reverted, None);
        }
        (Newer, None)
    }

    /// Handles an offer that was compared just now.
    pub fn handle_offer(&mut self, now: Tenths, comparison: &Comparison, effects: &mut Vec<Effect>) {
        let Comparison { event, number, version, ref rejection } = *comparison;
        let context = EventContext { now, number, version, rejection: rejection.as_ref(), verdict: None };
        self.handle(event, &context, effects);
    }

    /// Handles the probation's verdict on the running version.
    pub fn handle_verdict(&mut self, now: Tenths, verdict: &Verdict, effects: &mut Vec<Effect>) {
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

    fn keep_running(&mut self, _: &EventContext, _: &mut Vec<Effect>) {}

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
        self.accept(version);
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
        self.accept(version);
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
    /// not taken again under any number: so a broker can't alternate between the two.
    fn withdraw(&mut self, context: &EventContext, effects: &mut Vec<Effect>) {
        let Some(Verdict::Failed(failure)) = context.verdict else { return };
        let (withdrawn, reason) = (self.running, RejectionReason::from(*failure));
        self.remember_withdrawn(withdrawn, &reason);
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

    // ---- parts of actions

    fn run(&mut self, version: VersionId, now: Tenths) {
        (self.running, self.since, self.unproven) = (version, now, None);
    }

    fn accept(&mut self, version: VersionId) {
        self.highest_accepted = self.highest_accepted.max(version.number);
        self.known.insert(version.number, version.digest);
        while self.known.len() > MAX_REMEMBERED {
            self.known.pop_first();
        }
    }

    fn remember_withdrawn(&mut self, version: VersionId, reason: &RejectionReason) {
        if self.withdrawn.len() >= MAX_REMEMBERED {
            let oldest = self.withdrawn.iter().min_by_key(|(_, withdrawal)| withdrawal.number);
            if let Some(digest) = oldest.map(|(digest, _)| *digest) {
                self.withdrawn.remove(&digest);
            }
        }
        let withdrawal = Withdrawal { number: version.number, reason: reason.to_string() };
        self.withdrawn.insert(version.digest, withdrawal);
    }
}
