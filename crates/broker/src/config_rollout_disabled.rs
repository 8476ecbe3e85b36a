//! Takes the place of `config_rollout` where the program is built without that feature.

use crate::StartupConfig;
use crate::engine::Engine;
use operator_config::RolloutConfig;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Has no value: no rollout can be prepared.
pub struct PreparedRollout {
    never: Infallible,
}

/// The operator's file switches on what this program is built without.
#[derive(Debug, thiserror::Error)]
#[error(
    "[control] is switched on, but this program is built without it (cargo build --features config-rollout)"
)]
struct RolloutDisabled;

/// Never succeeds: `[control]` needs the feature.
///
/// # Errors
///
/// Always.
pub fn prepare(_: &mut StartupConfig, _: RolloutConfig) -> io::Result<PreparedRollout> {
    Err(io::Error::other(RolloutDisabled))
}

impl PreparedRollout {
    /// Can't be called, as there is no value to call it on.
    pub fn start(self, _: Rc<Engine>) -> io::Result<Option<SocketAddr>> {
        match self.never {}
    }
}

/// Prints that the command needs the feature; exit code 2.
pub fn status(_: SocketAddr, _: Duration, _: bool) -> ExitCode {
    eprintln!(
        "shard-broker: this program is built without `control` (cargo build --features config-rollout)"
    );
    ExitCode::from(2)
}
