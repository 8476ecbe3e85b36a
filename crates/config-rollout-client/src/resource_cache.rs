//! Contents of the versions that a broker may need: the last offered, the running and the last confirmed one. The
//! cache converts documents to settings and makes no decisions.

use crate::wire::Version;
use config_rollout::VersionId;
use settings::{BrokerSettings, Document, NameRegistry, SettingsUpdate, ValidationError, prepare_update};
use std::fmt;

/// Maximum number of errors that are listed for a document; further errors are only counted.
const MAX_LISTED_ERRORS: usize = 20;

/// A version with its document and the settings read from it.
#[derive(Clone, Debug)]
pub struct CachedVersion {
    /// The number and digest of the version.
    pub version: VersionId,
    /// The document as it was offered. Its digest is that of the version.
    pub document: Document,
    /// The settings read from the document.
    pub broker_settings: BrokerSettings,
}

impl CachedVersion {
    /// Converts the version to the message that is sent and stored, or returns `None` if it is the broker's own file.
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

/// A document that a running broker cannot apply, with all validation errors.
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

/// The contents of the offered, the running and the confirmed version.
#[derive(Debug)]
pub(crate) struct ResourceCache {
    /// The broker's own document, which determines the settings that a version must not change at run time.
    own_document: Document,
    /// The ids assigned to all names of request classes and tenants so far.
    names: NameRegistry,
    offered: Option<CachedVersion>,
    pub(crate) running: CachedVersion,
    pub(crate) confirmed: CachedVersion,
}

impl ResourceCache {
    /// Creates the cache of a broker that runs this confirmed version.
    pub(crate) fn new(own_document: Document, running: CachedVersion) -> ResourceCache {
        let names = running.broker_settings.names.clone();
        ResourceCache { own_document, names, offered: None, confirmed: running.clone(), running }
    }

    /// Validates an offered document and keeps it until it is applied or another one is offered.
    ///
    /// # Errors
    /// Returns all validation errors of the document.
    pub(crate) fn check(&mut self, version: VersionId, document: &Document) -> Result<(), InvalidDocument> {
        let SettingsUpdate { broker_settings, .. } =
            prepare_update(&self.own_document, &self.names, document)?;
        self.offered = Some(CachedVersion { version, document: document.clone(), broker_settings });
        Ok(())
    }

    /// Makes the offered version the running one. Returns `None` if it is not the version that was checked last.
    pub(crate) fn apply(&mut self, version: VersionId) -> Option<&CachedVersion> {
        let offered = self.offered.take().filter(|offered| offered.version == version)?;
        self.names = offered.broker_settings.names.clone();
        self.running = offered;
        Some(&self.running)
    }

    /// Gives the running contents another number.
    pub(crate) fn renumber(&mut self, version: VersionId) {
        self.running.version = version;
    }

    /// Makes the confirmed version the running one again, with the ids that are currently assigned to names.
    pub(crate) fn roll_back(&mut self) -> &CachedVersion {
        self.running = self.confirmed.clone();
        self.running.broker_settings.names = self.names.clone();
        &self.running
    }

    /// Makes the running version the confirmed one.
    pub(crate) fn confirm(&mut self) {
        self.confirmed = self.running.clone();
    }
}
