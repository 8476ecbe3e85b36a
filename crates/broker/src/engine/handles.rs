//! What a front end holds: a query that was accepted, and memory that was reserved. Dropping the one cancels the
//! query, dropping the other releases the memory.

use super::{Engine, QueryOutcome};
use routing::QueryId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Bytes that count as held for as long as this lives.
pub struct ReservedMemory {
    pub(super) engine: Rc<Engine>,
    pub(super) bytes: usize,
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.engine.release_memory(self.bytes);
    }
}

/// A query that was accepted and has no outcome yet. Dropping it says that its client has left.
pub struct AcceptedQuery {
    pub(super) engine: Rc<Engine>,
    pub(super) id: QueryId,
    /// Receives the one outcome.
    pub(super) outcome: oneshot::Receiver<QueryOutcome>,
}

impl AcceptedQuery {
    /// Waits for the query's end. [`QueryOutcome::Failed`] where the engine is gone.
    pub async fn outcome(mut self) -> QueryOutcome {
        (&mut self.outcome).await.unwrap_or(QueryOutcome::Failed)
    }
}

impl Drop for AcceptedQuery {
    /// Closes the query if it is still open. Its client has left: without this nodes would go on working for it,
    /// seen as attempts that begin after the client's connection was closed.
    fn drop(&mut self) {
        self.engine.abandon(self.id);
    }
}
