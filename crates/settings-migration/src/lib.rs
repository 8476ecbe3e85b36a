//! Converts a broker's file for one deployment into its counterpart for another: another layout of shards,
//! other zones, load reported in another way. Does no I/O; `shard-broker reshape` is the command.
//!
//! - [`DeploymentLayout::read`] reads the shape file, INI: the layout of the new deployment. [`KEYS`] lists its
//!   keys, and which settings key each one sets.
//! - [`migrate()`] returns the new file's text and what of the old file is not in it, or all errors of the new
//!   file. What a deployment's layout decides is never taken from the old file.
//!
//! ```
//! let layout = settings_migration::DeploymentLayout::read("[load]\ntold = pull\nprobes = true\n").unwrap();
//! let errors = settings_migration::migrate(b"{\"settings\": {}}", &layout, None).unwrap_err();
//! assert!(errors.iter().any(|error| error.to_string().contains("`Domain` is missing")));
//! ```

#![warn(missing_docs)]

mod deployment_layout;
mod keys;
mod layout_error;
mod migrate;
mod migrated_settings;
mod migration_error;
mod settings_object;

pub use deployment_layout::DeploymentLayout;
pub use keys::{KEYS, Key};
pub use layout_error::LayoutError;
pub use migrate::migrate;
pub use migrated_settings::{MigratedSettings, OmissionReason, OmittedKey};
pub use migration_error::MigrationError;

#[cfg(test)]
mod tests;
