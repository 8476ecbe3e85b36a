//! Why a file can't be migrated.

use settings::{DocumentError, ValidationError};
use thiserror::Error;

/// One reason why a file can't be migrated.
#[derive(Debug, Error)]
pub enum MigrationError {
    /// The old file is no JSON object.
    #[error("the old file can't be read: {0}")]
    Syntax(#[source] serde_json::Error),
    /// The old file has no settings.
    #[error("the old file can't be read: `settings` is no object")]
    NoSettings,
    /// The new deployment has no zone of the broker's name.
    #[error("zone `{zone}` is none of {zones}")]
    UnknownZone {
        /// The broker's zone.
        zone: String,
        /// The new deployment's, with commas between them.
        zones: String,
    },
    /// The new deployment has zones, and neither the shape file nor the caller states the broker's.
    #[error("`zone` is missing: this broker's, in [fleet] or by --zone")]
    MissingZone,
    /// The new settings are no document.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The new settings can't be used.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    /// The new file can't be written as text.
    #[error("{0}")]
    Unwritable(#[source] serde_json::Error),
}
