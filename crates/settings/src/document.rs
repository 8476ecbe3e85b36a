//! A settings text as a document: bounded before it is parsed, and with one canonical form, so that two texts
//! with the same meaning have the same digest.

use serde_json::Value;
use thiserror::Error;

/// A document that could be parsed. Whether its values are allowed is for [`crate::check()`].
#[derive(Clone, Debug, PartialEq)]
pub struct Document(pub(crate) Value);

/// Why a text is no document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DocumentError {
    /// The text is longer than allowed; it was not parsed.
    #[error("{bytes} bytes, at most {max_bytes} are allowed")]
    TooLong {
        /// The text's length.
        bytes: usize,
        /// The longest that is allowed.
        max_bytes: usize,
    },
    /// The text is no JSON.
    #[error("line {line}, column {column}: {reason}")]
    Syntax {
        /// From 1.
        line: usize,
        /// From 1.
        column: usize,
        /// The parser's words.
        reason: String,
    },
    /// The text is JSON, but no object.
    #[error("not an object but {0}")]
    NotAnObject(&'static str),
}

impl Document {
    /// Parses a text of at most `max_bytes`.
    ///
    /// A text from a service could otherwise take all of a broker's memory, or its stack by deep nesting: the
    /// length is checked before a byte is parsed, and the parser ends at a nesting of 128. Such a text is an
    /// error that shows as a rejected version.
    ///
    /// # Errors
    /// The text is too long, is no JSON, or is JSON but no object.
    pub fn parse(text: &[u8], max_bytes: usize) -> Result<Document, DocumentError> {
        if text.len() > max_bytes {
            return Err(DocumentError::TooLong { bytes: text.len(), max_bytes });
        }
        let value: Value = serde_json::from_slice(text).map_err(|error| DocumentError::Syntax {
            line: error.line(),
            column: error.column(),
            reason: without_position(&error.to_string()),
        })?;
        match value {
            Value::Object(_) => Ok(Document(value)),
            other => Err(DocumentError::NotAnObject(type_name(&other))),
        }
    }

    /// RFC 8785: keys sorted, no white space, numbers in their shortest form.
    pub fn canonical(&self) -> Vec<u8> {
        // Numbers that JSON can hold can be written, so this does not fail on what was parsed.
        serde_json_canonicalizer::to_vec(&self.0).unwrap_or_default()
    }

    /// The value of a key of the outermost object.
    pub(crate) fn get(&self, key: &str) -> Option<&Value> {
        self.0.get(key)
    }

    /// Sets a key of the outermost object.
    pub(crate) fn set(&mut self, key: &str, value: Value) {
        if let Value::Object(entries) = &mut self.0 {
            entries.insert(key.to_owned(), value);
        }
    }
}

/// A parser's message without the position, which is shown apart.
fn without_position(message: &str) -> String {
    message.split(" at line ").next().unwrap_or_default().to_owned()
}

/// The JSON type of a value, in words for an operator.
pub(crate) fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// The path of a key in an object with the path `place`; the outermost object has an empty path.
pub(crate) fn join_key(place: &str, key: &str) -> String {
    if place.is_empty() { key.to_owned() } else { format!("{place}.{key}") }
}
