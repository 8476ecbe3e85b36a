//! Encoding of replies.

use crate::wire::codes::effect as code;
use bytes::BufMut;
use routing::{Effect, NodeId};

/// Length of a reply's header in bytes: its length field (4) and its record count (4).
const REPLY_HEADER_BYTES: usize = 8;

/// Length of the record count in bytes, which the length field includes.
const COUNT_BYTES: u32 = 4;

/// Id of all wake-ups. A constant is sufficient, because a broker requests one at a time.
const WAKE_ID: u64 = 0;

/// Reply under construction.
#[derive(Default)]
pub struct Reply {
    record_count: u32,
    records: Vec<u8>,
}

impl Reply {
    /// Adds a record which reports that a broker has failed.
    pub fn add_failure(&mut self, broker: u16, reason: &str) {
        self.start_record(code::BROKER_FAILED, broker);
        self.put_text(reason);
    }

    /// Adds a record with an effect of a broker.
    pub fn add_effect(&mut self, broker: u16, effect: &Effect) {
        self.start_record(effect_code(effect), broker);
        match effect {
            Effect::Send { shard_request, node, timeout } => {
                self.records.put_u64_le(shard_request.0);
                self.put_node(node);
                self.records.put_f64_le(timeout.as_ms());
            }
            Effect::Cancel { shard_request, attempt } => {
                self.records.put_u64_le(shard_request.0);
                self.records.put_u16_le(attempt.0);
            }
            Effect::Respond { query, complete } => {
                self.records.put_u64_le(query.0);
                self.records.put_u8((*complete).into());
            }
            Effect::Reject { query, retry_after } => {
                self.records.put_u64_le(query.0);
                self.records.put_f64_le(retry_after.as_ms());
            }
            Effect::Fail { query } => self.records.put_u64_le(query.0),
            Effect::CloseIdle { node } | Effect::Probe { node } => self.put_node(node),
            Effect::Wake { after } => {
                self.records.put_u64_le(WAKE_ID);
                self.records.put_f64_le(after.as_ms());
            }
            Effect::WatchEndpoints => self.records.put_u8(1),
            Effect::Log(event) => self.put_text(&event.to_string()),
        }
    }

    /// Returns the complete frame, including its length field.
    pub fn frame(&self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(REPLY_HEADER_BYTES + self.records.len());
        frame.put_u32_le(COUNT_BYTES + self.records.len() as u32);
        frame.put_u32_le(self.record_count);
        frame.put_slice(&self.records);
        frame
    }

    fn start_record(&mut self, code: u8, broker: u16) {
        self.record_count += 1;
        self.records.put_u8(code);
        self.records.put_u16_le(broker);
    }

    fn put_node(&mut self, node: &NodeId) {
        self.records.put_u32_le(node.0 as u32);
        self.records.put_u16_le((node.0 >> 32) as u16);
    }

    /// Writes a text with its length. Truncates the text to the maximum that the length field can hold.
    fn put_text(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.records.put_u16_le(bytes.len() as u16);
        self.records.put_slice(bytes);
    }
}

fn effect_code(effect: &Effect) -> u8 {
    match effect {
        Effect::Send { .. } => code::SEND,
        Effect::Cancel { .. } => code::CANCEL,
        Effect::Respond { .. } => code::RESPOND,
        Effect::Reject { .. } => code::REJECT,
        Effect::Fail { .. } => code::FAIL,
        Effect::CloseIdle { .. } => code::CLOSE_IDLE,
        Effect::Probe { .. } => code::PROBE,
        Effect::Wake { .. } => code::WAKE,
        Effect::WatchEndpoints => code::WATCH_ENDPOINTS,
        Effect::Log(_) => code::LOG,
    }
}
