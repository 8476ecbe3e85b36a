//! Binary protocol of the simulator. The adapter receives batches of events and sends replies with effects. All
//! numbers are little-endian.

mod codes;
mod decode;
mod encode;

pub use decode::{Batch, BatchEvent, DecodeError, HEADER_BYTES, decode_body, decode_header};
pub use encode::Reply;
