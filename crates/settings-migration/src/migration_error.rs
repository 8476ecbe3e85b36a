//! Errors of a migration.

use settings::{DocumentError, ValidationError};
use thiserror::Error;

/// Reason why a configuration file can't be migrated.
#[derive(Debug, Error)]
pub enum MigrationError {
    /// The old file is not a JSON object.
    #[error("failed to parse the old file as a JSON object: {0}")]
    Syntax(#[source] serde_json::Error),
    /// The old file has no key `settings`, or its value is not an object.
    #[error("the old file has no settings: expected an object at `settings`")]
    NoSettings,
    /// The broker's zone is not a zone of the new deployment.
    #[error("unknown zone `{zone}`, expected one of the zones in the shape file: {zones}")]
    UnknownZone {
        /// Name of the broker's zone.
        zone: String,
        /// Names of the new deployment's zones, separated by commas.
        zones: String,
    },
    /// The new deployment has zones, but neither the shape file nor the caller provides the zone of the broker.
    #[error("`zone` is missing: set the broker's zone in section [fleet] of the shape file or with --zone")]
    MissingZone,
    /// The new settings can't be parsed as a settings document, which is a JSON object.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The new settings are invalid.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    /// The new file can't be serialized.
    #[error("failed to serialize the new file as JSON: {0}")]
    Unwritable(#[source] serde_json::Error),
}
