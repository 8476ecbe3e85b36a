//! What values a key of the operator's file may hold.

use std::net::SocketAddr;

/// What values a key may hold. Bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueType {
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// A number.
    Number {
        /// The smallest.
        least: f64,
        /// The largest.
        most: f64,
    },
    /// A whole number.
    Whole {
        /// The smallest.
        least: u64,
        /// The largest.
        most: u64,
    },
    /// Any text, also an empty one.
    Text {
        /// The longest, in bytes.
        max_bytes: usize,
    },
    /// An IP address with its port, or nothing.
    Address,
    /// IP addresses with their ports and commas between them, or nothing.
    Addresses,
}

impl ValueType {
    /// Whether a value is allowed.
    pub fn accepts(self, value: &str) -> bool {
        match self {
            ValueType::OneOf(words) => words.contains(&value),
            ValueType::Number { least, most } => {
                value.parse::<f64>().is_ok_and(|number| (least..=most).contains(&number))
            }
            ValueType::Whole { least, most } => {
                value.parse::<u64>().is_ok_and(|number| (least..=most).contains(&number))
            }
            ValueType::Text { max_bytes } => value.len() <= max_bytes,
            ValueType::Address => value.is_empty() || value.parse::<SocketAddr>().is_ok(),
            ValueType::Addresses => parse_addresses(value).is_some(),
        }
    }

    /// What is allowed, in words for an operator.
    pub fn describe(self) -> String {
        match self {
            ValueType::OneOf(words) => {
                words.iter().map(|word| format!("`{word}`")).collect::<Vec<_>>().join(" or ")
            }
            ValueType::Number { least, most } => format!("{least} to {most}"),
            ValueType::Whole { least, most } => format!("a whole number from {least} to {most}"),
            ValueType::Text { max_bytes } => format!("text of {max_bytes} bytes at most"),
            ValueType::Address => "an address as `127.0.0.1:18001`".to_owned(),
            ValueType::Addresses => "addresses as `127.0.0.1:18000`, with commas between them".to_owned(),
        }
    }
}

/// Addresses with commas between them; `None` where one can't be read.
pub(crate) fn parse_addresses(value: &str) -> Option<Vec<SocketAddr>> {
    let items = value.split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(|item| item.parse().ok()).collect()
}
