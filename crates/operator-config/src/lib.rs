//! Parses the operator's file, which enables and configures optional features of a broker. `deploy/operator.ini` is
//! the shipped file. Without a file, or with an empty one, all features are disabled.
//!
//! The module `keys` has the table of keys. `control_section` and `admission_section` map the names of the keys to
//! the terms that the code uses.
//!
//! ```
//! let text = "[control]\nservices = 127.0.0.1:18000\ninstallation = north\n";
//! let config = operator_config::read(text).unwrap();
//! assert_eq!(config.rollout.unwrap().installation, "north");
//! let errors = operator_config::read("[control]\nservise = 127.0.0.1:18000\n").unwrap_err();
//! assert_eq!(errors[0].to_string(), "line 2: unknown key `servise` in section [control]; did you mean `services`?");
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

/// Configuration of the optional features of a broker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Format of the log.
    pub log_format: LogFormat,
    /// Subscription to configuration versions, or `None` if the broker uses only its own file.
    pub rollout: Option<RolloutConfig>,
    /// Admission control, which decides on queries before they are routed, or `None` if it is disabled.
    pub admission: Option<AdmissionConfig>,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text, one event per line.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Parses the text of an operator's file.
///
/// # Errors
///
/// Returns all errors in the text, or only the syntax error if it is not valid INI.
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
