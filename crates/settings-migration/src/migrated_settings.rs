//! The result of a migration.

use thiserror::Error;

/// The new file, and the keys of the old one that are not in it.
#[derive(Clone, Debug, PartialEq)]
pub struct MigratedSettings {
    /// The new file's text.
    pub text: String,
    /// What was not carried over.
    pub omitted_keys: Vec<OmittedKey>,
}

/// A key of the old file that was not carried over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OmittedKey {
    /// The key, such as `Domain.PerCall`.
    pub key: String,
    /// Why it was left behind.
    pub reason: OmissionReason,
}

/// Why a key of the old file was not carried over. The texts follow the key.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OmissionReason {
    /// The settings have no such key.
    #[error("is no key of the settings")]
    UnknownKey,
    /// It describes the machines of the old fleet.
    #[error("describes the old fleet; nothing reads it")]
    DescribesOldFleet,
    /// The new deployment's layout decides it, and the shape file does not state it.
    #[error("is decided by the deployment's layout, and the shape file does not state it")]
    DecidedByLayout,
    /// It lists nodes of the old fleet.
    #[error("lists nodes of the old fleet; discovery lists the new ones")]
    KnownNodes,
}
