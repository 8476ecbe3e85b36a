//! Requests for the complete endpoint list that wait side by side.
//!
//! The requests are futures owned by [`ListRequests`], polled by whoever waits for one to finish. Waiting can be
//! dropped at any time: the requests go on when it is taken up again. Dropping [`ListRequests`] drops the requests.

use super::error::DiscoveryError;
use crate::endpoint_list::NodeList;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use std::future::{Future, pending};
use tracing::warn;

/// What became of one of the requests.
enum RequestOutcome {
    /// It was answered.
    Answered(NodeList),
    /// The newest one failed.
    NewestFailed,
    /// Another one failed.
    OlderFailed,
}

/// A request that has finished, with its place among the requests.
struct FinishedRequest {
    /// Counted from the first request on.
    number: usize,
    /// Whether it was the patient one.
    is_patient: bool,
    result: Result<NodeList, DiscoveryError>,
}

/// The requests that still wait. One of them is patient: its time limit is much longer than that of the others.
#[derive(Default)]
pub(super) struct ListRequests<'a> {
    waiting: FuturesUnordered<LocalBoxFuture<'a, FinishedRequest>>,
    /// The number of the newest request.
    newest: usize,
    /// Whether the patient one waits.
    has_patient: bool,
    /// Whether a request has failed; that was logged then.
    has_failed: bool,
}

impl<'a> ListRequests<'a> {
    /// Whether the patient request still waits.
    pub(super) fn has_patient(&self) -> bool {
        self.has_patient
    }

    /// Adds a request, which is the newest from now on.
    pub(super) fn push(
        &mut self,
        request: impl Future<Output = Result<NodeList, DiscoveryError>> + 'a,
        is_patient: bool,
    ) {
        self.newest += 1;
        self.has_patient |= is_patient;
        let number = self.newest;
        let finished = async move { FinishedRequest { number, is_patient, result: request.await } };
        self.waiting.push(Box::pin(finished));
    }

    /// Waits for the next one to finish; for ever where none waits.
    async fn next(&mut self) -> RequestOutcome {
        let Some(finished) = self.waiting.next().await else { return pending().await };
        self.has_patient &= !finished.is_patient;
        match finished.result {
            Ok(list) => return RequestOutcome::Answered(list),
            Err(error) => self.log_first_failure(&error),
        }
        match finished.number == self.newest {
            true => RequestOutcome::NewestFailed,
            false => RequestOutcome::OlderFailed,
        }
    }

    /// One line for a series of failures.
    fn log_first_failure(&mut self, error: &DiscoveryError) {
        if !std::mem::replace(&mut self.has_failed, true) {
            warn!(%error, "endpoint list request failed, retrying until one is answered");
        }
    }

    /// Waits for a list, for as long as the newest request has not failed.
    pub(super) async fn answered_unless_newest_fails(&mut self) -> Option<NodeList> {
        loop {
            match self.next().await {
                RequestOutcome::Answered(list) => return Some(list),
                RequestOutcome::NewestFailed => return None,
                RequestOutcome::OlderFailed => {}
            }
        }
    }

    /// Waits for a list, however many requests fail.
    pub(super) async fn answered(&mut self) -> NodeList {
        loop {
            if let RequestOutcome::Answered(list) = self.next().await {
                return list;
            }
        }
    }
}
