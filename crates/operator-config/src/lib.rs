//! Reads the operator's file, `deploy/operator.ini`: what is switched on at an installation, and how. Without
//! the file, or with an empty one, everything is off.
//!
//! `keys` is the table of keys; `control_section` and `admission_section` are the edge at which the words of the
//! keys become the terms of the code.
//!
//! ```
//! let text = "[control]\nservices = 127.0.0.1:18000\ninstallation = north\n";
//! let config = operator_config::read(text).unwrap();
//! assert_eq!(config.rollout.unwrap().installation, "north");
//! let errors = operator_config::read("[control]\nservise = 127.0.0.1:18000\n").unwrap_err();
//! assert_eq!(errors[0].to_string(), "line 2: `servise` is no key of [control]: `services` is the nearest");
//! ```

#![warn(missing_docs)]

mod admission_section;
mod control_section;
mod key_values;
mod keys;
mod operator_config_error;
mod value_type;

pub use control_section::RolloutConfig;
pub use keys::{KEYS, Key};
pub use operator_config_error::OperatorConfigError;
pub use value_type::ValueType;

use admission_control::AdmissionConfig;
use key_values::KeyValues;

/// What is switched on at an installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Configuration versions from a configuration service; `None`: the broker runs its own file.
    pub rollout: Option<RolloutConfig>,
    /// Admission control in front of the routing decisions, where it is switched on.
    pub admission: Option<AdmissionConfig>,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Reads the file's text.
///
/// # Errors
/// Everything that is wrong with it.
pub fn read(text: &str) -> Result<OperatorConfig, Vec<OperatorConfigError>> {
    let mut values = KeyValues::read(text).map_err(|error| vec![error])?;
    let config = OperatorConfig {
        log_format: log_format(&values),
        admission: admission_section::read(&mut values),
        rollout: control_section::read(&mut values),
    };
    if values.errors.is_empty() { Ok(config) } else { Err(values.errors) }
}

fn log_format(values: &KeyValues) -> LogFormat {
    match values.get(keys::LOG, "format") {
        "json" => LogFormat::Json,
        _ => LogFormat::Text,
    }
}

#[cfg(test)]
mod tests;
