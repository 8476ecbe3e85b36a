//! The handler of queries, which turns an HTTP request into a response.
//!
//! # Phases
//!
//! 1. The handler checks the length that the request announces for its body.
//! 2. It reads the body within the I/O timeout of client connections (`body_reader`), and reserves memory for what it
//!    reads.
//! 3. It parses and validates the query against the current configuration epoch. There is no await between this step
//!    and the submission, so the configuration cannot change in between.
//! 4. It submits the query and awaits the outcome.
//! 5. It converts the outcome into the response (`responses`), whose memory is held until it is written.
//!
//! # Cancellation
//!
//! The HTTP server drops the future when the client's connection closes. That releases the reserved memory or, after
//! the submission, drops the [`AcceptedQuery`](crate::engine::AcceptedQuery), which cancels the query.
//!
//! # Wire names
//!
//! Only `body` (JSON) and `request_reader` (headers) use the field names of the protocol.

mod body;
mod body_reader;
mod handler_error;
mod rejected_requests;
mod request_error;
mod request_reader;
mod responses;

pub use rejected_requests::{RejectedRequestCount, RejectedRequests};
pub use request_error::RequestError;
pub use responses::{rejection_response, text_response};

use crate::config_epoch::ConfigEpoch;
use crate::engine::{Engine, QueryOutcome};
use crate::limits::Limits;
use crate::memory_budget::Reservation;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use body_reader::{BodyReader, RequestBodyBytes};
use bytes::Bytes;
use handler_error::HandlerError;
use request_reader::{announced_length, read_query};
use routing::{ClassId, Idempotency};
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// The header with which a client provides an idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// The response to a request, and the memory that its body holds.
pub struct HandledRequest {
    /// The response.
    pub response: Response<Bytes>,
    /// The memory of the response's body; `None` if the body is a short text.
    pub memory: Option<Reservation>,
}

impl From<Response<Bytes>> for HandledRequest {
    fn from(response: Response<Bytes>) -> HandledRequest {
        HandledRequest { response, memory: None }
    }
}

/// A handler that executes the queries of HTTP clients.
pub struct QueryHandler {
    /// The engine to which queries are submitted.
    pub engine: Rc<Engine>,
    /// The limits on requests and client connections.
    pub limits: Rc<Limits>,
    /// Counts of requests with client errors.
    pub rejected_requests: RejectedRequests,
}

impl QueryHandler {
    /// Executes the query in `request` and returns the response. Dropping the future cancels the query.
    ///
    /// `arrived` is the time at which the first bytes of the request were read. `on_body_complete` is called when the
    /// request has been read completely.
    pub async fn handle(
        &self,
        request: Request,
        arrived: Instant,
        on_body_complete: impl FnOnce(),
    ) -> HandledRequest {
        let handled = self.try_handle(request, arrived, on_body_complete).await;
        handled.unwrap_or_else(|error| match error {
            HandlerError::Request(error) => self.reject(error).into(),
            HandlerError::Rejected => rejection_response(self.engine.epoch().retry_after).into(),
        })
    }

    /// Counts a client error and returns the response to it.
    pub fn reject(&self, error: RequestError) -> Response<Bytes> {
        self.rejected_requests.count(error);
        responses::error_response(error)
    }

    /// Executes a query like [`QueryHandler::handle`], but returns client errors and rejections as `Err`.
    async fn try_handle(
        &self,
        mut request: Request,
        arrived: Instant,
        on_body_complete: impl FnOnce(),
    ) -> Result<HandledRequest, HandlerError> {
        let body = self.read_body_in_time(&mut request, arrived).await?;
        on_body_complete();
        // There must be no await between this line and the submission, so that both use the same epoch.
        let epoch = self.engine.epoch();
        let query = read_query(&self.limits.requests, &epoch, &request, &body.bytes, arrived)?;
        if !is_supported_by_protocol(&epoch, &request, query.class) {
            return Err(HandlerError::Rejected);
        }
        // The engine accounts for the memory of the submitted query. The request's head is not held any longer.
        drop((body, request));
        let accepted = self.engine.submit(query)?;
        Ok(self.response_to(accepted.outcome().await))
    }

    /// Reads the body within the I/O timeout, which starts at the first bytes of the request.
    async fn read_body_in_time(
        &self,
        request: &mut Request,
        arrived: Instant,
    ) -> Result<RequestBodyBytes, HandlerError> {
        let max_body_bytes = self.limits.requests.max_body_bytes;
        let announced_bytes = announced_length(request)?;
        if announced_bytes.is_some_and(|length| length > max_body_bytes) {
            return Err(RequestError::AnnouncedBodyTooLong.into());
        }
        let reader = BodyReader::new(self.engine.memory(), announced_bytes, max_body_bytes);
        let time_limit = arrived + self.limits.clients.io_timeout;
        let read = timeout_at(time_limit, reader.read(request)).await;
        read.map_err(|_| RequestError::BodyTimedOut)?
    }

    /// Returns the response for an outcome.
    fn response_to(&self, outcome: QueryOutcome) -> HandledRequest {
        match outcome {
            QueryOutcome::Response { complete, responses, mut memory } => {
                let max_length = self.limits.requests.max_response_bytes;
                let response = responses::query_response(complete, &responses, max_length);
                memory.resize(response.body().len());
                HandledRequest { response, memory: Some(memory) }
            }
            QueryOutcome::Rejected { retry_after } => rejection_response(retry_after).into(),
            QueryOutcome::Failed => text_response(StatusCode::BAD_GATEWAY, "the retrieval failed\n").into(),
        }
    }
}

/// Returns whether the node protocol supports the query. Queries that it does not support are rejected with 503, and
/// no shard request is sent.
///
/// Frames have no field for an idempotency key, so a query with a key could be executed twice if it were sent without
/// it. The protocol also has no second phase, so responses of request classes with one would be empty.
fn is_supported_by_protocol(epoch: &ConfigEpoch, request: &Request, class: ClassId) -> bool {
    epoch.classes.get(&class).is_some_and(|class| {
        let has_key = class.idempotency == Idempotency::IdempotencyKey
            && request.headers().contains_key(IDEMPOTENCY_KEY_HEADER);
        !has_key && class.second_phase_shard_requests == 0
    })
}

#[cfg(test)]
mod tests;
