//! Turns the rows of a trace's time window into a replay plan for brokers and nodes. No I/O; the same rows,
//! configuration and seed give the same plan, byte for byte.
//!
//! The trace says when work arrives, how much it is compared with the rest, whose it is, and when machines
//! come and go. What no trace has is assumed and stated with the plan: shard requests, weights, shards,
//! priority weights, deadlines ([`ReplayConfig`]).

mod plan_error;
mod planner;
mod replay_config;
mod replay_plan;

pub use plan_error::PlanError;
pub use planner::Planner;
pub use replay_config::{ClassIdempotency, ClassSpec, CountRange, ReplayConfig, RetryBudget};
pub use replay_plan::{Plan, PlanEntry, PlanEvent, PlannedNodeEvent, PlannedShardRequest};
