//! Parser of the operator's file. It checks each key and value by itself and collects all errors.

use crate::{KEYS, Key, OperatorConfigError};
use ini::{Ini, ParseOption};
use nearest_name::nearest_name;

/// Valid values of a file, and the errors found in it.
pub(crate) struct KeyValues<'a> {
    text: &'a str,
    values: Vec<KeyValue>,
    pub errors: Vec<OperatorConfigError>,
}

struct KeyValue {
    key: &'static Key,
    value: String,
}

impl<'a> KeyValues<'a> {
    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid INI. All other errors are collected in `errors`.
    pub fn read(text: &'a str) -> Result<KeyValues<'a>, OperatorConfigError> {
        // Paths may contain backslashes, so these are not escape characters.
        let options = ParseOption { enabled_escape: false, enabled_quote: true, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| OperatorConfigError::Syntax {
            line: error.line,
            column: error.col,
            reason: error.msg.to_string(),
        })?;
        let mut key_values = KeyValues { text, values: Vec::new(), errors: Vec::new() };
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            if !section.is_empty() || !properties.is_empty() {
                key_values.read_section(section, properties.iter());
            }
        }
        Ok(key_values)
    }

    fn read_section<'p>(&mut self, section: &str, properties: impl Iterator<Item = (&'p str, &'p str)>) {
        if !KEYS.iter().any(|key| key.section == section) {
            let nearest = nearest_name(section, KEYS.iter().map(|key| key.section)).unwrap_or_default();
            let (line, section) = (self.section_line(section), section.to_owned());
            return self.errors.push(OperatorConfigError::UnknownSection { line, section, nearest });
        }
        let mut seen = Vec::new();
        for (name, value) in properties {
            match self.read_value(section, name, value, seen.contains(&name)) {
                Ok(key_value) => self.values.push(key_value),
                Err(error) => self.errors.push(error),
            }
            seen.push(name);
        }
    }

    fn read_value(
        &self,
        section: &str,
        name: &str,
        value: &str,
        is_duplicate: bool,
    ) -> Result<KeyValue, OperatorConfigError> {
        let line = ini_lines::key_line(self.text, section, name).unwrap_or(1);
        let (section_name, key_name) = (section.to_owned(), name.to_owned());
        let Some(key) = Key::find(section, name) else {
            let names = KEYS.iter().filter(|key| key.section == section).map(|key| key.name);
            let nearest = nearest_name(name, names).unwrap_or_default();
            return Err(OperatorConfigError::UnknownKey {
                line,
                section: section_name,
                key: key_name,
                nearest,
            });
        };
        if is_duplicate {
            return Err(OperatorConfigError::DuplicateKey { line, section: section_name, key: key_name });
        }
        if !key.value_type.accepts(value.trim()) {
            return Err(OperatorConfigError::InvalidValue {
                line,
                section: section_name,
                key: key_name,
                found: value.to_owned(),
                allowed: key.value_type.describe(),
            });
        }
        Ok(KeyValue { key, value: value.trim().to_owned() })
    }

    /// Returns the line number of a section's header, or 1 if the section has none.
    pub fn section_line(&self, section: &str) -> usize {
        ini_lines::section_line(self.text, section).unwrap_or(1)
    }

    /// Returns the value of a key, or its default if the file does not set it.
    pub fn get(&self, section: &str, name: &str) -> &str {
        let entry = self.values.iter().find(|entry| entry.key.section == section && entry.key.name == name);
        let default = || Key::find(section, name).map_or("", |key| key.default);
        entry.map_or_else(default, |entry| &entry.value)
    }

    /// Returns the value of a numeric key. Its type was checked when the file was parsed.
    pub fn number(&self, section: &str, name: &str) -> f64 {
        self.get(section, name).parse().unwrap_or(0.0)
    }

    /// Returns whether the file sets a key of the section other than `name`.
    pub fn has_other_keys(&self, section: &str, name: &str) -> bool {
        self.values.iter().any(|entry| entry.key.section == section && entry.key.name != name)
    }
}
