//! What values a settings key may hold.

use serde_json::Value;
use std::ops::RangeInclusive;

/// The shortest and the longest text that [`ValueType::Text`] accepts, in bytes.
const TEXT_BYTES: RangeInclusive<usize> = 1..=256;

/// What values a key may hold. Bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueType {
    /// A time in milliseconds.
    Milliseconds {
        /// The shortest.
        least: f64,
        /// The longest.
        most: f64,
    },
    /// A number.
    Number {
        /// The smallest.
        least: f64,
        /// The largest.
        most: f64,
    },
    /// A number from 0 to 1.
    Share,
    /// A whole number.
    Whole {
        /// The smallest.
        least: u64,
        /// The largest.
        most: u64,
    },
    /// True or false.
    Boolean,
    /// Text of one to 256 bytes.
    Text,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// Whatever the platform writes there; it is not read.
    Unchecked,
}

impl ValueType {
    /// Whether a value is allowed.
    pub fn accepts(self, value: &Value) -> bool {
        let is_between = |least: f64, most: f64| value.as_f64().is_some_and(|n| (least..=most).contains(&n));
        match self {
            ValueType::Milliseconds { least, most } | ValueType::Number { least, most } => {
                is_between(least, most)
            }
            ValueType::Share => is_between(0.0, 1.0),
            ValueType::Whole { least, most } => value.as_u64().is_some_and(|n| (least..=most).contains(&n)),
            ValueType::Boolean => value.is_boolean(),
            ValueType::Text => value.as_str().is_some_and(|text| TEXT_BYTES.contains(&text.len())),
            ValueType::OneOf(words) => value.as_str().is_some_and(|text| words.contains(&text)),
            ValueType::Unchecked => true,
        }
    }

    /// What is allowed, in words for an operator.
    pub fn describe(self) -> String {
        match self {
            ValueType::Milliseconds { least, most } => format!("{least} to {most} milliseconds"),
            ValueType::Number { least, most } => format!("a number from {least} to {most}"),
            ValueType::Share => "a share from 0 to 1".to_owned(),
            ValueType::Whole { least, most } => format!("a whole number from {least} to {most}"),
            ValueType::Boolean => "true or false".to_owned(),
            ValueType::Text => "text of 1 to 256 bytes".to_owned(),
            ValueType::OneOf(words) => {
                words.iter().map(|word| format!("`{word}`")).collect::<Vec<_>>().join(" or ")
            }
            ValueType::Unchecked => "anything".to_owned(),
        }
    }
}
