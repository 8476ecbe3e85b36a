//! The simulator's wire: batches of events come in, replies with effects go out; all numbers are
//! little-endian.

mod codes;
mod decode;
mod encode;

pub use decode::{Batch, BatchEvent, DecodeError, HEADER_BYTES, decode_body, decode_header};
pub use encode::Reply;
