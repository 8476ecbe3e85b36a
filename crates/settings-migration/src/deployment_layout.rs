//! Parser of the shape file, which describes the layout of the new deployment.

use crate::{KEYS, Key, LayoutError};
use ini::{Ini, ParseOption};
use nearest_name::nearest_name;

/// Layout of the new deployment. It contains only the keys that the shape file sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentLayout {
    values: Vec<KeyValue>,
}

/// Key of the shape file with a valid value.
#[derive(Clone, Debug, PartialEq)]
struct KeyValue {
    key: &'static Key,
    text: String,
}

impl DeploymentLayout {
    /// Parses the text of a shape file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the text, or only the syntax error if it is not valid INI.
    pub fn read(text: &str) -> Result<DeploymentLayout, Vec<LayoutError>> {
        let options = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
            vec![LayoutError::Syntax { line: error.line + 1, reason: error.msg.to_string() }]
        })?;
        let (mut values, mut errors) = (Vec::new(), Vec::new());
        for (section, properties) in &ini {
            for (name, text) in properties {
                match read_value(section.unwrap_or(""), name, text) {
                    Ok(value) => values.push(value),
                    Err(error) => errors.push(error),
                }
            }
        }
        if errors.is_empty() { Ok(DeploymentLayout { values }) } else { Err(errors) }
    }

    /// Returns the value that the shape file sets for a settings key, as text, or `None` if it does not set the key.
    pub(crate) fn text(&self, settings_key: &str) -> Option<&str> {
        let found = self.values.iter().find(|value| value.key.settings_key == settings_key);
        found.map(|value| &value.text[..])
    }
}

fn read_value(section: &str, name: &str, text: &str) -> Result<KeyValue, LayoutError> {
    let known = KEYS.iter().find(|key| key.section == section && key.name == name);
    let key = known.ok_or_else(|| unknown_key(section, name))?;
    if key.parse(text).is_none() {
        return Err(LayoutError::InvalidValue {
            section: key.section,
            key: key.name,
            found: text.to_owned(),
            allowed: key.describe_allowed(),
        });
    }
    Ok(KeyValue { key, text: text.trim().to_owned() })
}

fn unknown_key(section: &str, name: &str) -> LayoutError {
    let known_keys: Vec<String> = KEYS.iter().map(|key| format!("{}.{}", key.section, key.name)).collect();
    let nearest = nearest_name(&format!("{section}.{name}"), &known_keys);
    let describe =
        |key: &String| key.split_once('.').map(|(section, name)| format!("`{name}` in section [{section}]"));
    LayoutError::UnknownKey {
        section: section.to_owned(),
        key: name.to_owned(),
        nearest: nearest.and_then(describe).unwrap_or_default(),
    }
}
