//! Reads settings texts: into the configuration of the routing decisions, and into what the program needs beside
//! it. Makes no decision about queries.
//!
//! - [`read`] reads the text that a broker starts from, as the platform gives it: unknown keys are skipped.
//! - [`Document`] is the whole settings text of an installation; [`check()`] lists all errors of one.
//! - [`prepare_update()`] turns a document into what a running broker applies, or lists why it can't.
//!
//! `broker_settings` is the edge: there the words of the keys become the terms of the code.
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
pub use fields::{Applies, FIELDS, Field};
pub use name_registry::NameRegistry;
pub use settings_error::SettingsError;
pub use settings_update::{SettingsUpdate, prepare_update};
pub use validation_error::ValidationError;
pub use value_type::ValueType;

#[cfg(test)]
mod tests;
