//! The controller's view of a query, in the turn in which the query arrives.

use routing::{ClassId, GroupId, Input, NewQuery, QueryId, TenantId};

/// A query offered in the current call of [`AdmittedBroker::turn`](crate::AdmittedBroker::turn).
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferedQuery {
    pub id: QueryId,
    pub group: GroupId,
    pub tenant: TenantId,
    pub class: ClassId,
    /// The number of times that the client has sent the query before: 0 for a first attempt, greater for a retry.
    pub client_attempt: u32,
    /// The number of its shard requests, all of which arrive in the same turn.
    pub shard_requests: u32,
}

impl OfferedQuery {
    /// Creates the view of a query, whose shard requests have yet to be counted.
    fn new(query: &NewQuery) -> OfferedQuery {
        OfferedQuery {
            id: query.id,
            group: query.group,
            tenant: query.tenant,
            class: query.class,
            client_attempt: query.client_attempt,
            shard_requests: 0,
        }
    }

    /// Returns whether the client has sent the query before.
    pub fn is_retry(&self) -> bool {
        self.client_attempt > 0
    }
}

/// Returns the queries among the inputs of a turn, in order, with the numbers of their shard requests. A shard
/// request belongs to the latest query of its group.
pub(crate) fn offered_queries(inputs: &[Input]) -> Vec<OfferedQuery> {
    let mut offered: Vec<OfferedQuery> = Vec::new();
    for input in inputs {
        match input {
            Input::Query(query) => offered.push(OfferedQuery::new(query)),
            Input::ShardRequest(shard_request) => {
                let mut latest_first = offered.iter_mut().rev();
                if let Some(query) = latest_first.find(|query| query.group == shard_request.group) {
                    query.shard_requests += 1;
                }
            }
            _ => {}
        }
    }
    offered
}

#[cfg(test)]
mod tests;
