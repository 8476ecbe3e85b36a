//! Conversion of the rows within a time window of a trace to a replay plan for brokers and nodes.
//!
//! Planning does no I/O and is deterministic: the same rows, configuration and seed give the same plan, byte for
//! byte.
//!
//! The trace determines when work arrives, its relative amount, its owner, and when machines are added and removed.
//! No trace contains shard requests, weights, shards, priority weights or deadlines; these are assumptions, which
//! are set in [`ReplayConfig`].

mod plan_error;
mod planner;
mod replay_config;
mod replay_plan;

pub use plan_error::PlanError;
pub use planner::Planner;
pub use replay_config::{ClassIdempotency, ClassSpec, CountRange, ReplayConfig, RetryBudget};
pub use replay_plan::{Plan, PlanEntry, PlanEvent, PlannedNodeEvent, PlannedShardRequest};
