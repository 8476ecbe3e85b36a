//! The frame protocol between the broker and its nodes.
//!
//! A frame has a length of four bytes, one byte for its type, and a body. [`OutboundFrame::encode`] encodes frames to
//! a node, [`FrameDecoder`] decodes [`InboundFrame`]s from a node. Only this module uses the names of the wire
//! format.

mod inbound_frame;
mod load_report;
mod outbound_frame;
mod response_length;

pub use inbound_frame::{DecodedFrame, FrameDecoder, FrameError, InboundFrame};
pub use load_report::read_load_report;
pub use outbound_frame::{OutboundFrame, ShardRequestMessage};
pub use response_length::{contains_frame_start, has_wrong_length};

/// The size of a frame's length prefix. The length is in little endian and excludes the prefix.
const LENGTH_BYTES: usize = 4;

#[cfg(test)]
mod tests;
