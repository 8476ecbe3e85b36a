//! Parses and validates the settings of a broker: the configuration of its routing logic, and the limits and
//! names that its front end needs.
//!
//! - [`read`] parses the settings that a broker starts with. It ignores unknown keys, because the platform may
//!   provide keys that the broker does not use.
//! - [`Document`] holds all settings of an installation, and [`check()`] lists all errors in it.
//! - [`prepare_update()`] converts a document to the settings that a running broker applies, or lists the reasons why
//!   the broker can't apply them.
//!
//! The module `broker_settings` maps the names of the settings keys to the terms that the code uses.
//!
//! ```
//! let document = settings::Document::parse(br#"{"PeriodMs": 5.0, "Rulez": {}}"#, 1 << 20).unwrap();
//! let errors = settings::check(&document);
//! assert!(errors.iter().any(|e| e.to_string() == "`Rulez` is unknown: `Rules` is the nearest key"));
//! ```

#![warn(missing_docs)]

mod broker_settings;
mod check;
mod compare;
mod consistency;
mod document;
mod fields;
mod name_registry;
mod settings_error;
mod settings_text;
mod settings_update;
mod validation_error;
mod value_type;

pub use broker_settings::{BrokerSettings, ConnectionSettings, load_metric, read};
pub use check::check;
pub use compare::{Change, compare};
pub use document::{Document, DocumentError};
pub use fields::{ApplyMode, FIELDS, Field};
pub use name_registry::NameRegistry;
pub use settings_error::SettingsError;
pub use settings_update::{SettingsUpdate, prepare_update};
pub use validation_error::ValidationError;
pub use value_type::ValueType;

#[cfg(test)]
mod tests;
