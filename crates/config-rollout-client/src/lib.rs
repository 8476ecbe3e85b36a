//! Carries out what the `config-rollout` package decides, on one thread beside the broker: streams to
//! configuration services over xDS, the last confirmed version in a file, and the client status service
//! (CSDS).
//!
//! A broker makes a [`ClientConfig`] and gives [`run`] a [`ConfigReceiver`] that applies configurations;
//! everything else is decided by `config_rollout::RolloutController`. What the broker runs can be read at any
//! time from the [`PublishedStatus`], which [`serve_status`] serves to others.

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
