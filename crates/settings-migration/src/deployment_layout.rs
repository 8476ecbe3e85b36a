//! The layout of the new deployment, as the shape file states it.

use crate::{KEYS, Key, LayoutError};
use ini::{Ini, ParseOption};
use nearest_name::nearest_name;

/// The layout of the new deployment, as far as its shape file states it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentLayout {
    stated: Vec<StatedValue>,
}

/// A value that is allowed for its key.
#[derive(Clone, Debug, PartialEq)]
struct StatedValue {
    key: &'static Key,
    text: String,
}

impl DeploymentLayout {
    /// Reads a shape file's text.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn read(text: &str) -> Result<DeploymentLayout, Vec<LayoutError>> {
        let options = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
            vec![LayoutError::Syntax { line: error.line + 1, reason: error.msg.to_string() }]
        })?;
        let (mut stated, mut errors) = (Vec::new(), Vec::new());
        for (section, properties) in &ini {
            for (name, text) in properties {
                match read_value(section.unwrap_or(""), name, text) {
                    Ok(value) => stated.push(value),
                    Err(error) => errors.push(error),
                }
            }
        }
        if errors.is_empty() { Ok(DeploymentLayout { stated }) } else { Err(errors) }
    }

    /// The text that the shape file states for a settings key.
    pub(crate) fn text(&self, settings_key: &str) -> Option<&str> {
        let stated = self.stated.iter().find(|stated| stated.key.settings_key == settings_key);
        stated.map(|stated| &stated.text[..])
    }
}

fn read_value(section: &str, name: &str, text: &str) -> Result<StatedValue, LayoutError> {
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
    Ok(StatedValue { key, text: text.trim().to_owned() })
}

fn unknown_key(section: &str, name: &str) -> LayoutError {
    let places: Vec<String> = KEYS.iter().map(|key| format!("{}.{}", key.section, key.name)).collect();
    let nearest = nearest_name(&format!("{section}.{name}"), &places);
    let show = |place: &String| place.split_once('.').map(|(section, name)| format!("{name} of [{section}]"));
    LayoutError::UnknownKey {
        section: section.to_owned(),
        key: name.to_owned(),
        nearest: nearest.and_then(show).unwrap_or_default(),
    }
}
