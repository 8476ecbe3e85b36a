//! Stands in for versions from a control service where the program is built without them.

use crate::StartupConfig;
use crate::engine::Engine;
use operator_config::RolloutConfig;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

pub struct Follower(Infallible);

const WITHOUT: &str =
    "[control] is switched on, but this program is built without it (cargo build --features config-rollout)";

pub fn prepare(_: &mut StartupConfig, _: RolloutConfig) -> io::Result<Follower> {
    Err(io::Error::other(WITHOUT))
}

impl Follower {
    pub fn begin(self, _: Rc<Engine>) -> io::Result<Option<SocketAddr>> {
        match self.0 {}
    }
}

pub fn status(_: SocketAddr, _: Duration, _: bool) -> ExitCode {
    eprintln!(
        "shard-broker: this program is built without `control` (cargo build --features config-rollout)"
    );
    ExitCode::from(2)
}
