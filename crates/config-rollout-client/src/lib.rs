//! Carries out the decisions of the `config-rollout` crate on a separate thread of the broker. This crate maintains
//! xDS streams to configuration services, persists the last confirmed version in a file, and serves the client status
//! discovery service (CSDS).
//!
//! A broker creates a [`ClientConfig`] and passes [`run`] a [`ConfigReceiver`] that applies configurations. All
//! decisions are made by `config_rollout::RolloutController`. The running version can be read at any time from the
//! [`PublishedStatus`], which [`serve_status`] serves over CSDS.

#![warn(missing_docs)]

mod client_config;
mod client_status;
mod clock;
mod config_receiver;
mod log;
mod published_status;
mod resource_cache;
mod restore;
mod rollout_client;
pub mod state_file;
pub mod status_query;
pub mod wire;
mod xds_stream;

pub use client_config::ClientConfig;
pub use client_status::serve as serve_status;
pub use config_receiver::ConfigReceiver;
pub use published_status::PublishedStatus;
pub use resource_cache::CachedVersion;
pub use restore::{RestoreError, RestoredState, UnusedStateFile, restore};
pub use rollout_client::run;
