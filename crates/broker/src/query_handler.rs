//! Handles one query, from its HTTP request to its response.

mod body;
mod rejected_requests;
mod request_error;
mod request_reader;
mod responses;

pub use rejected_requests::{RejectedRequestCount, RejectedRequests};
pub use request_error::RequestError;
pub use responses::{plain, rejected};

use crate::config_epoch::ConfigEpoch;
use crate::engine::{AdmissionError, Engine, QueryOutcome};
use crate::limits::Limits;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use request_reader::{announced_length, read_body, read_query};
use routing::{ClassId, Idempotency};
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// What queries are handled with.
pub struct QueryHandler {
    /// Takes the queries.
    pub engine: Rc<Engine>,
    /// The bounds of a request.
    pub limits: Rc<Limits>,
    /// Counts the requests that were wrong.
    pub rejected_requests: RejectedRequests,
}

impl QueryHandler {
    /// Handles one query. Dropped before its end, because its client has gone, it cancels the query.
    /// `on_body_complete` is called once the request has been read to its end.
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
        responses::request_error(error)
    }

    async fn try_handle(
        &self,
        mut request: Request,
        arrived: Instant,
        on_body_complete: impl FnOnce(),
    ) -> Result<Response<Bytes>, RequestError> {
        let (engine, limits) = (&self.engine, &self.limits);
        let length = announced_length(&request)?.unwrap_or(limits.max_body_bytes);
        if length > limits.max_body_bytes {
            return Err(RequestError::AnnouncedBodyTooLong);
        }
        let Some(held_memory) = engine.reserve_memory(length) else {
            return Ok(rejected(engine.epoch().retry_after));
        };
        let reading =
            timeout_at(arrived + limits.client_io_timeout, read_body(&mut request, limits.max_body_bytes));
        let body = reading.await.map_err(|_| RequestError::BodyTimedOut)??;
        on_body_complete();
        // One epoch from here until the engine has the query; nothing is awaited in between.
        let epoch = engine.epoch();
        let query = read_query(limits, &epoch, &request, &body, arrived)?;
        drop((held_memory, body));
        if !can_be_carried(&epoch, &request, query.class) {
            return Ok(rejected(epoch.retry_after));
        }
        let outcome = match engine.submit(query) {
            Ok(accepted) => accepted.outcome().await,
            Err(AdmissionError::Overloaded) => QueryOutcome::Rejected { retry_after: epoch.retry_after },
            Err(AdmissionError::DuplicateId) => return Err(RequestError::IdInUse),
        };
        Ok(match outcome {
            QueryOutcome::Response { complete, responses } => {
                responses::values(complete, &responses, limits.max_body_bytes)
            }
            QueryOutcome::Rejected { retry_after } => rejected(retry_after),
            QueryOutcome::Failed => plain(StatusCode::BAD_GATEWAY, "the retrieval failed\n"),
        })
    }
}

/// Guards against repeated effects, and against responses that are not what they say: an idempotency key has
/// no place in a frame, so a query that brings one is not sent without it; and there is no second phase,
/// without which a response of a class that has one holds nothing.
fn can_be_carried(epoch: &ConfigEpoch, request: &Request, class: ClassId) -> bool {
    epoch.classes.get(&class).is_some_and(|class| {
        let has_key = class.idempotency == Idempotency::IdempotencyKey
            && request.headers().contains_key(IDEMPOTENCY_KEY_HEADER);
        !has_key && class.second_phase_shard_requests == 0
    })
}

#[cfg(test)]
mod tests;
