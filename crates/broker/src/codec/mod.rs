//! The frames between the broker and a node: a length in four bytes, a letter for the kind, the body. The protocol's
//! letters and headers become the code's terms here, and nowhere else.
//!
//! [`OutboundFrame`] is encoded, [`InboundFrame`] decoded by a [`FrameDecoder`].

mod inbound_frame;
mod load_report;
mod outbound_frame;

pub use inbound_frame::{FrameDecoder, FrameError, InboundFrame};
pub use load_report::read_load_report;
pub use outbound_frame::{OutboundFrame, ShardRequestMessage};

/// Bytes of the length that precedes each frame: little endian, not counting itself.
const LENGTH_BYTES: usize = 4;

/// Whether these bytes might be the rest of a response's value: UTF-8 without control characters.
pub fn is_text(bytes: &[u8]) -> bool {
    std::str::from_utf8(bytes).is_ok_and(|text| !text.contains(char::is_control))
}

#[cfg(test)]
mod tests;
