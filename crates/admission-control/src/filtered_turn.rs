//! Filters the inputs of a turn by the decisions on its queries before they reach the broker: the inputs of rejected
//! queries are withheld, and queries that are limited to their minimum coverage are marked.

use routing::{Effect, GroupId, Input, NewQuery, QueryId};
use std::collections::BTreeSet;

/// The result of filtering the inputs of a turn.
#[derive(Clone, Debug, Default)]
pub struct FilteredTurn {
    /// The inputs for the broker: all inputs except rejected queries and inputs that refer to them.
    pub inputs: Vec<Input>,
    /// The effects of the controller: a log event if the mode changed, followed by rejections.
    pub effects: Vec<Effect>,
}

/// The queries of a turn that are rejected or limited to their minimum coverage.
#[derive(Default)]
pub(crate) struct TurnDecisions {
    rejected: BTreeSet<QueryId>,
    rejected_groups: BTreeSet<GroupId>,
    at_min_coverage: BTreeSet<QueryId>,
}

impl TurnDecisions {
    /// Withholds the query and its shard requests from the broker.
    pub fn reject(&mut self, query: QueryId, group: GroupId) {
        self.rejected.insert(query);
        self.rejected_groups.insert(group);
    }

    /// Passes the query to the broker marked to be served at its minimum coverage only.
    pub fn limit_to_min_coverage(&mut self, query: QueryId) {
        self.at_min_coverage.insert(query);
    }

    /// Returns the input for the broker, or `None` if the input belongs to a rejected query.
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
