//! What a migration gives.

use thiserror::Error;

/// The new file, and what of the old one is not in it.
#[derive(Clone, Debug, PartialEq)]
pub struct MigratedSettings {
    /// The new file's text.
    pub text: String,
    /// What was not carried over.
    pub left_behind: Vec<LeftBehind>,
}

/// A key of the old file that was not carried over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeftBehind {
    /// The key, such as `Domain.PerCall`.
    pub key: String,
    /// Why it was left behind.
    pub reason: LeftBehindReason,
}

/// Why a key of the old file was not carried over; shown in words for an operator.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LeftBehindReason {
    /// The settings have no such key.
    #[error("is no key of the settings")]
    UnknownKey,
    /// It describes the machines of the old fleet.
    #[error("describes the old fleet; nothing reads it")]
    DescribesOldFleet,
    /// The new deployment's layout decides it, and the shape file does not say it.
    #[error("goes by the deployment's shape, and the shape file does not say it")]
    DecidedByLayout,
    /// It lists nodes of the old fleet.
    #[error("nodes of the old fleet; discovery tells the new ones")]
    KnownNodes,
}
