//! The three machines together: what was heard goes to the one that it concerns, and what one decides the
//! others hear.

use crate::effects::Effect;
use crate::inputs::{Input, Nonce, Offer, ServiceNo, StreamNo};
use crate::policy::RolloutPolicy;
use crate::probation::{Past, Probation, ProbationCondition, Sample, Verdict};
use crate::subscription::{self, Subscription};
use crate::version::VersionId;
use crate::versions::{Event, PersistedState, Rejection, Say, Standing, Versions};
use routing::Tenths;
use std::collections::VecDeque;

/// Nonces of one stream that are remembered as answered.
const NONCES: usize = 64;
/// Counts of a trial that are kept.
const MOST_PIECES: usize = 1024;

/// Which version a broker runs, and how it came to.
#[derive(Debug)]
pub struct RolloutController {
    patience: RolloutPolicy,
    subscription: Subscription,
    versions: Versions,
    /// Counts of settled versions, and those of the one on trial, which join them when it is confirmed.
    past: Past,
    during: Vec<(Tenths, Sample)>,
    /// The running version's counts as last told.
    counts: Sample,
    trial: Option<Probation>,
    /// Nonces that were answered on the stream, the newest last.
    answered: VecDeque<Nonce>,
}

/// What a broker truly runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub runs: VersionId,
    pub since: Tenths,
    pub standing: Standing,
    /// The trial makes a pause.
    pub clouded: bool,
    /// Its trial ended without a verdict, and why.
    pub unproven: Option<String>,
    pub confirmed: VersionId,
    pub last_refusal: Option<Rejection>,
    /// The service whose stream is up.
    pub service: Option<ServiceNo>,
}

impl RolloutController {
    /// Of a broker with this memory, that may ask so many services.
    pub fn new(
        patience: RolloutPolicy,
        services: usize,
        memory: PersistedState,
        seed: u64,
        now: Tenths,
    ) -> RolloutController {
        let rng = fastrand::Rng::with_seed(seed);
        RolloutController {
            subscription: Subscription::new(patience.clone(), services, rng),
            versions: Versions::new(memory, now),
            past: Past::default(),
            during: Vec::new(),
            counts: Sample::default(),
            trial: None,
            answered: VecDeque::new(),
            patience,
        }
    }

    pub fn report(&self) -> Report {
        Report {
            runs: self.versions.runs(),
            since: self.versions.since(),
            standing: self.versions.standing(),
            clouded: self.trial.as_ref().is_some_and(|trial| trial.sky() == ProbationCondition::Overcast),
            unproven: self.versions.unproven().map(str::to_owned),
            confirmed: self.versions.confirmed(),
            last_refusal: self.versions.last_refusal().cloned(),
            service: self.subscription.stream().map(|_| self.subscription.service()),
        }
    }

    pub fn runs(&self) -> VersionId {
        self.versions.runs()
    }

    /// What must outlast the process.
    pub fn memory(&self) -> PersistedState {
        self.versions.memory()
    }

    /// The highest number accepted; it never falls.
    pub fn highest(&self) -> u64 {
        self.versions.highest()
    }

    /// Whether contents of this version would be applied. For whoever reads a response: it spares checking
    /// what is not taken anyway.
    pub fn would_apply(&self, version: VersionId) -> bool {
        self.versions.compare(&Offer::Sound(version)).0 == Event::Newer
    }

    pub fn hear(&mut self, now: Tenths, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let asleep_until = self.subscription.next_due();
        match input {
            Input::Start => self.subscription.hear(now, subscription::Event::Began, &mut effects),
            Input::Due => self.subscription.hear(now, subscription::Event::Due, &mut effects),
            Input::Opened(stream) if self.subscription.is_current(stream) => {
                self.answered.clear();
                self.subscription.hear(now, subscription::Event::Opened, &mut effects);
                effects.push(Effect::Subscribe { stream, runs: self.versions.runs() });
            }
            Input::Ended { stream, why } if self.subscription.is_current(stream) => {
                self.subscription.note_gone(&why, &mut effects);
                self.subscription.hear(now, subscription::Event::Ended, &mut effects);
            }
            Input::Came { stream, nonce, offer } if self.subscription.is_current(stream) => {
                self.came(now, stream, nonce, &offer, &mut effects);
            }
            // Words of streams that are over.
            Input::Opened(_) | Input::Ended { .. } | Input::Came { .. } => {}
            Input::Counted(sample) => self.counted(now, sample, &mut effects),
        }
        if let Some(due) = self.subscription.next_due().filter(|due| Some(*due) != asleep_until) {
            effects.push(Effect::WakeAt(due));
        }
        effects
    }

    /// Each nonce of a stream gets one answer: a response that is repeated under an answered one is passed
    /// over.
    fn came(
        &mut self,
        now: Tenths,
        stream: StreamNo,
        nonce: Nonce,
        offer: &Offer,
        effects: &mut Vec<Effect>,
    ) {
        self.subscription.hear(now, subscription::Event::Heard, effects);
        if self.answered.contains(&nonce) {
            return;
        }
        self.answered.push_back(nonce.clone());
        if self.answered.len() > NONCES {
            self.answered.pop_front();
        }
        let (event, ..) = self.versions.compare(offer);
        let said = self.versions.offered(now, offer, effects);
        match event {
            Event::Newer => {
                let before = self.trial.take().map(|trial| trial.follow(now));
                self.trial = before.or_else(|| Some(Probation::new(self.patience.clone(), &self.past, now)));
                self.counts_anew();
            }
            Event::Returned => {
                self.trial = None;
                self.counts_anew();
            }
            _ => {}
        }
        let refusal = match said {
            Say::Accepted => None,
            Say::TurnedDown(why) => Some(why),
        };
        effects.push(Effect::Answer { stream, nonce, runs: self.versions.runs(), refusal });
        if matches!(event, Event::Older | Event::Forked) {
            self.subscription.hear(now, subscription::Event::Suspected, effects);
        }
    }

    /// What was counted of another version is no part of this one's.
    fn counts_anew(&mut self) {
        self.counts = Sample::default();
        self.during.clear();
    }

    fn counted(&mut self, now: Tenths, sample: Sample, effects: &mut Vec<Effect>) {
        let since_last = sample.since(std::mem::replace(&mut self.counts, sample));
        let span = self.patience.trial;
        let Some(trial) = &mut self.trial else {
            return self.past.note(now, since_last, span);
        };
        self.during.push((now, since_last));
        if self.during.len() > MOST_PIECES {
            self.during.remove(0);
        }
        let (event, why) = match trial.judge(now, sample) {
            Verdict::Waits => return,
            Verdict::Clouded(why) => return self.versions.judged(now, Event::Clouded, &why, effects),
            Verdict::Proven => (Event::Proven, String::new()),
            Verdict::Unproven(why) => (Event::Unproven, why),
            Verdict::Failed(why) => (Event::Failed, why),
        };
        self.trial = None;
        self.versions.judged(now, event, &why, effects);
        if event == Event::Failed {
            self.counts_anew();
            if let (Some(stream), Some(nonce)) = (self.subscription.stream(), self.answered.back()) {
                let (nonce, runs) = (nonce.clone(), self.versions.runs());
                effects.push(Effect::TellWithdrawn { stream, nonce, runs, why });
            }
        }
        for (at, piece) in std::mem::take(&mut self.during) {
            self.past.note(at, piece, span);
        }
    }
}
