//! The contents of versions that the broker may need: the one offered, the one that runs, the one that was
//! last confirmed. It turns documents into what the broker takes over, and decides nothing.

use crate::keep;
use crate::wire::{Kept, Version};
use config_rollout::{Digest, PersistedState, VersionId};
use settings::{BrokerSettings, Document, NameRegistry, Revised, ValidationError, revise};
use std::path::Path;

/// A version with its contents.
#[derive(Clone, Debug)]
pub struct Shelved {
    pub version: VersionId,
    /// As it was offered, so that its digest is the version's.
    pub document: Document,
    pub broker_settings: BrokerSettings,
}

#[derive(Debug)]
pub struct Shelf {
    /// What this process started with: what a version may not change while it runs.
    start: Document,
    /// The numbers of all names so far.
    names: NameRegistry,
    offered: Option<Shelved>,
    pub runs: Shelved,
    pub confirmed: Shelved,
}

impl Shelf {
    /// Of a broker that runs this, confirmed, and whose own file is `start`.
    pub fn new(start: Document, runs: Shelved) -> Shelf {
        let names = runs.broker_settings.names.clone();
        Shelf { start, names, offered: None, confirmed: runs.clone(), runs }
    }

    /// Checks an offer and keeps it at hand; an error lists all that is wrong with it.
    pub fn check(&mut self, version: VersionId, document: &Document) -> Result<(), String> {
        let Revised { broker_settings, .. } =
            revise(&self.start, &self.names, document).map_err(|mistakes| list(&mistakes))?;
        self.offered = Some(Shelved { version, document: document.clone(), broker_settings });
        Ok(())
    }

    /// Takes the offer over; none if it is not the one that was checked last.
    pub fn apply(&mut self, version: VersionId) -> Option<&Shelved> {
        let offered = self.offered.take().filter(|offered| offered.version == version)?;
        self.names = offered.broker_settings.names.clone();
        self.runs = offered;
        Some(&self.runs)
    }

    pub fn relabel(&mut self, version: VersionId) {
        self.runs.version = version;
    }

    /// The confirmed one again, in the numbers of now.
    pub fn put_back(&mut self) -> &Shelved {
        self.runs = self.confirmed.clone();
        self.runs.broker_settings.names = self.names.clone();
        &self.runs
    }

    pub fn confirm(&mut self) {
        self.confirmed = self.runs.clone();
    }
}

fn list(mistakes: &[ValidationError]) -> String {
    let told: Vec<String> = mistakes.iter().take(20).map(ValidationError::to_string).collect();
    let more = mistakes.len().saturating_sub(told.len());
    let rest = if more > 0 { format!("; and {more} more") } else { String::new() };
    told.join("; ") + &rest
}

/// What a broker starts from: its own file, or what it kept.
#[derive(Debug)]
pub struct RestoredState {
    pub start: Document,
    pub runs: Shelved,
    pub memory: PersistedState,
    /// Why a kept file was passed over.
    pub passed_over: Option<String>,
}

/// Takes the kept version, if there is a file, it is whole, for this installation, and can be taken over by a
/// broker with this own document; else the own document, as version 0.
pub fn restore(
    own: Document,
    broker_settings: &BrokerSettings,
    file: Option<&Path>,
    installation: &str,
    most: usize,
) -> RestoredState {
    let version = VersionId { number: 0, digest: Digest::of(&own.canonical()) };
    let fallback = Shelved { version, document: own.clone(), broker_settings: broker_settings.clone() };
    let begin = |runs: Shelved, kept: Option<&Kept>, passed_over| {
        let fresh = PersistedState::of(runs.version);
        let memory = kept.map_or(fresh, |kept| kept.memory(runs.version));
        RestoredState { start: own.clone(), runs, memory, passed_over }
    };
    let Some(path) = file else { return begin(fallback, None, None) };
    let named = |why: String| Some(format!("{}: {why}", path.display()));
    let kept = match keep::read(path, most) {
        Ok(kept) => kept,
        Err(keep::NotKept::Absent) => return begin(fallback, None, None),
        Err(why) => return begin(fallback, None, named(why.to_string())),
    };
    match kept.version.as_ref().map(|version| take_kept(&own, broker_settings, version, installation, most)) {
        Some(Ok(runs)) => begin(runs, Some(&kept), None),
        // Its numbers and refusals hold, though its contents can't be taken over by this broker.
        Some(Err(why)) => begin(fallback, Some(&kept), named(why)),
        None => begin(fallback, Some(&kept), None),
    }
}

fn take_kept(
    own: &Document,
    broker_settings: &BrokerSettings,
    kept: &Version,
    installation: &str,
    most: usize,
) -> Result<Shelved, String> {
    let (version, document) = kept.open(installation, most)?;
    let revised = revise(own, &broker_settings.names, &document).map_err(|mistakes| list(&mistakes))?;
    Ok(Shelved { version, document, broker_settings: revised.broker_settings })
}
