//! State that a broker keeps between turns, grouped by lifetime: attempts, queries with their shard requests,
//! nodes, and the broker itself. This module stores and looks up state; every decision is in `policy`.

mod attempt;
mod broker_state;
mod endpoint_list_status;
mod node;
mod node_table;
mod query;
mod query_table;
mod timers;

pub(crate) use attempt::{AttemptId, ConnectionAfterIdle, ConnectionUse, Execution, InFlightAttempt};
pub(crate) use broker_state::{BrokerState, SupersededConfig};
#[cfg(test)]
pub(crate) use node::OpenBatch;
pub(crate) use node::{LoadReport, Node};
pub(crate) use node_table::{BatchedAttempt, NodeTable};
pub(crate) use query::{
    Query, QueryEvent, QuerySignature, QueryState, QueryTimes, ShardRequest, ShardRequestState,
};
pub(crate) use timers::Timer;
