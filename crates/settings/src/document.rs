//! A whole settings text as a document: bounded before it is parsed, and with one canonical form, so that
//! two texts that say the same have the same bytes to take a digest of.

use serde_json::Value;
use thiserror::Error;

/// A document that could be parsed. Whether what it says makes sense is for [`crate::check`].
#[derive(Clone, Debug, PartialEq)]
pub struct Document(pub(crate) Value);

/// Why a text is no document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Unreadable {
    #[error("{holds} bytes, at most {most} are allowed")]
    Long { holds: usize, most: usize },
    #[error("line {line}, column {column}: {why}")]
    Syntax { line: usize, column: usize, why: String },
    #[error("not an object but {0}")]
    Kind(&'static str),
}

impl Document {
    /// Guards against texts that take the memory of a broker: the bound is held against the length before a
    /// byte is parsed, and nesting is cut off by the parser (128 deep).
    pub fn parse(text: &[u8], most: usize) -> Result<Document, Unreadable> {
        if text.len() > most {
            return Err(Unreadable::Long { holds: text.len(), most });
        }
        let value: Value = serde_json::from_slice(text).map_err(|e| Unreadable::Syntax {
            line: e.line(),
            column: e.column(),
            why: strip_place(e.to_string()),
        })?;
        match value {
            Value::Object(_) => Ok(Document(value)),
            other => Err(Unreadable::Kind(kind(&other))),
        }
    }

    /// RFC 8785: keys sorted, no white space, numbers in their shortest form.
    pub fn canonical(&self) -> Vec<u8> {
        // Numbers that JSON can hold can be written, so this does not fail on what was parsed.
        serde_json_canonicalizer::to_vec(&self.0).unwrap_or_default()
    }

    /// What one key on the outermost level holds.
    pub(crate) fn get(&self, key: &str) -> Option<&Value> {
        self.0.get(key)
    }

    pub(crate) fn set(&mut self, key: &str, value: Value) {
        if let Value::Object(all) = &mut self.0 {
            all.insert(key.to_owned(), value);
        }
    }
}

/// The parser's words without the place, which is told apart.
fn strip_place(words: String) -> String {
    words.split(" at line ").next().unwrap_or_default().to_owned()
}

pub(crate) fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
