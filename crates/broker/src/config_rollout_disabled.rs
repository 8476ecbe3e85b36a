//! Replacement for `config_rollout` in builds without the `config-rollout` feature.

use crate::StartupConfig;
use crate::engine::Engine;
use operator_config::RolloutConfig;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// A rollout, which can't be created without the feature.
pub struct PreparedRollout {
    never: Infallible,
}

/// The operator's file enables `[control]` in a build without the feature.
#[derive(Debug, thiserror::Error)]
#[error(
    "section [control] of the operator's file is enabled, but this program was built without it; \
    rebuild it with `cargo build --features config-rollout`"
)]
struct RolloutDisabled;

/// Rejects the `[control]` section of the operator's file.
///
/// # Errors
///
/// Always returns an error, because `[control]` requires the feature.
pub fn prepare(_: &mut StartupConfig, _: RolloutConfig) -> io::Result<PreparedRollout> {
    Err(io::Error::other(RolloutDisabled))
}

impl PreparedRollout {
    /// Can't be called, because a `PreparedRollout` can't be created.
    pub fn start(self, _: Rc<Engine>) -> io::Result<Option<SocketAddr>> {
        match self.never {}
    }
}

/// Prints that the command requires the feature and returns exit code 2.
pub fn status(_: SocketAddr, _: Duration, _: bool) -> ExitCode {
    eprintln!(
        "shard-broker: this program was built without the command `control`; \
        rebuild it with `cargo build --features config-rollout`"
    );
    ExitCode::from(2)
}
