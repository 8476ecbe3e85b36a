//! Handles one query, from its HTTP request to its response.
//!
//! # Phases
//!
//! 1. The announced length of the body is checked, and memory for it is reserved at the engine.
//! 2. The body is read within the client's time limit (`request_reader`).
//! 3. The query is read by one configuration epoch. From here until the engine has it nothing is awaited, so a
//!    configuration change cannot come in between.
//! 4. The query is submitted, and its outcome awaited.
//! 5. The outcome becomes the response (`responses`).
//!
//! # Cancellation
//!
//! The HTTP server drops the future when the client's connection closes. That releases the reserved memory and, once
//! the query is submitted, drops its [`AcceptedQuery`](crate::engine::AcceptedQuery), which cancels it.
//!
//! # Wire names
//!
//! The protocol's field names become the code's terms in `body` (JSON) and `request_reader` (headers), and nowhere
//! else.

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

/// The header by which a client brings an idempotency key of its own.
const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Handles queries.
pub struct QueryHandler {
    /// Where queries are submitted.
    pub engine: Rc<Engine>,
    /// The limits of requests.
    pub limits: Rc<Limits>,
    /// Counts the requests that were rejected as the client's error.
    pub rejected_requests: RejectedRequests,
}

impl QueryHandler {
    /// Handles one query, whose first bytes were read at `arrived`. `on_body_complete` is called once the request has
    /// been read completely. Dropping the future cancels the query.
    pub async fn handle(
        &self,
        request: Request,
        arrived: Instant,
        on_body_complete: impl FnOnce(),
    ) -> Response<Bytes> {
        let response = self.try_handle(request, arrived, on_body_complete).await;
        response.unwrap_or_else(|error| self.reject(error))
    }

    /// Counts an error of a request, and makes its response.
    pub fn reject(&self, error: RequestError) -> Response<Bytes> {
        self.rejected_requests.count(error);
        responses::error_response(error)
    }

    /// Handles one query. An error is the client's.
    async fn try_handle(
        &self,
        mut request: Request,
        arrived: Instant,
        on_body_complete: impl FnOnce(),
    ) -> Result<Response<Bytes>, RequestError> {
        let length = self.body_length_to_reserve(&request)?;
        let Some(reserved_memory) = self.engine.reserve_memory(length) else {
            return Ok(rejection_response(self.engine.epoch().retry_after));
        };
        let body = self.read_body_in_time(&mut request, arrived).await?;
        on_body_complete();
        // One epoch from here until the engine has the query; nothing is awaited in between.
        let epoch = self.engine.epoch();
        let query = read_query(&self.limits.requests, &epoch, &request, &body, arrived)?;
        // From here on the query itself counts what it holds.
        drop((reserved_memory, body));
        if !can_be_carried(&epoch, &request, query.class) {
            return Ok(rejection_response(epoch.retry_after));
        }
        let outcome = match self.engine.submit(query) {
            Ok(accepted) => accepted.outcome().await,
            Err(SubmitError::Overloaded) => QueryOutcome::Rejected { retry_after: epoch.retry_after },
            Err(SubmitError::DuplicateId) => return Err(RequestError::IdInUse),
        };
        Ok(self.response_to(outcome))
    }

    /// The bytes to reserve for a request's body: what it announces, else the longest that is accepted.
    fn body_length_to_reserve(&self, request: &Request) -> Result<usize, RequestError> {
        let max_body_bytes = self.limits.requests.max_body_bytes;
        let length = announced_length(request)?.unwrap_or(max_body_bytes);
        match length <= max_body_bytes {
            true => Ok(length),
            false => Err(RequestError::AnnouncedBodyTooLong),
        }
    }

    /// Reads the body within the time limit from the request's first bytes on.
    async fn read_body_in_time(
        &self,
        request: &mut Request,
        arrived: Instant,
    ) -> Result<Bytes, RequestError> {
        let time_limit = arrived + self.limits.clients.io_timeout;
        let reading = read_body(request, self.limits.requests.max_body_bytes);
        timeout_at(time_limit, reading).await.map_err(|_| RequestError::BodyTimedOut)?
    }

    /// The response to a query that ended so.
    fn response_to(&self, outcome: QueryOutcome) -> Response<Bytes> {
        match outcome {
            QueryOutcome::Response { complete, responses } => {
                responses::query_response(complete, &responses, self.limits.requests.max_response_bytes)
            }
            QueryOutcome::Rejected { retry_after } => rejection_response(retry_after),
            QueryOutcome::Failed => text_response(StatusCode::BAD_GATEWAY, "the retrieval failed\n"),
        }
    }
}

/// Whether frames can carry all that the query needs.
///
/// A frame has no field for an idempotency key: a query that brings one, sent without it, could be executed twice.
/// And the protocol has no second phase: the response of a class that needs one would hold nothing. Such queries are
/// rejected (503) and nothing of them is sent.
fn can_be_carried(epoch: &ConfigEpoch, request: &Request, class: ClassId) -> bool {
    epoch.classes.get(&class).is_some_and(|class| {
        let has_key = class.idempotency == Idempotency::IdempotencyKey
            && request.headers().contains_key(IDEMPOTENCY_KEY_HEADER);
        !has_key && class.second_phase_shard_requests == 0
    })
}

#[cfg(test)]
mod tests;
