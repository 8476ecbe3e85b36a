//! What a broker remembers, grouped by how long it lives: an attempt, a query with its shard requests, a
//! node, the broker. State, bookkeeping and look-ups only; every decision is in `policy`.

mod attempt;
mod broker;
mod node;
mod node_table;
mod query;
mod query_table;
mod replica_group;

pub(crate) use attempt::{AttemptId, ConnectionAfterIdle, ConnectionUse, Execution, InFlightAttempt};
pub(crate) use broker::{BrokerState, ClassYield, SupersededConfig, Timer};
pub(crate) use node::Node;
pub(crate) use query::{Query, QueryEvent, QueryState, QueryTimes, ShardRequest, ShardRequestState};
pub(crate) use query_table::NewAttempt;
