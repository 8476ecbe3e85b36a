//! The loop from batch to reply.

use crate::broker_host::{BatchError, BrokerHost};
use crate::wire::{self, DecodeError, HEADER_BYTES};
use std::io::{self, Read, Write};

/// Why serving ended before the input did.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The input can't be read, or the output not written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input ends within a header, after so many of its bytes.
    #[error("the input ends at byte {0} of a frame's header")]
    HeaderCutShort(usize),
    /// The input ends within a frame, after so many of its bytes.
    #[error("the input ends at byte {0} of a frame")]
    FrameCutShort(usize),
    /// A frame can't be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A batch contradicts what came before.
    #[error(transparent)]
    Batch(#[from] BatchError),
}

/// Answers each batch of the input, until that ends between two.
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
            return Err(ServeError::HeaderCutShort(header_read));
        }
        let (now, length) = wire::decode_header(&header);
        body.clear();
        // Grows with what comes, not with what the length field claims.
        let body_read = input.by_ref().take(length as u64).read_to_end(&mut body)?;
        if body_read < length {
            return Err(ServeError::FrameCutShort(HEADER_BYTES + body_read));
        }
        let reply = host.handle(wire::decode_body(now, &body)?)?;
        output.write_all(&reply.frame())?;
        output.flush()?;
    }
}

/// Fills the buffer as far as the input goes; how many bytes that were.
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
