//! Every key of the operator's file: where it stands, its default, what it may hold, what it is for. The
//! shipped file and the operators' page say the same.

use std::net::SocketAddr;

pub struct Key {
    pub section: &'static str,
    pub name: &'static str,
    /// As it would be written; empty for none.
    pub default: &'static str,
    /// What is allowed, where a value is not.
    pub check: fn(&str) -> Result<(), String>,
}

const fn key(
    section: &'static str,
    name: &'static str,
    default: &'static str,
    check: fn(&str) -> Result<(), String>,
) -> Key {
    Key { section, name, default, check }
}

#[rustfmt::skip]
pub const KEYS: &[Key] = &[
    key("log",     "format",            "text",    |v| one_of(v, &["text", "json"])),
    key("control", "services",          "",        |v| addresses(v).map(|_| ()).ok_or(ADDRESSES.to_owned())),
    key("control", "installation",      "",        |v| length(v, 256)),
    key("control", "keep_file",         "",        |v| length(v, 4096)),
    key("control", "status_listen",     "",        address),
    key("control", "trial_ms",          "60000",   |v| between(v, 1.0, DAY)),
    key("control", "longest_trial_ms",  "900000",  |v| between(v, 1.0, DAY)),
    key("control", "least_retrievals",  "30",      |v| whole(v, 1.0, 1e6)),
    key("control", "margin",            "0.05",    |v| between(v, 0.0, 1.0)),
    key("control", "count_every_ms",    "1000",    |v| between(v, 10.0, 60_000.0)),
    key("control", "document_bytes",    "1048576", |v| whole(v, 1024.0, 8_388_608.0)),
    key("control", "first_wait_ms",     "1000",    |v| between(v, 1.0, DAY)),
    key("control", "longest_wait_ms",   "60000",   |v| between(v, 1.0, DAY)),
    key("control", "calls_per_minute",  "10",      |v| whole(v, 1.0, 600.0)),
    key("control", "call_within_ms",    "15000",   |v| between(v, 10.0, 600_000.0)),
    key("control", "steady_ms",         "10000",   |v| between(v, 0.0, DAY)),
    key("control", "suspect_ms",        "300000",  |v| between(v, 0.0, DAY)),
    key("control", "fleet_brokers",     "1",       |v| whole(v, 1.0, 1e6)),
    key("control", "fleet_calls_per_s", "100",     |v| between(v, 0.001, 1e6)),
    key("admission", "door",            "off",     |v| one_of(v, &["off", "on"])),
    key("admission", "level",           "0.1",     |v| between(v, 0.001, 0.999)),
    key("admission", "window_ms",       "5000",    |v| between(v, 100.0, 600_000.0)),
    key("admission", "decrease",        "0.8",     |v| between(v, 0.01, 0.99)),
    key("admission", "increase",        "0.1",     |v| between(v, 0.001, 1.0)),
    key("admission", "open_above",      "2",       |v| between(v, 1.0, 100.0)),
    key("admission", "burst_ms",        "1000",    |v| between(v, 0.0, 600_000.0)),
    key("admission", "retry_share",     "0.2",     |v| between(v, 0.0, 100.0)),
    key("admission", "retry_floor",     "3",       |v| between(v, 0.0, 1e6)),
    key("admission", "most_callers",    "10000",   |v| whole(v, 1.0, 1e7)),
    key("admission", "shares",          "on",      |v| one_of(v, &["off", "on"])),
];

const DAY: f64 = 86_400_000.0;
const ADDRESSES: &str = "addresses as `127.0.0.1:18000`, with commas between them";

fn one_of(value: &str, words: &[&str]) -> Result<(), String> {
    let allowed = words.iter().map(|word| format!("`{word}`")).collect::<Vec<_>>().join(" or ");
    if words.contains(&value) { Ok(()) } else { Err(allowed) }
}

fn between(value: &str, least: f64, most: f64) -> Result<(), String> {
    match value.parse::<f64>() {
        Ok(number) if (least..=most).contains(&number) => Ok(()),
        _ => Err(format!("{least} to {most}")),
    }
}

fn whole(value: &str, least: f64, most: f64) -> Result<(), String> {
    match value.parse::<u64>() {
        Ok(number) if (least..=most).contains(&(number as f64)) => Ok(()),
        _ => Err(format!("a whole number from {least} to {most}")),
    }
}

fn length(value: &str, most: usize) -> Result<(), String> {
    if value.len() <= most { Ok(()) } else { Err(format!("text of {most} bytes at most")) }
}

fn address(value: &str) -> Result<(), String> {
    if value.is_empty() || value.parse::<SocketAddr>().is_ok() {
        return Ok(());
    }
    Err("an address as `127.0.0.1:18001`".to_owned())
}

/// Addresses with commas between them; none where one can't be read.
pub fn addresses(value: &str) -> Option<Vec<SocketAddr>> {
    let words = value.split(',').map(str::trim).filter(|word| !word.is_empty());
    words.map(|word| word.parse().ok()).collect()
}
