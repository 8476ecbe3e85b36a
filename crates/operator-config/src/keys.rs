//! The table of all keys of the operator's file: its section, its default, and what it may hold. The
//! shipped file and the operators' page have the same defaults and bounds.

use crate::value_type::ValueType::{self, Address, Addresses, OneOf, Text};

/// How log lines are written.
pub(crate) const LOG: &str = "log";
/// Where configuration versions come from, and how they are rolled out.
pub(crate) const CONTROL: &str = "control";
/// Admission control.
pub(crate) const ADMISSION: &str = "admission";

/// One row of the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// The section of the key.
    pub section: &'static str,
    /// The key.
    pub name: &'static str,
    /// Its value where it is left out, as it would be written; empty for none.
    pub default: &'static str,
    /// What it may hold.
    pub value_type: ValueType,
}

impl Key {
    /// The row of a key.
    pub fn find(section: &str, name: &str) -> Option<&'static Key> {
        KEYS.iter().find(|key| key.section == section && key.name == name)
    }
}

/// A day in milliseconds.
const DAY_MS: f64 = 86_400_000.0;

const fn number(least: f64, most: f64) -> ValueType {
    ValueType::Number { least, most }
}

const fn whole(least: u64, most: u64) -> ValueType {
    ValueType::Whole { least, most }
}

/// Every key.
pub const KEYS: &[Key] = &[
    Key { section: LOG, name: "format", default: "text", value_type: OneOf(&["text", "json"]) },
    Key { section: CONTROL, name: "services", default: "", value_type: Addresses },
    Key { section: CONTROL, name: "installation", default: "", value_type: Text { max_bytes: 256 } },
    Key { section: CONTROL, name: "keep_file", default: "", value_type: Text { max_bytes: 4096 } },
    Key { section: CONTROL, name: "status_listen", default: "", value_type: Address },
    Key { section: CONTROL, name: "trial_ms", default: "60000", value_type: number(1.0, DAY_MS) },
    Key { section: CONTROL, name: "longest_trial_ms", default: "900000", value_type: number(1.0, DAY_MS) },
    Key { section: CONTROL, name: "least_retrievals", default: "30", value_type: whole(1, 1_000_000) },
    Key { section: CONTROL, name: "margin", default: "0.05", value_type: number(0.0, 1.0) },
    Key { section: CONTROL, name: "count_every_ms", default: "1000", value_type: number(10.0, 60_000.0) },
    Key { section: CONTROL, name: "document_bytes", default: "1048576", value_type: whole(1024, 8_388_608) },
    Key { section: CONTROL, name: "first_wait_ms", default: "1000", value_type: number(1.0, DAY_MS) },
    Key { section: CONTROL, name: "longest_wait_ms", default: "60000", value_type: number(1.0, DAY_MS) },
    Key { section: CONTROL, name: "calls_per_minute", default: "10", value_type: whole(1, 600) },
    Key { section: CONTROL, name: "call_within_ms", default: "15000", value_type: number(10.0, 600_000.0) },
    Key { section: CONTROL, name: "steady_ms", default: "10000", value_type: number(0.0, DAY_MS) },
    Key { section: CONTROL, name: "suspect_ms", default: "300000", value_type: number(0.0, DAY_MS) },
    Key { section: CONTROL, name: "fleet_brokers", default: "1", value_type: whole(1, 1_000_000) },
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
    Key { section: ADMISSION, name: "most_callers", default: "10000", value_type: whole(1, 10_000_000) },
    Key { section: ADMISSION, name: "shares", default: "on", value_type: OneOf(&["off", "on"]) },
];
