//! Main loop: reads batches and writes replies.

use crate::broker_host::{BatchError, BrokerHost};
use crate::wire::{self, DecodeError, HEADER_BYTES};
use std::io::{self, Read, Write};

/// Error that ends the main loop before the end of the input.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Reading the input or writing the output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input ended within a frame header, of which this many bytes were read.
    #[error("input truncated after {0} bytes of a frame header")]
    TruncatedHeader(usize),
    /// The input ended within a frame, of which this many bytes were read, including the header.
    #[error("input truncated after {0} bytes of a frame")]
    TruncatedFrame(usize),
    /// A frame could not be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A batch is inconsistent with the preceding ones.
    #[error(transparent)]
    Batch(#[from] BatchError),
}

/// Reads batches from `input` and writes a reply for each to `output`. Returns when the input ends after a complete
/// batch.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), ServeError> {
    let mut host = BrokerHost::default();
    let mut header = [0; HEADER_BYTES];
    let mut body = Vec::new();
    loop {
        let header_read = read_up_to(&mut input, &mut header)?;
        if header_read == 0 {
            return Ok(());
        }
        if header_read < header.len() {
            return Err(ServeError::TruncatedHeader(header_read));
        }
        let (now, length) = wire::decode_header(&header);
        body.clear();
        // Allocates as bytes arrive instead of trusting the length field.
        let body_read = input.by_ref().take(length as u64).read_to_end(&mut body)?;
        if body_read < length {
            return Err(ServeError::TruncatedFrame(HEADER_BYTES + body_read));
        }
        let reply = host.handle(wire::decode_body(now, &body)?)?;
        output.write_all(&reply.frame())?;
        output.flush()?;
    }
}

/// Reads until the buffer is full or the input ends, and returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}
