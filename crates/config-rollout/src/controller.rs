//! Controller that passes each input to the state machine concerned, and the resulting decisions to the others.

use crate::effects::Effect;
use crate::inputs::{Input, Nonce, Offer, ServiceIndex, StreamId};
use crate::outcome_window::{OutcomeWindow, TimedSample};
use crate::persisted_state::PersistedState;
use crate::policy::RolloutPolicy;
use crate::probation::{Probation, ProbationCondition};
use crate::rejection::Rejection;
use crate::rollout_state::{RolloutState, VersionEvent};
use crate::sample::Sample;
use crate::subscription::{Subscription, SubscriptionEvent};
use crate::verdict::{UnprovenReason, Verdict};
use crate::version::VersionId;
use crate::version_history::VersionHistory;
use routing::Timestamp;
use std::collections::VecDeque;

/// Number of answered nonces remembered for a stream.
const MAX_ANSWERED_NONCES: usize = 64;
/// Maximum number of samples kept for a probation; the oldest are dropped first.
const MAX_PROBATION_SAMPLES: usize = 1024;

/// Decides which configuration version a broker runs.
#[derive(Debug)]
pub struct RolloutController {
    policy: RolloutPolicy,
    subscription: Subscription,
    history: VersionHistory,
    /// Outcomes of queries under settled versions, from which the baseline of the next probation is computed.
    settled_outcomes: OutcomeWindow,
    /// Outcomes under the version on probation, which are moved to `settled_outcomes` when it is confirmed.
    probation_outcomes: Vec<TimedSample>,
    /// The last sample of the running version, from which the next increment is computed.
    last_sample: Sample,
    probation: Option<Probation>,
    /// The answered nonces of the current stream, the newest last.
    answered: VecDeque<Nonce>,
}

/// A snapshot of the state of the rollout, as published by the broker.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The version that the broker runs.
    pub running: VersionId,
    /// The time since which the broker has run the current contents.
    pub since: Timestamp,
    /// Whether the running version is settled or on probation.
    pub state: RolloutState,
    /// Whether the probation is paused because nodes are failing.
    pub is_probation_paused: bool,
    /// The reason why the probation of the running version ended without a verdict, or `None` if it did not.
    pub unproven: Option<UnprovenReason>,
    /// The version that was confirmed last, which is the target of a rollback.
    pub confirmed: VersionId,
    /// The most recent rejection or withdrawal, or `None` if there has been none.
    pub last_rejection: Option<Rejection>,
    /// The service to which a stream is open, or `None` if no stream is open.
    pub service: Option<ServiceIndex>,
}

impl RolloutController {
    /// Creates the controller of a broker with this persisted state. `services` is the number of configuration
    /// services that it may subscribe to; `seed` determines the random waits and the first service.
    pub fn new(
        policy: RolloutPolicy,
        services: usize,
        persisted: PersistedState,
        seed: u64,
        now: Timestamp,
    ) -> RolloutController {
        let rng = fastrand::Rng::with_seed(seed);
        RolloutController {
            subscription: Subscription::new(policy.clone(), services, rng),
            history: VersionHistory::new(persisted, now),
            settled_outcomes: OutcomeWindow::default(),
            probation_outcomes: Vec::new(),
            last_sample: Sample::default(),
            probation: None,
            answered: VecDeque::new(),
            policy,
        }
    }

    /// Returns a snapshot of the rollout, which includes all effects returned so far.
    pub fn report(&self) -> Report {
        let is_paused = |probation: &Probation| probation.condition() == ProbationCondition::NodesFailing;
        Report {
            running: self.history.running(),
            since: self.history.since(),
            state: self.history.state(),
            is_probation_paused: self.probation.as_ref().is_some_and(is_paused),
            unproven: self.history.unproven(),
            confirmed: self.history.confirmed(),
            last_rejection: self.history.last_rejection().cloned(),
            service: self.subscription.open_stream().map(|_| self.subscription.service()),
        }
    }

    /// Returns the version that the broker runs.
    pub fn running(&self) -> VersionId {
        self.history.running()
    }

    /// Returns the state to persist across restarts.
    pub fn persisted_state(&self) -> PersistedState {
        self.history.persisted_state()
    }

    /// Returns the highest number accepted so far, which never decreases.
    pub fn highest_accepted(&self) -> u64 {
        self.history.highest_accepted()
    }

    /// Returns whether a valid offer of this version would be applied. The contents of an offer that would not be
    /// applied need not be validated.
    pub fn would_apply(&self, version: VersionId) -> bool {
        self.history.compare(&Offer::Valid(version)).event == VersionEvent::Newer
    }

    /// Handles one input and returns the effects to carry out, in order, before the next input is handled.
    pub fn handle(&mut self, now: Timestamp, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let due_before = self.subscription.next_due();
        self.dispatch(now, input, &mut effects);
        if let Some(due) = self.subscription.next_due().filter(|due| Some(*due) != due_before) {
            effects.push(Effect::WakeAt(due));
        }
        effects
    }

    fn dispatch(&mut self, now: Timestamp, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Start => self.subscription.handle(now, SubscriptionEvent::Started, effects),
            Input::TimerExpired => self.subscription.handle(now, SubscriptionEvent::TimerExpired, effects),
            Input::StreamOpened(stream) if self.subscription.is_current(stream) => {
                self.answered.clear();
                self.subscription.handle(now, SubscriptionEvent::StreamOpened, effects);
                effects.push(Effect::Subscribe { stream, running: self.history.running() });
            }
            Input::StreamEnded { stream, reason } if self.subscription.is_current(stream) => {
                self.subscription.log_unreachable(&reason, effects);
                self.subscription.handle(now, SubscriptionEvent::StreamEnded, effects);
            }
            Input::ResponseReceived { stream, nonce, offer } if self.subscription.is_current(stream) => {
                self.handle_response(now, stream, nonce, &offer, effects);
            }
            // Events of streams that have ended are ignored.
            Input::StreamOpened(_) | Input::StreamEnded { .. } | Input::ResponseReceived { .. } => {}
            Input::OutcomesCounted(sample) => self.handle_outcomes(now, sample, effects),
        }
    }

    /// Answers each nonce of a stream once, and ignores a response repeated under an answered nonce.
    fn handle_response(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        nonce: Nonce,
        offer: &Offer,
        effects: &mut Vec<Effect>,
    ) {
        self.subscription.handle(now, SubscriptionEvent::ResponseReceived, effects);
        if self.answered.contains(&nonce) {
            return;
        }
        self.answered.push_back(nonce.clone());
        if self.answered.len() > MAX_ANSWERED_NONCES {
            self.answered.pop_front();
        }
        let comparison = self.history.compare(offer);
        self.history.handle_offer(now, &comparison, effects);
        self.update_probation(now, comparison.event);
        let (running, rejection) = (self.history.running(), comparison.rejection);
        effects.push(Effect::Respond { stream, nonce, running, rejection });
        if matches!(comparison.event, VersionEvent::Older | VersionEvent::Forked) {
            self.subscription.handle(now, SubscriptionEvent::HistoryConflict, effects);
        }
    }

    /// Starts or ends a probation after an offer was handled.
    fn update_probation(&mut self, now: Timestamp, event: VersionEvent) {
        match event {
            VersionEvent::Newer => {
                // The outcomes of a version on probation are not settled. A version that replaces another one on
                // probation is therefore compared with the outcomes before both.
                self.probation = Some(Probation::new(self.policy.clone(), &self.settled_outcomes, now));
                self.reset_counts();
            }
            VersionEvent::Reverted => {
                self.probation = None;
                self.reset_counts();
            }
            _ => {}
        }
    }

    /// Discards the counts of the previous version.
    fn reset_counts(&mut self) {
        self.last_sample = Sample::default();
        self.probation_outcomes.clear();
    }

    fn handle_outcomes(&mut self, now: Timestamp, sample: Sample, effects: &mut Vec<Effect>) {
        let since_last = sample.since(std::mem::replace(&mut self.last_sample, sample));
        let Some(probation) = &mut self.probation else {
            return self.settled_outcomes.record(now, since_last, self.policy.probation_duration);
        };
        self.probation_outcomes.push(TimedSample { at: now, sample: since_last });
        if self.probation_outcomes.len() > MAX_PROBATION_SAMPLES {
            self.probation_outcomes.remove(0);
        }
        let verdict = probation.judge(now, sample);
        if !matches!(verdict, Verdict::Pending | Verdict::Paused(_)) {
            self.probation = None;
        }
        self.history.handle_verdict(now, &verdict, effects);
        match verdict {
            Verdict::Pending | Verdict::Paused(_) => {}
            Verdict::Proven | Verdict::Unproven(_) => self.settle_probation_outcomes(),
            Verdict::Failed(reason) => {
                self.reset_counts();
                if let (Some(stream), Some(nonce)) =
                    (self.subscription.open_stream(), self.answered.back().cloned())
                {
                    let running = self.history.running();
                    effects.push(Effect::ReportWithdrawal { stream, nonce, running, reason });
                }
            }
        }
    }

    fn settle_probation_outcomes(&mut self) {
        for TimedSample { at, sample } in std::mem::take(&mut self.probation_outcomes) {
            self.settled_outcomes.record(at, sample, self.policy.probation_duration);
        }
    }
}
