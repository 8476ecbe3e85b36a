//! The contents of the versions that the broker may need: the one that was offered last, the one that runs,
//! and the one that was confirmed last. It turns documents into settings, and decides nothing.

use crate::wire::Version;
use config_rollout::VersionId;
use settings::{BrokerSettings, Document, NameRegistry, SettingsUpdate, ValidationError, prepare_update};
use std::fmt;

/// How many errors of a document are listed; the others are counted.
const MAX_LISTED_ERRORS: usize = 20;

/// A version with its contents.
#[derive(Clone, Debug)]
pub struct CachedVersion {
    /// Its number and digest.
    pub version: VersionId,
    /// As it was offered, so that its digest is the version's.
    pub document: Document,
    /// The settings that were read from the document.
    pub broker_settings: BrokerSettings,
}

impl CachedVersion {
    /// As it is sent and stored; `None` where it is the broker's own file.
    pub(crate) fn to_wire(&self, installation: &str) -> Option<Version> {
        (self.version.number > 0).then(|| Version {
            number: self.version.number,
            digest: self.version.digest.0.to_vec(),
            document: self.document.canonical(),
            installation: installation.to_owned(),
            note: String::new(),
        })
    }
}

/// A document that a running broker can't apply, with all that is wrong with it.
#[derive(Debug, thiserror::Error)]
pub struct InvalidDocument {
    errors: Vec<ValidationError>,
}

impl fmt::Display for InvalidDocument {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let listed: Vec<String> =
            self.errors.iter().take(MAX_LISTED_ERRORS).map(ValidationError::to_string).collect();
        formatter.write_str(&listed.join("; "))?;
        match self.errors.len().saturating_sub(listed.len()) {
            0 => Ok(()),
            more => write!(formatter, "; and {more} more"),
        }
    }
}

impl From<Vec<ValidationError>> for InvalidDocument {
    fn from(errors: Vec<ValidationError>) -> InvalidDocument {
        InvalidDocument { errors }
    }
}

/// The contents of these versions.
#[derive(Debug)]
pub(crate) struct ResourceCache {
    /// The broker's own document: what a version may not change while the process runs.
    own_document: Document,
    /// The ids of all names of classes and tenants so far.
    names: NameRegistry,
    offered: Option<CachedVersion>,
    pub(crate) running: CachedVersion,
    pub(crate) confirmed: CachedVersion,
}

impl ResourceCache {
    /// The cache of a broker that runs this confirmed version.
    pub(crate) fn new(own_document: Document, running: CachedVersion) -> ResourceCache {
        let names = running.broker_settings.names.clone();
        ResourceCache { own_document, names, offered: None, confirmed: running.clone(), running }
    }

    /// Checks an offered document, and holds it until it is applied or another is offered.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub(crate) fn check(&mut self, version: VersionId, document: &Document) -> Result<(), InvalidDocument> {
        let SettingsUpdate { broker_settings, .. } =
            prepare_update(&self.own_document, &self.names, document)?;
        self.offered = Some(CachedVersion { version, document: document.clone(), broker_settings });
        Ok(())
    }

    /// The offered version becomes the running one; `None` if it is not the one that was checked last.
    pub(crate) fn apply(&mut self, version: VersionId) -> Option<&CachedVersion> {
        let offered = self.offered.take().filter(|offered| offered.version == version)?;
        self.names = offered.broker_settings.names.clone();
        self.running = offered;
        Some(&self.running)
    }

    /// The running version gets another number.
    pub(crate) fn renumber(&mut self, version: VersionId) {
        self.running.version = version;
    }

    /// The confirmed version becomes the running one, with the ids that names have now.
    pub(crate) fn roll_back(&mut self) -> &CachedVersion {
        self.running = self.confirmed.clone();
        self.running.broker_settings.names = self.names.clone();
        &self.running
    }

    /// The running version is confirmed.
    pub(crate) fn confirm(&mut self) {
        self.confirmed = self.running.clone();
    }
}
