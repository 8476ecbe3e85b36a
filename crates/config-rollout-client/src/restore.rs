//! Restores the version that a broker runs at startup: the stored one, or its own settings.

use crate::resource_cache::{CachedVersion, InvalidDocument};
use crate::state_file::{self, StateFileError};
use crate::wire::{InvalidVersion, VerifiedVersion, Version};
use config_rollout::{Digest, PersistedState, VersionId};
use settings::{BrokerSettings, Document, prepare_update};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The state from which a broker starts.
#[derive(Debug)]
pub struct RestoredState {
    /// The broker's own document.
    pub own_document: Document,
    /// The version that the broker runs at startup.
    pub running: CachedVersion,
    /// The state that was persisted by the last process, or that of a new broker.
    pub persisted: PersistedState,
    /// The state file whose version was not used and the reason, or `None` if there was no error.
    pub unused_file: Option<UnusedStateFile>,
}

/// A state file whose version was not used, with the reason.
#[derive(Debug, Error)]
#[error("failed to restore the version in state file {}: {reason}", path.display())]
pub struct UnusedStateFile {
    /// The path of the state file.
    pub path: PathBuf,
    /// The error because of which the version was not used.
    #[source]
    pub reason: RestoreError,
}

/// The reason why the version in a state file is not used.
#[derive(Debug, Error)]
pub enum RestoreError {
    /// The file cannot be read or decoded.
    #[error(transparent)]
    File(#[from] StateFileError),
    /// The version is corrupt or is for another installation.
    #[error(transparent)]
    Version(#[from] InvalidVersion),
    /// The version cannot be applied by a broker with this own document.
    #[error(transparent)]
    Document(#[from] InvalidDocument),
}

/// Restores the stored version if the file is valid, the version is intact and for this installation, and a broker
/// with this own document can apply it. Otherwise returns the own document as version 0.
///
/// `max_document_bytes` is the maximum size of the stored document. A file whose version is not used is reported in
/// [`RestoredState::unused_file`].
pub fn restore(
    own_document: Document,
    broker_settings: &BrokerSettings,
    state_file: Option<&Path>,
    installation: &str,
    max_document_bytes: usize,
) -> RestoredState {
    let stored = match state_file.map(|path| state_file::read(path, max_document_bytes)) {
        Some(Ok(stored)) => Ok(Some(stored)),
        None | Some(Err(StateFileError::NotFound)) => Ok(None),
        Some(Err(error)) => Err(RestoreError::from(error)),
    };
    let (stored, mut error) = match stored {
        Ok(stored) => (stored, None),
        Err(error) => (None, Some(error)),
    };
    let mut running = own_version(&own_document, broker_settings);
    if let Some(version) = stored.as_ref().and_then(|stored| stored.version.as_ref()) {
        match restore_version(&own_document, broker_settings, version, installation, max_document_bytes) {
            Ok(restored) => running = restored,
            // The accepted number and the withdrawn versions of the file remain in force.
            Err(restore_error) => error = Some(restore_error),
        }
    }
    let initial = || PersistedState::of(running.version);
    let persisted = stored.as_ref().map_or_else(initial, |stored| stored.to_persisted(running.version));
    let unused_file =
        state_file.zip(error).map(|(path, reason)| UnusedStateFile { path: path.into(), reason });
    RestoredState { own_document, running, persisted, unused_file }
}

/// Returns the broker's own document as version 0.
fn own_version(own_document: &Document, broker_settings: &BrokerSettings) -> CachedVersion {
    let version = VersionId { number: 0, digest: Digest::of(&own_document.canonical()) };
    CachedVersion { version, document: own_document.clone(), broker_settings: broker_settings.clone() }
}

fn restore_version(
    own_document: &Document,
    broker_settings: &BrokerSettings,
    stored: &Version,
    installation: &str,
    max_document_bytes: usize,
) -> Result<CachedVersion, RestoreError> {
    let VerifiedVersion { version, document } = stored.verify(installation, max_document_bytes)?;
    let update =
        prepare_update(own_document, &broker_settings.names, &document).map_err(InvalidDocument::from)?;
    Ok(CachedVersion { version, document, broker_settings: update.broker_settings })
}
