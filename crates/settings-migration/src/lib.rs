//! Converts the configuration file of a broker to another deployment, which may have another shard layout, other
//! zones, or other load reports. The library performs no I/O; the command `shard-broker reshape` uses it.
//!
//! - [`DeploymentLayout::read`] parses the shape file, an INI file that describes the layout of the new deployment.
//!   [`KEYS`] lists its keys and the settings key that each of them sets.
//! - [`migrate()`] returns the text of the new file and the keys of the old file that it omits, or all errors of the
//!   new file. Values that depend on the layout are never taken from the old file.
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
