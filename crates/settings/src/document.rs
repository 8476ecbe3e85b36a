//! Settings documents. Their length is limited before they are parsed, and each has one canonical form, so that
//! equivalent documents have the same digest.

use serde_json::Value;
use thiserror::Error;

/// Parsed settings document, which is a JSON object. Its values are not validated; see [`crate::check()`].
#[derive(Clone, Debug, PartialEq)]
pub struct Document(pub(crate) Value);

/// Reason why a text can't be parsed as a document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DocumentError {
    /// The text is longer than allowed and was not parsed.
    #[error("{bytes} bytes, at most {max_bytes} are allowed")]
    TooLong {
        /// Length of the text.
        bytes: usize,
        /// Maximum length.
        max_bytes: usize,
    },
    /// The text is not valid JSON, or is nested too deeply.
    #[error("line {line}, column {column}: {reason}")]
    Syntax {
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error, counted from 1.
        column: usize,
        /// Message of the parser, without the position.
        reason: String,
    },
    /// The text is valid JSON but not an object. The value is the JSON type that was found.
    #[error("not an object but {0}")]
    NotAnObject(&'static str),
}

impl Document {
    /// Parses a text of at most `max_bytes` bytes.
    ///
    /// The limits keep a text from a configuration service from exhausting the broker's memory, or its stack by deep
    /// nesting. The length is checked before parsing, and the parser fails at a nesting of 128 levels. A version with
    /// such a text is rejected.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is too long, is not valid JSON, or is not a JSON object.
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

    /// Returns the canonical form of the document by RFC 8785: sorted keys, no white space, and numbers in their
    /// shortest form.
    pub fn canonical(&self) -> Vec<u8> {
        // Serialization fails only for numbers that JSON can't represent, and a parsed document has none.
        serde_json_canonicalizer::to_vec(&self.0).unwrap_or_default()
    }

    /// Returns the value of a top-level key.
    pub(crate) fn get(&self, key: &str) -> Option<&Value> {
        self.0.get(key)
    }

    /// Sets the value of a top-level key.
    pub(crate) fn set(&mut self, key: &str, value: Value) {
        if let Value::Object(entries) = &mut self.0 {
            entries.insert(key.to_owned(), value);
        }
    }
}

/// Removes the position from a message of the parser, because the error states it separately.
fn without_position(message: &str) -> String {
    message.split(" at line ").next().unwrap_or_default().to_owned()
}

/// Returns the JSON type of a value, worded for error messages.
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

/// Returns the path of `key` in the object at `path`. The top-level object has an empty path.
pub(crate) fn join_key(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
