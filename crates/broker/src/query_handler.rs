//! The handler of queries, which turns an HTTP request into a response.
//!
//! # Phases
//!
//! 1. The handler checks the length that the request announces for its body, and reserves memory for it in the
//!    engine.
//! 2. It reads the body within the I/O timeout of client connections (`request_reader`).
//! 3. It parses and validates the query against the current configuration epoch. There is no await between this step
//!    and the submission, so the configuration cannot change in between.
//! 4. It submits the query and awaits the outcome.
//! 5. It converts the outcome into the response (`responses`).
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
mod rejected_requests;
mod request_error;
mod request_reader;
mod responses;

pub use rejected_requests::{RejectedRequestCount, RejectedRequests};
pub use request_error::RequestError;
pub use responses::{rejection_response, text_response};

use crate::config_epoch::ConfigEpoch;
use crate::engine::{Engine, QueryOutcome, SubmitError};
use crate::limits::Limits;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use request_reader::{announced_length, read_body, read_query};
use routing::{ClassId, Idempotency};
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// The header with which a client provides an idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

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
    ) -> Response<Bytes> {
        let response = self.try_handle(request, arrived, on_body_complete).await;
        response.unwrap_or_else(|error| self.reject(error))
    }

    /// Counts a client error and returns the response to it.
    pub fn reject(&self, error: RequestError) -> Response<Bytes> {
        self.rejected_requests.count(error);
        responses::error_response(error)
    }

    /// Executes a query like [`QueryHandler::handle`], but returns client errors as `Err`.
    async fn try_handle(
        &self,
        mut request: Request,
        arrived: Instant,
        on_body_complete: impl FnOnce(),
    ) -> Result<Response<Bytes>, RequestError> {
        let length = self.body_length_to_reserve(&request)?;
        let Some(reserved_memory) = self.engine.memory().try_reserve(length) else {
            return Ok(rejection_response(self.engine.epoch().retry_after));
        };
        let body = self.read_body_in_time(&mut request, arrived).await?;
        on_body_complete();
        // There must be no await between this line and the submission, so that both use the same epoch.
        let epoch = self.engine.epoch();
        let query = read_query(&self.limits.requests, &epoch, &request, &body, arrived)?;
        // The engine accounts for the memory of the submitted query.
        drop((reserved_memory, body));
        if !is_supported_by_protocol(&epoch, &request, query.class) {
            return Ok(rejection_response(epoch.retry_after));
        }
        let outcome = match self.engine.submit(query) {
            Ok(accepted) => accepted.outcome().await,
            Err(SubmitError::Overloaded) => QueryOutcome::Rejected { retry_after: epoch.retry_after },
            Err(SubmitError::DuplicateId) => return Err(RequestError::IdInUse),
        };
        Ok(self.response_to(outcome))
    }

    /// Returns the number of bytes to reserve for the body: its announced length, or the maximum if none is
    /// announced.
    fn body_length_to_reserve(&self, request: &Request) -> Result<usize, RequestError> {
        let max_body_bytes = self.limits.requests.max_body_bytes;
        let length = announced_length(request)?.unwrap_or(max_body_bytes);
        match length <= max_body_bytes {
            true => Ok(length),
            false => Err(RequestError::AnnouncedBodyTooLong),
        }
    }

    /// Reads the body within the I/O timeout, which starts at the first bytes of the request.
    async fn read_body_in_time(
        &self,
        request: &mut Request,
        arrived: Instant,
    ) -> Result<Bytes, RequestError> {
        let time_limit = arrived + self.limits.clients.io_timeout;
        let reading = read_body(request, self.limits.requests.max_body_bytes);
        timeout_at(time_limit, reading).await.map_err(|_| RequestError::BodyTimedOut)?
    }

    /// Returns the response for an outcome.
    fn response_to(&self, outcome: QueryOutcome) -> Response<Bytes> {
        match outcome {
            QueryOutcome::Response { complete, responses, memory: _memory } => {
                responses::query_response(complete, &responses, self.limits.requests.max_response_bytes)
            }
            QueryOutcome::Rejected { retry_after } => rejection_response(retry_after),
            QueryOutcome::Failed => text_response(StatusCode::BAD_GATEWAY, "the retrieval failed\n"),
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
