//! Result of a migration.

use thiserror::Error;

/// New configuration file, with the keys of the old file that it omits.
#[derive(Clone, Debug, PartialEq)]
pub struct MigratedSettings {
    /// Text of the new file, in JSON.
    pub text: String,
    /// Keys of the old file that the new file omits.
    pub omitted_keys: Vec<OmittedKey>,
}

/// Key of the old file that the new file omits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OmittedKey {
    /// Path of the key, such as `Domain.PerCall`.
    pub key: String,
    /// Reason for the omission.
    pub reason: OmissionReason,
}

/// Reason why the new file omits a key of the old file. Its text is displayed after the key, in output and in JSON.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OmissionReason {
    /// The key is unknown.
    #[error("is no key of the settings")]
    UnknownKey,
    /// The key describes the machines of the old fleet, and the broker does not read it.
    #[error("describes the old fleet; nothing reads it")]
    DescribesOldFleet,
    /// The value depends on the layout of the deployment, and the shape file does not set it.
    #[error("is decided by the deployment's layout, and the shape file does not state it")]
    DecidedByLayout,
    /// The key contains nodes of the old fleet. The broker obtains the new nodes from discovery.
    #[error("lists nodes of the old fleet; discovery lists the new ones")]
    KnownNodes,
}
