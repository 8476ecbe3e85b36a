//! The routing policies of one broker. Each policy is a file with plain types and functions that take
//! everything they read as arguments; their constants are defined beside them. `Broker` (in `crate::broker`)
//! collects the inputs and calls the policies. State that a policy keeps between calls is a type of its own
//! in the policy's file, stored in `crate::state::BrokerState`. The rationale and the measurements are in
//! `docs/design.md` and `docs/capacity.md`.
//!
//! The policies in the order in which a query passes them:
//!
//! - **Accepting the query**: [`query_times`], [`quota`], and the state machine of queries,
//!   [`query_lifecycle`].
//! - **Admission**: [`query_of_death`], [`load_probe`], [`completion_probability`], [`admission`],
//!   [`admission_queue`], [`concurrency_limit`], [`class_yield`].
//! - **Selecting the shard requests to send**: [`pressure`], [`cutoff`], [`feasibility`], [`canary`].
//! - **Choosing a replica**: [`replica_subset`], [`slow_start`], [`latency`], [`replica_choice`],
//!   [`idle_connections`].
//! - **Handling attempts that ended or do not respond**: [`outcome`], [`node_health`],
//!   [`shard_request_state`], [`idempotency`], [`attempt_limit`], [`retry_budget`], [`hedging`],
//!   [`send_delay`], [`polling`].
//! - **Responding or giving up**: [`coverage`], [`give_up`].
//! - **Independent of queries**: [`endpoint_watch`] and [`reconfiguration`]; for the front end,
//!   [`discovery_backoff`] and [`shutdown_deadline`].

pub(crate) mod admission;
pub(crate) mod admission_queue;
pub(crate) mod attempt_limit;
pub(crate) mod canary;
pub(crate) mod class_yield;
pub(crate) mod completion_probability;
pub(crate) mod concurrency_limit;
pub(crate) mod coverage;
pub(crate) mod cutoff;
pub mod discovery_backoff;
pub(crate) mod endpoint_watch;
pub(crate) mod feasibility;
pub(crate) mod give_up;
pub(crate) mod hedging;
pub(crate) mod idempotency;
pub(crate) mod idle_connections;
pub(crate) mod latency;
pub(crate) mod load_probe;
pub(crate) mod node_health;
pub(crate) mod outcome;
pub(crate) mod polling;
pub(crate) mod pressure;
pub(crate) mod query_lifecycle;
pub(crate) mod query_of_death;
pub(crate) mod query_times;
pub(crate) mod quota;
pub(crate) mod reconfiguration;
pub(crate) mod replica_choice;
pub(crate) mod replica_subset;
pub(crate) mod retry_budget;
pub(crate) mod send_delay;
pub(crate) mod shard_request_state;
pub mod shutdown_deadline;
pub(crate) mod slow_start;
#[cfg(test)]
pub(crate) mod test_queries;
