//! The handle that a front end holds of an accepted query. Dropping it cancels the query.

use super::{Engine, QueryOutcome};
use routing::QueryId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// An accepted query that has no outcome yet. Dropping the handle cancels the query.
pub struct AcceptedQuery {
    pub(super) engine: Rc<Engine>,
    pub(super) id: QueryId,
    pub(super) outcome: oneshot::Receiver<QueryOutcome>,
}

impl AcceptedQuery {
    /// Waits for the outcome of the query. Returns [`QueryOutcome::Failed`] if the engine was dropped.
    pub async fn outcome(mut self) -> QueryOutcome {
        (&mut self.outcome).await.unwrap_or(QueryOutcome::Failed)
    }
}

impl Drop for AcceptedQuery {
    /// Closes the query if it is still open. Otherwise nodes would continue to work for a client that has
    /// disconnected, and attempts would start after its connection was closed.
    fn drop(&mut self) {
        self.engine.abandon(self.id);
    }
}
