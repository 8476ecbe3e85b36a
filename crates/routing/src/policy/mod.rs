//! Every decision of one broker. A rule is a file: a plain type or function whose arguments are all that it
//! reads, with its constants beside it. `Broker` (in `crate::broker`) gathers the inputs and calls the rules;
//! what a rule has to remember is a type of its own here, kept in `crate::state::BrokerState`. Reasons and
//! figures are in `docs/design.md` and `docs/capacity.md`.
//!
//! The way of a query through the rules:
//!
//! - **Accepting**: [`query_times`], [`quota`], and the table of its life, [`query_lifecycle`].
//! - **Admitting**: [`query_of_death`], [`load_probe`], [`completion_chance`], [`admission`],
//!   [`admission_queue`], [`concurrency_limit`], [`class_yield`].
//! - **Selecting its shard requests**: [`pressure`], [`cutoff`], [`feasibility`], [`canary`].
//! - **Choosing a replica**: [`replica_subset`], [`slow_start`], [`latency`], [`replica_choice`],
//!   [`idle_connections`].
//! - **When an attempt ends or stays silent**: [`outcome`], [`node_health`], [`shard_request_state`],
//!   [`idempotency`], [`attempt_limit`], [`retry_budget`], [`hedging`], [`send_delay`], [`polling`].
//! - **Responding or giving up**: [`coverage`], [`give_up`].
//! - **Beside queries**: [`endpoint_watch`], [`reconfiguration`]; for the front end [`discovery_backoff`] and
//!   [`shutdown_deadline`].

pub(crate) mod admission;
pub(crate) mod admission_queue;
pub(crate) mod attempt_limit;
pub(crate) mod canary;
pub(crate) mod class_yield;
pub(crate) mod completion_chance;
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
