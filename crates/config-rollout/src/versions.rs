//! What a broker runs, and what is to be said to each offer. Guards against brokers that drift apart, against
//! a service that lost its state or forked, and against a version that is taken twice.

use crate::effects::{Effect, LogEvent};
use crate::inputs::Offer;
use crate::version::{Digest, VersionId};
use Event::{Broken, Clouded, Failed, Forked, Newer, Nothing, Older, Proven, Renumbered, Returned, Same};
use Event::{Unproven, Withdrawn};
use Standing::{OnTrial, Settled};
use routing::Tenths;
use std::collections::BTreeMap;

/// How the running version stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Confirmed, or the broker's own file.
    Settled,
    OnTrial,
}

/// An offer as it compares with what is known, or the word of the trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It can't be read, or taken over.
    Broken,
    /// The service has none.
    Nothing,
    /// These contents were cancelled once.
    Withdrawn,
    /// Its number is known with other contents.
    Forked,
    /// Its number is not above the highest that was accepted.
    Older,
    /// It is what runs.
    Same,
    /// A higher number with the contents that run.
    Renumbered,
    /// A higher number with the contents that were confirmed last, while others are on trial.
    Returned,
    Newer,
    Proven,
    Unproven,
    Failed,
    Clouded,
}

/// What is said to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Say {
    Accepted,
    TurnedDown(String),
}

/// An event with all that an act needs of it.
struct Occasion<'a> {
    now: Tenths,
    number: Option<u64>,
    version: Option<VersionId>,
    why: &'a str,
}

type Act = fn(&mut Versions, &Occasion, &mut Vec<Effect>);

/// `None` for a next standing: it stays as it is.
struct Row(&'static [Standing], Event, Option<Standing>, Answer, Act);

/// What the response is answered with.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Yes,
    No,
    /// There is no response to answer.
    None,
}

const ANY: &[Standing] = &[Settled, OnTrial];

/// How a version lives: in a standing, on an event: the next standing, the answer, and what is done.
#[rustfmt::skip]
const TABLE: &[Row] = &[
    Row(ANY,        Broken,     None,          Answer::No,   Versions::turn_down),
    Row(ANY,        Withdrawn,  None,          Answer::No,   Versions::turn_down),
    Row(ANY,        Forked,     None,          Answer::No,   Versions::turn_down),
    Row(ANY,        Older,      None,          Answer::No,   Versions::turn_down),
    Row(ANY,        Nothing,    None,          Answer::Yes,  Versions::stay),
    Row(ANY,        Same,       None,          Answer::Yes,  Versions::stay),
    Row(ANY,        Renumbered, None,          Answer::Yes,  Versions::relabel),
    Row(&[OnTrial], Returned,   Some(Settled), Answer::Yes,  Versions::go_back),
    Row(ANY,        Newer,      Some(OnTrial), Answer::Yes,  Versions::apply),
    Row(&[OnTrial], Proven,     Some(Settled), Answer::None, Versions::confirm),
    Row(&[OnTrial], Unproven,   Some(Settled), Answer::None, Versions::confirm_unproven),
    Row(&[OnTrial], Failed,     Some(Settled), Answer::None, Versions::withdraw),
    Row(&[OnTrial], Clouded,    None,          Answer::None, Versions::tell_cloud),
];

/// Why a version was not taken, or not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Its number, where that could be read.
    pub number: Option<u64>,
    pub why: String,
    pub at: Tenths,
}

/// Numbers and cancelled digests that are remembered; the oldest are forgotten first.
const REMEMBERED: usize = 256;
/// A version during whose trial the process ended so often is not tried again. One end may be anybody's
/// doing.
const MOST_STRIKES: u32 = 3;

/// What must outlast the process, where there is a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistedState {
    /// What it goes on with.
    pub confirmed: VersionId,
    /// The highest number accepted.
    pub highest: u64,
    /// Versions that were cancelled, and why.
    pub withdrawn: Vec<(VersionId, String)>,
    /// The version on trial, and how often it was applied by a process that did not see its trial's end.
    pub trying: Option<(VersionId, u32)>,
}

impl PersistedState {
    /// Of a broker that has none but what it runs.
    pub fn of(runs: VersionId) -> PersistedState {
        PersistedState { confirmed: runs, highest: runs.number, withdrawn: Vec::new(), trying: None }
    }
}

#[derive(Debug)]
pub struct Versions {
    runs: VersionId,
    since: Tenths,
    standing: Standing,
    /// The last one confirmed; what is put back.
    confirmed: VersionId,
    /// The highest number accepted.
    highest: u64,
    known: BTreeMap<u64, Digest>,
    withdrawn: BTreeMap<Digest, (u64, String)>,
    last_refusal: Option<Rejection>,
    trying: Option<(VersionId, u32)>,
    /// The running version's trial ended without a verdict, and why.
    unproven: Option<String>,
}

impl Versions {
    /// Of a broker with this memory, that runs what it confirmed: its own file, or what it kept from before.
    pub fn new(memory: PersistedState, now: Tenths) -> Versions {
        let PersistedState { confirmed: runs, highest, withdrawn, trying } = memory;
        let withdrawn = withdrawn.into_iter().map(|(version, why)| (version.digest, (version.number, why)));
        let mut versions = Versions {
            runs,
            since: now,
            standing: Settled,
            confirmed: runs,
            highest: highest.max(runs.number),
            known: BTreeMap::from([(runs.number, runs.digest)]),
            withdrawn: withdrawn.collect(),
            last_refusal: None,
            trying,
            unproven: None,
        };
        versions.strike_out(now);
        versions
    }

    /// Guards against a version that ends the process again and again, before any trial could judge it.
    fn strike_out(&mut self, now: Tenths) {
        let Some((version, strikes)) = self.trying.filter(|(_, strikes)| *strikes >= MOST_STRIKES) else {
            return;
        };
        let why = format!("the broker ended {strikes} times while it was on trial");
        self.trying = None;
        self.highest = self.highest.max(version.number);
        self.withdrawn.insert(version.digest, (version.number, why.clone()));
        self.last_refusal = Some(Rejection { number: Some(version.number), why, at: now });
    }

    pub fn memory(&self) -> PersistedState {
        let version = |(digest, (number, why)): (&Digest, &(u64, String))| {
            (VersionId { number: *number, digest: *digest }, why.clone())
        };
        PersistedState {
            confirmed: self.confirmed,
            highest: self.highest,
            withdrawn: self.withdrawn.iter().map(version).collect(),
            trying: self.trying,
        }
    }

    pub fn runs(&self) -> VersionId {
        self.runs
    }

    pub fn since(&self) -> Tenths {
        self.since
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    pub fn confirmed(&self) -> VersionId {
        self.confirmed
    }

    pub fn highest(&self) -> u64 {
        self.highest
    }

    pub fn last_refusal(&self) -> Option<&Rejection> {
        self.last_refusal.as_ref()
    }

    pub fn unproven(&self) -> Option<&str> {
        self.unproven.as_deref()
    }

    /// How an offer compares with what is known. The order counts: contents that were cancelled are told as
    /// such under any number, and a fork as a fork even where its number is old.
    pub fn compare(&self, offer: &Offer) -> (Event, Option<VersionId>, String) {
        let version = match offer {
            Offer::Nothing => return (Nothing, None, String::new()),
            Offer::Broken { why, .. } => return (Broken, None, why.clone()),
            Offer::Sound(version) => *version,
        };
        let VersionId { number, digest } = version;
        let (event, why) = if version == self.runs {
            (Same, String::new())
        } else if let Some((was, why)) = self.withdrawn.get(&digest) {
            (Withdrawn, format!("these contents were withdrawn as version {was}: {why}"))
        } else if let Some(known) = self.known.get(&number).filter(|known| **known != digest) {
            (Forked, format!("a fork: version {number} is {} here, not {}", known.short(), digest.short()))
        } else if self.trying.is_some_and(|(tried, _)| tried == version) {
            // The process ended during its trial, and goes on where it was.
            (Newer, String::new())
        } else if number <= self.highest {
            (Older, format!("version {number} is older than version {}, accepted before", self.highest))
        } else if digest == self.runs.digest {
            (Renumbered, String::new())
        } else if digest == self.confirmed.digest {
            (Returned, String::new())
        } else {
            (Newer, String::new())
        };
        (event, Some(version), why)
    }

    /// What an offer brings; what is to be answered.
    pub fn offered(&mut self, now: Tenths, offer: &Offer, effects: &mut Vec<Effect>) -> Say {
        let (event, version, why) = self.compare(offer);
        let number = match offer {
            Offer::Broken { number, .. } => *number,
            _ => version.map(|version| version.number),
        };
        let occasion = Occasion { now, number, version, why: &why };
        match self.take(event, &occasion, effects) {
            Answer::No => Say::TurnedDown(why),
            Answer::Yes | Answer::None => Say::Accepted,
        }
    }

    /// The trial's word on the running version.
    pub fn judged(&mut self, now: Tenths, event: Event, why: &str, effects: &mut Vec<Effect>) {
        let occasion = Occasion { now, number: Some(self.runs.number), version: Some(self.runs), why };
        self.take(event, &occasion, effects);
    }

    /// The loop that reads `TABLE`.
    fn take(&mut self, event: Event, occasion: &Occasion, effects: &mut Vec<Effect>) -> Answer {
        let row = TABLE.iter().find(|row| row.0.contains(&self.standing) && row.1 == event);
        let Some(Row(.., next, answer, act)) = row else { return Answer::None };
        self.standing = next.unwrap_or(self.standing);
        act(self, occasion, effects);
        *answer
    }

    // ---- acts

    fn stay(&mut self, _: &Occasion, _: &mut Vec<Effect>) {}

    fn turn_down(&mut self, occasion: &Occasion, effects: &mut Vec<Effect>) {
        let number = occasion.number;
        let refusal = Rejection { number, why: occasion.why.to_owned(), at: occasion.now };
        // Told once while a service repeats itself.
        let again =
            self.last_refusal.as_ref().is_some_and(|last| (&last.why, last.number) == (&refusal.why, number));
        if !again {
            effects.push(Effect::Say(LogEvent::TurnedDown { number, why: refusal.why.clone() }));
        }
        self.last_refusal = Some(refusal);
    }

    fn apply(&mut self, occasion: &Occasion, effects: &mut Vec<Effect>) {
        let Some(version) = occasion.version else { return };
        self.accept(version);
        (self.runs, self.since, self.unproven) = (version, occasion.now, None);
        let strikes = self.trying.filter(|(tried, _)| *tried == version).map_or(0, |(_, strikes)| strikes);
        self.trying = Some((version, strikes + 1));
        effects.extend([Effect::Remember, Effect::Apply(version), Effect::Say(LogEvent::Applied(version))]);
    }

    /// The same contents under a higher number: nothing is applied, and what was proven stays so.
    fn relabel(&mut self, occasion: &Occasion, effects: &mut Vec<Effect>) {
        let Some(version) = occasion.version else { return };
        self.accept(version);
        self.runs = version;
        effects.extend([Effect::Relabel(version), Effect::Say(LogEvent::Relabelled(version))]);
        if self.standing == Settled {
            self.confirmed = version;
            effects.push(Effect::Keep(version));
        }
    }

    /// An operator goes back: what was confirmed needs no second trial.
    fn go_back(&mut self, occasion: &Occasion, effects: &mut Vec<Effect>) {
        let Some(version) = occasion.version else { return };
        (self.runs, self.since, self.unproven) = (self.confirmed, occasion.now, None);
        self.trying = None;
        effects.push(Effect::PutBack(self.runs));
        self.relabel(occasion, effects);
        debug_assert_eq!(self.confirmed, version);
    }

    fn accept(&mut self, version: VersionId) {
        self.highest = self.highest.max(version.number);
        self.known.insert(version.number, version.digest);
        while self.known.len() > REMEMBERED {
            self.known.pop_first();
        }
    }

    fn confirm(&mut self, _: &Occasion, effects: &mut Vec<Effect>) {
        (self.confirmed, self.trying) = (self.runs, None);
        effects.extend([Effect::Keep(self.runs), Effect::Say(LogEvent::Confirmed(self.runs))]);
    }

    fn confirm_unproven(&mut self, occasion: &Occasion, effects: &mut Vec<Effect>) {
        (self.confirmed, self.trying) = (self.runs, None);
        self.unproven = Some(occasion.why.to_owned());
        let word = LogEvent::Unproven(self.runs, occasion.why.to_owned());
        effects.extend([Effect::Keep(self.runs), Effect::Say(word)]);
    }

    /// The last confirmed one is put back. It needs no trial, and the contents that failed are not taken
    /// again under any number: so it can't flap.
    fn withdraw(&mut self, occasion: &Occasion, effects: &mut Vec<Effect>) {
        let (failed, why) = (self.runs, occasion.why.to_owned());
        if self.withdrawn.len() >= REMEMBERED
            && let Some(oldest) =
                self.withdrawn.iter().min_by_key(|(_, (number, _))| *number).map(|(d, _)| *d)
        {
            self.withdrawn.remove(&oldest);
        }
        self.withdrawn.insert(failed.digest, (failed.number, why.clone()));
        (self.runs, self.since, self.unproven) = (self.confirmed, occasion.now, None);
        self.last_refusal =
            Some(Rejection { number: Some(failed.number), why: why.clone(), at: occasion.now });
        self.trying = None;
        effects.extend([Effect::PutBack(self.runs), Effect::Remember]);
        effects.push(Effect::Say(LogEvent::Withdrawn { version: failed, runs: self.runs, why }));
    }

    fn tell_cloud(&mut self, occasion: &Occasion, effects: &mut Vec<Effect>) {
        effects.push(Effect::Say(LogEvent::Clouded(self.runs, occasion.why.to_owned())));
    }
}
