//! Types and ranges of the values of settings keys.

use serde_json::Value;
use std::ops::RangeInclusive;

/// Lengths of the strings that [`ValueType::Text`] accepts, in bytes.
const TEXT_BYTES: RangeInclusive<usize> = 1..=256;

/// Type and range of the values of a key. Bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueType {
    /// A duration in milliseconds.
    Milliseconds {
        /// Shortest allowed duration.
        min: f64,
        /// Longest allowed duration.
        max: f64,
    },
    /// A number.
    Number {
        /// Smallest allowed number.
        min: f64,
        /// Largest allowed number.
        max: f64,
    },
    /// A number from 0 to 1.
    Share,
    /// A non-negative integer.
    Integer {
        /// Smallest allowed number.
        min: u64,
        /// Largest allowed number.
        max: u64,
    },
    /// `true` or `false`.
    Boolean,
    /// A string of 1 to 256 bytes.
    Text,
    /// One of the given strings.
    OneOf(&'static [&'static str]),
    /// Any JSON value. The platform uses the key; the broker does not read it.
    Unchecked,
}

impl ValueType {
    /// Returns whether a value is allowed.
    pub fn accepts(self, value: &Value) -> bool {
        let is_between = |min: f64, max: f64| value.as_f64().is_some_and(|n| (min..=max).contains(&n));
        match self {
            ValueType::Milliseconds { min, max } | ValueType::Number { min, max } => is_between(min, max),
            ValueType::Share => is_between(0.0, 1.0),
            ValueType::Integer { min, max } => value.as_u64().is_some_and(|n| (min..=max).contains(&n)),
            ValueType::Boolean => value.is_boolean(),
            ValueType::Text => value.as_str().is_some_and(|text| TEXT_BYTES.contains(&text.len())),
            ValueType::OneOf(values) => value.as_str().is_some_and(|text| values.contains(&text)),
            ValueType::Unchecked => true,
        }
    }

    /// Returns the allowed values as a phrase for error messages.
    pub fn describe(self) -> String {
        match self {
            ValueType::Milliseconds { min, max } => format!("{min} to {max} milliseconds"),
            ValueType::Number { min, max } => format!("a number from {min} to {max}"),
            ValueType::Share => "a share from 0 to 1".to_owned(),
            ValueType::Integer { min, max } => format!("a whole number from {min} to {max}"),
            ValueType::Boolean => "true or false".to_owned(),
            ValueType::Text => "text of 1 to 256 bytes".to_owned(),
            ValueType::OneOf(values) => {
                values.iter().map(|value| format!("`{value}`")).collect::<Vec<_>>().join(" or ")
            }
            ValueType::Unchecked => "anything".to_owned(),
        }
    }
}
