//! Reading of request bodies into memory that is reserved as it is needed.

use super::RequestError;
use super::handler_error::HandlerError;
use crate::memory_budget::{MemoryBudget, Reservation};
use actix_http::Request;
use bytes::Bytes;
use futures_util::StreamExt;
use std::rc::Rc;

/// The steps in which the buffer of a body grows.
const GROWTH_BYTES: usize = 4 * 1024;

/// The bytes of a complete body, and their memory.
pub(super) struct RequestBodyBytes {
    pub(super) bytes: Bytes,
    _memory: Reservation,
}

/// A reader of one request's body. Memory is reserved as the body is received, not as it is announced: clients that
/// announce much and send little must not take it from others.
pub(super) struct BodyReader {
    buffer: Vec<u8>,
    memory: Reservation,
    /// The length of the whole body as far as it is known, otherwise the maximum.
    max_expected_bytes: usize,
    max_bytes: usize,
}

impl BodyReader {
    /// Creates a reader of a body of at most `max_bytes`, and exactly `announced_bytes` if that is given.
    pub(super) fn new(
        memory: &Rc<MemoryBudget>,
        announced_bytes: Option<usize>,
        max_bytes: usize,
    ) -> BodyReader {
        let max_expected_bytes = announced_bytes.unwrap_or(max_bytes);
        BodyReader { buffer: Vec::new(), memory: memory.reserve(0), max_expected_bytes, max_bytes }
    }

    /// Reads the entire body.
    pub(super) async fn read(mut self, request: &mut Request) -> Result<RequestBodyBytes, HandlerError> {
        let mut payload = request.take_payload();
        while let Some(chunk) = payload.next().await {
            self.append(&chunk.map_err(|_| RequestError::BodyCutOff)?)?;
        }
        self.buffer.shrink_to_fit();
        self.memory.resize(self.buffer.len());
        Ok(RequestBodyBytes { bytes: self.buffer.into(), _memory: self.memory })
    }

    fn append(&mut self, chunk: &[u8]) -> Result<(), HandlerError> {
        let length = self.buffer.len() + chunk.len();
        if length > self.max_bytes {
            return Err(RequestError::BodyTooLong.into());
        }
        if length > self.buffer.capacity() {
            self.grow(chunk.len())?;
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Extends the buffer by at least `needed_bytes`.
    fn grow(&mut self, needed_bytes: usize) -> Result<(), HandlerError> {
        let expected_bytes = self.max_expected_bytes.saturating_sub(self.buffer.len());
        let growth = GROWTH_BYTES.min(expected_bytes).max(needed_bytes);
        let capacity = self.buffer.len() + growth;
        if !self.memory.try_grow(capacity - self.memory.bytes()) {
            return Err(HandlerError::Rejected);
        }
        self.buffer.reserve_exact(growth);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
