//! Types and ranges of the values in the operator's file.

use std::net::SocketAddr;

/// Type and range of the values of a key. Bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueType {
    /// One of the given strings.
    OneOf(&'static [&'static str]),
    /// A number.
    Number {
        /// Smallest allowed number.
        min: f64,
        /// Largest allowed number.
        max: f64,
    },
    /// A non-negative integer.
    Integer {
        /// Smallest allowed number.
        min: u64,
        /// Largest allowed number.
        max: u64,
    },
    /// Any text, including the empty text.
    Text {
        /// Maximum length, in bytes.
        max_bytes: usize,
    },
    /// An IP address with a port. May be empty.
    Address,
    /// A comma-separated list of IP addresses with ports. May be empty.
    Addresses,
}

impl ValueType {
    /// Returns whether a value is allowed.
    pub fn accepts(self, value: &str) -> bool {
        match self {
            ValueType::OneOf(values) => values.contains(&value),
            ValueType::Number { min, max } => {
                value.parse::<f64>().is_ok_and(|number| (min..=max).contains(&number))
            }
            ValueType::Integer { min, max } => {
                value.parse::<u64>().is_ok_and(|number| (min..=max).contains(&number))
            }
            ValueType::Text { max_bytes } => value.len() <= max_bytes,
            ValueType::Address => value.is_empty() || value.parse::<SocketAddr>().is_ok(),
            ValueType::Addresses => parse_addresses(value).is_some(),
        }
    }

    /// Returns the allowed values as a phrase for error messages.
    pub fn describe(self) -> String {
        match self {
            ValueType::OneOf(values) => {
                values.iter().map(|value| format!("`{value}`")).collect::<Vec<_>>().join(" or ")
            }
            ValueType::Number { min, max } => format!("a number from {min} to {max}"),
            ValueType::Integer { min, max } => format!("an integer from {min} to {max}"),
            ValueType::Text { max_bytes } => format!("text of at most {max_bytes} bytes"),
            ValueType::Address => "an address such as `127.0.0.1:18001`".to_owned(),
            ValueType::Addresses => {
                "a comma-separated list of addresses such as `127.0.0.1:18000`".to_owned()
            }
        }
    }
}

/// Parses a comma-separated list of addresses. Returns `None` if any of them is invalid.
pub(crate) fn parse_addresses(value: &str) -> Option<Vec<SocketAddr>> {
    let items = value.split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(|item| item.parse().ok()).collect()
}
