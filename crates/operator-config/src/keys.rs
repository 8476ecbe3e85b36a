//! Table of all keys of the operator's file, with their sections, defaults and allowed values. The shipped file and
//! the operators' documentation have the same defaults and bounds.

use crate::value_type::ValueType::{self, Address, Addresses, OneOf, Text};

/// Section that configures the log.
pub(crate) const LOG: &str = "log";
/// Section that configures the configuration services and the rollout of versions.
pub(crate) const CONTROL: &str = "control";
/// Section that configures admission control.
pub(crate) const ADMISSION: &str = "admission";

/// Row of the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// Section that contains the key.
    pub section: &'static str,
    /// Name of the key, without the section.
    pub name: &'static str,
    /// Value that applies if the file does not set the key, in the notation of the file; empty if there is none.
    pub default: &'static str,
    /// Allowed values.
    pub value_type: ValueType,
}

impl Key {
    /// Returns the row of a key, or `None` if the table has no such key in this section.
    pub fn find(section: &str, name: &str) -> Option<&'static Key> {
        KEYS.iter().find(|key| key.section == section && key.name == name)
    }
}

/// Upper bound of most durations: one day, in milliseconds.
const DAY_MS: f64 = 86_400_000.0;

const fn number(min: f64, max: f64) -> ValueType {
    ValueType::Number { min, max }
}

const fn integer(min: u64, max: u64) -> ValueType {
    ValueType::Integer { min, max }
}

/// All keys of the operator's file.
pub const KEYS: &[Key] = &[
    Key { section: LOG, name: "format", default: "text", value_type: OneOf(&["text", "json"]) },
    Key { section: CONTROL, name: "services", default: "", value_type: Addresses },
    Key { section: CONTROL, name: "installation", default: "", value_type: Text { max_bytes: 256 } },
    Key { section: CONTROL, name: "keep_file", default: "", value_type: Text { max_bytes: 4096 } },
    Key { section: CONTROL, name: "status_listen", default: "", value_type: Address },
    Key { section: CONTROL, name: "trial_ms", default: "60000", value_type: number(1.0, DAY_MS) },
    Key { section: CONTROL, name: "longest_trial_ms", default: "900000", value_type: number(1.0, DAY_MS) },
    Key { section: CONTROL, name: "least_retrievals", default: "30", value_type: integer(1, 1_000_000) },
    Key { section: CONTROL, name: "margin", default: "0.05", value_type: number(0.0, 1.0) },
    Key { section: CONTROL, name: "count_every_ms", default: "1000", value_type: number(10.0, 60_000.0) },
    Key {
        section: CONTROL,
        name: "document_bytes",
        default: "1048576",
        value_type: integer(1024, 8_388_608),
    },
    Key { section: CONTROL, name: "first_wait_ms", default: "1000", value_type: number(1.0, DAY_MS) },
    Key { section: CONTROL, name: "longest_wait_ms", default: "60000", value_type: number(1.0, DAY_MS) },
    Key { section: CONTROL, name: "calls_per_minute", default: "10", value_type: integer(1, 600) },
    Key { section: CONTROL, name: "call_within_ms", default: "15000", value_type: number(10.0, 600_000.0) },
    Key { section: CONTROL, name: "steady_ms", default: "10000", value_type: number(0.0, DAY_MS) },
    Key { section: CONTROL, name: "suspect_ms", default: "300000", value_type: number(0.0, DAY_MS) },
    Key { section: CONTROL, name: "fleet_brokers", default: "1", value_type: integer(1, 1_000_000) },
    Key { section: CONTROL, name: "fleet_calls_per_s", default: "100", value_type: number(0.001, 1e6) },
    Key { section: ADMISSION, name: "door", default: "off", value_type: OneOf(&["off", "on"]) },
    Key { section: ADMISSION, name: "level", default: "0.1", value_type: number(0.001, 0.999) },
    Key { section: ADMISSION, name: "window_ms", default: "5000", value_type: number(100.0, 600_000.0) },
    Key { section: ADMISSION, name: "decrease", default: "0.8", value_type: number(0.01, 0.99) },
    Key { section: ADMISSION, name: "increase", default: "0.1", value_type: number(0.001, 1.0) },
    Key { section: ADMISSION, name: "open_above", default: "2", value_type: number(1.0, 100.0) },
    Key { section: ADMISSION, name: "burst_ms", default: "1000", value_type: number(0.0, 600_000.0) },
    Key { section: ADMISSION, name: "retry_share", default: "0.2", value_type: number(0.0, 100.0) },
    Key { section: ADMISSION, name: "retry_floor", default: "3", value_type: number(0.0, 1e6) },
    Key { section: ADMISSION, name: "most_callers", default: "10000", value_type: integer(1, 10_000_000) },
    Key { section: ADMISSION, name: "shares", default: "on", value_type: OneOf(&["off", "on"]) },
];
