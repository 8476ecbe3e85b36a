//! A broker on real sockets: clients and discovery by HTTP, nodes by frames.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`http_server`], [`query_handler`] | client connections; one query from its request to its response |
//! | [`engine`] | owns the routing decisions, and carries out their effects |
//! | [`node_pool`], [`codec`] | connections to nodes, and their frames |
//! | [`discovery`], [`endpoint_list`] | requests the list of nodes; its format |
//! | [`limits`] | sizes, counts and times, derived from the machine and the settings |
//! | `startup`, `running`, `reload`, `shutdown` | the life of a process |
//! | `command`, `program` | the command line |
//! | `config_rollout` | configuration versions, brought to the engine |
//!
//! [`engine`] and [`node_pool`] say which task owns what, who wakes whom, and what happens when a future is dropped.
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
//! A front end of another kind takes the place of [`http_server`] and [`query_handler`]: it makes an
//! [`engine::QueryRequest`], hands it to [`engine::Engine::submit`] and waits for the
//! [`engine::QueryOutcome`].

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
pub mod limits;
mod logging;
pub mod node_pool;
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
