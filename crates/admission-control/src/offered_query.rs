//! A query as the controller sees it, for the turn in which it comes.

use routing::{ClassId, GroupId, Input, NewQuery, QueryId, TenantId};

/// A query that is offered in this turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferedQuery {
    pub id: QueryId,
    pub group: GroupId,
    pub tenant: TenantId,
    pub class: ClassId,
    /// How often the client sent it before: 0 is a first attempt, more is a retry.
    pub client_attempt: u32,
    /// Its shard requests, as they come in the same turn.
    pub shard_requests: u32,
}

impl OfferedQuery {
    /// The query before its shard requests are counted.
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

    /// Whether the client sent it before.
    pub fn is_retry(&self) -> bool {
        self.client_attempt > 0
    }
}

/// The queries among a turn's inputs, in their order, each with its shard requests counted. A shard request
/// belongs to the newest query of its group.
pub(crate) fn offered_queries(inputs: &[Input]) -> Vec<OfferedQuery> {
    let mut offered: Vec<OfferedQuery> = Vec::new();
    for input in inputs {
        match input {
            Input::Query(query) => offered.push(OfferedQuery::new(query)),
            Input::ShardRequest(shard_request) => {
                let mut newest_first = offered.iter_mut().rev();
                if let Some(query) = newest_first.find(|query| query.group == shard_request.group) {
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
