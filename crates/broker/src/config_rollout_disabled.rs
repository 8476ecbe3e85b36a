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

/// Never exists: no rollout can be prepared.
pub struct PreparedRollout {
    never: Infallible,
}

const DISABLED: &str =
    "[control] is switched on, but this program is built without it (cargo build --features config-rollout)";

/// Fails: `[control]` needs the feature.
pub fn prepare(_: &mut StartupConfig, _: RolloutConfig) -> io::Result<PreparedRollout> {
    Err(io::Error::other(DISABLED))
}

impl PreparedRollout {
    /// Can't be reached.
    pub fn begin(self, _: Rc<Engine>) -> io::Result<Option<SocketAddr>> {
        match self.never {}
    }
}

/// Fails: the command needs the feature.
pub fn status(_: SocketAddr, _: Duration, _: bool) -> ExitCode {
    eprintln!(
        "shard-broker: this program is built without `control` (cargo build --features config-rollout)"
    );
    ExitCode::from(2)
}
