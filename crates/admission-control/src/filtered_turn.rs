//! What a turn's inputs come to, once the queries among them are decided on.

use routing::{Effect, GroupId, Input, NewQuery, QueryId};
use std::collections::BTreeSet;

/// What the controller makes of a turn's inputs.
#[derive(Clone, Debug, Default)]
pub struct FilteredTurn {
    /// What the broker gets: all inputs but rejected queries and what belongs to them.
    pub inputs: Vec<Input>,
    /// What is done at once: a log line where the mode changed, then rejections.
    pub effects: Vec<Effect>,
}

/// The queries of a turn that are not admitted as they are.
#[derive(Default)]
pub(crate) struct TurnDecisions {
    rejected: BTreeSet<QueryId>,
    rejected_groups: BTreeSet<GroupId>,
    at_min_coverage: BTreeSet<QueryId>,
}

impl TurnDecisions {
    /// The broker gets neither the query nor its shard requests.
    pub fn reject(&mut self, query: QueryId, group: GroupId) {
        self.rejected.insert(query);
        self.rejected_groups.insert(group);
    }

    /// The broker gets the query, to be served at its minimum coverage.
    pub fn limit_to_min_coverage(&mut self, query: QueryId) {
        self.at_min_coverage.insert(query);
    }

    /// The input as the broker gets it; `None` where it belongs to a rejected query.
    pub fn filter_input(&self, input: &Input) -> Option<Input> {
        match input {
            Input::Query(query) if self.rejected.contains(&query.id) => None,
            Input::Query(query) if self.at_min_coverage.contains(&query.id) => {
                Some(Input::Query(NewQuery { min_coverage_only: true, ..query.clone() }))
            }
            Input::ShardRequest(shard_request) if self.rejected_groups.contains(&shard_request.group) => None,
            Input::ClientLeft(query) if self.rejected.contains(query) => None,
            _ => Some(input.clone()),
        }
    }
}

#[cfg(test)]
mod tests;
