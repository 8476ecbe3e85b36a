//! A broker that serves clients over HTTP, reads discovery over HTTP, and exchanges frames with nodes over TCP.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`http_server`], [`query_handler`] | client connections; the handling of one query, from request to response |
//! | [`engine`] | owns the routing logic and carries out its effects |
//! | [`node_pool`], [`codec`] | connections to nodes; the encoding and decoding of their frames |
//! | [`discovery`], [`endpoint_list`] | requests for the endpoint list; the format of the list |
//! | [`limits`] | sizes, counts and times, derived from the machine and the settings |
//! | [`memory_budget`] | the memory that queries, clients and nodes share |
//! | `startup`, `running`, `reload`, `shutdown` | the life cycle of the process |
//! | `command`, `program` | the command line |
//! | `config_rollout` | delivery of configuration versions to the engine |
//!
//! The docs of [`engine`] and [`node_pool`] describe which task owns which state, which task wakes which, and what
//! happens when a future is dropped.
//!
//! ```no_run
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let config = broker::StartupConfig::from_env()?;
//! let running = broker::start(config).await?; // within a single-threaded `actix_rt` runtime
//! println!("serving on {}", running.listen_address);
//! running.shut_down().await;
//! # Ok(()) }
//! ```
//!
//! A front end for another protocol replaces [`http_server`] and [`query_handler`]: it builds an
//! [`engine::QueryRequest`], passes it to [`engine::Engine::submit`] and waits for the [`engine::QueryOutcome`].

#![warn(missing_docs)]

pub mod codec;
mod command;
pub mod config_epoch;
#[cfg_attr(not(feature = "config-rollout"), path = "config_rollout_disabled.rs")]
mod config_rollout;
pub mod discovery;
pub mod endpoint_list;
pub mod engine;
pub mod http_server;
mod interrupt_safe;
mod io_errors;
mod json_length;
pub mod limits;
mod logging;
pub mod memory_budget;
pub mod node_pool;
mod process_memory;
mod program;
pub mod query_handler;
mod reload;
mod running;
mod shutdown;
pub mod socket_peek;
mod startup;

pub use operator_config::{LogFormat, OperatorConfig, RolloutConfig};
pub use program::run;
pub use running::{RunningBroker, start, start_with_operator_config};
pub use shutdown::termination_signal;
pub use startup::{ConfigSource, StartupConfig, StartupError};
