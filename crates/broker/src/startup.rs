//! The startup configuration, read from the environment and the config file.
//!
//! Some keys of the config file (`known`, `limits` and others) differ from the terms used in the code and are mapped
//! in this module. Endpoint lists in the file have the format that `endpoint_list` defines.

use crate::endpoint_list::NodeList;
use crate::limits::{Limits, LimitsError, Machine};
use routing::Timestamp;
use serde::Deserialize;
use serde_json::value::RawValue;
use settings::{BrokerSettings, SettingsError};
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;

/// The environment variable with the path of the config file.
const CONFIG_VARIABLE: &str = "EDGE_CONFIG";
/// The environment variable with the address of discovery, which takes precedence over the config file.
const DISCOVERY_VARIABLE: &str = "EDGE_DISCOVERY";

/// An error that prevents a broker from starting. The message is shown to the person who started it.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// Neither the command line nor the environment names a config file.
    #[error("no config file given: EDGE_CONFIG is not set; set it or use `shard-broker serve --config FILE`")]
    NoConfig,
    /// The config file could not be read.
    #[error("failed to read config file {path}: {source}")]
    Unreadable {
        /// The path of the config file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The config file was read but is not valid.
    #[error("invalid config file {path}: {source}")]
    InvalidFile {
        /// The path of the config file.
        path: String,
        /// The first error found in the file.
        source: Box<StartupError>,
    },
    /// The config file is not JSON or does not have the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The settings in the config file are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The machine does not have enough file descriptors or memory.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// A required value is in neither the environment nor the config file.
    #[error(
        "`{key}` is missing: add it to the config file, or set its EDGE_ environment variable at startup"
    )]
    Missing {
        /// The key of the value in the config file.
        key: &'static str,
    },
    /// An address can't be parsed.
    #[error("`{key}` is `{text}`, expected an IP address and a port such as `127.0.0.1:18000`: {source}")]
    Address {
        /// The key of the address in the config file.
        key: &'static str,
        /// The text that was found.
        text: String,
        /// The error of the parser.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("`seed` is not a hexadecimal number of at most 64 bits: {0}")]
    Seed(#[source] ParseIntError),
    /// The operating system refused a resource such as a socket, a signal handler or a thread.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The configuration with which a broker starts.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    /// The name of the broker, used in log lines and in the status.
    pub name: String,
    /// The address on which the broker accepts client connections.
    pub listen: SocketAddr,
    /// The address of discovery at startup. A reload of the config file may change it later.
    pub discovery: SocketAddr,
    /// The seed of the routing logic's random number generator.
    pub seed: u64,
    /// The parsed settings, with the times that depend on the broker's connections already adapted.
    pub broker_settings: BrokerSettings,
    /// The JSON text from which `broker_settings` was parsed.
    pub settings: String,
    /// The last endpoint list that was received before the start, or `None` if the config file has none.
    pub cached_endpoints: Option<NodeList>,
    /// The limits derived from the machine and the settings.
    pub limits: Limits,
    /// The Unix time at which the broker's clock starts, set by simulations. `None` uses the system time.
    pub clock_start: Option<Timestamp>,
}

/// The source of a broker's config file: a path from the command line, or the environment.
#[derive(Clone, Debug, Default)]
pub struct ConfigSource {
    /// The path from the command line, which takes precedence over `EDGE_CONFIG`.
    pub config: Option<String>,
}

impl ConfigSource {
    /// Returns an environment variable, or the value from the command line that overrides it.
    fn variable(&self, name: &str) -> Option<String> {
        let on_command_line = self.config.clone().filter(|_| name == CONFIG_VARIABLE);
        on_command_line.or_else(|| std::env::var(name).ok())
    }
}

/// The contents of the config file.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: MachineLimits,
    /// The last endpoint list that was received before the start.
    known: Option<NodeList>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// The resources of the machine as stated in the config file: memory in MiB and the number of file descriptors.
#[derive(Deserialize)]
struct MachineLimits {
    memory_mb: f64,
    sockets: usize,
}

impl From<MachineLimits> for Machine {
    fn from(limits: MachineLimits) -> Machine {
        Machine { memory_mb: limits.memory_mb.max(0.0) as usize, sockets: limits.sockets }
    }
}

impl StartupConfig {
    /// Reads the `EDGE_*` environment variables and the config file that `EDGE_CONFIG` names.
    ///
    /// # Errors
    ///
    /// Returns an error if `EDGE_CONFIG` is not set, or if the file can't be read or is not valid.
    pub fn from_env() -> Result<StartupConfig, StartupError> {
        StartupConfig::from(&ConfigSource::default())
    }

    /// Reads the config file that `source` names. Values in the environment take precedence over those in the file.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`StartupConfig::from_env`].
    pub fn from(source: &ConfigSource) -> Result<StartupConfig, StartupError> {
        StartupConfig::read_file(|name| source.variable(name))
    }

    /// Reads the address of discovery from the config file again, the only value that a running broker reloads.
    ///
    /// Ignores `EDGE_DISCOVERY`, which applies only at startup.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`StartupConfig::from_env`].
    pub fn reread_discovery(source: &ConfigSource) -> Result<SocketAddr, StartupError> {
        let env = |name: &str| source.variable(name).filter(|_| name != DISCOVERY_VARIABLE);
        Ok(StartupConfig::read_file(env)?.discovery)
    }

    /// Reads the config file that `EDGE_CONFIG` names in `env`.
    fn read_file(env: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, StartupError> {
        let path = env(CONFIG_VARIABLE).ok_or(StartupError::NoConfig)?;
        match std::fs::read(&path) {
            Ok(text) => StartupConfig::read(&text, env)
                .map_err(|e| StartupError::InvalidFile { path, source: Box::new(e) }),
            Err(source) => Err(StartupError::Unreadable { path, source }),
        }
    }

    /// Parses the text of a config file. The name and the addresses in the environment (`env`) take precedence over
    /// the file.
    ///
    /// # Errors
    ///
    /// Returns an error if a key is missing or has an invalid value, or if the machine has too few file descriptors
    /// or too little memory.
    pub fn read(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, StartupError> {
        let file: ConfigFile = serde_json::from_slice(text)?;
        let settings = file.settings.get();
        let mut broker_settings = settings::read(settings.as_bytes())?;
        let limits = Limits::new(file.limits.into(), &broker_settings)?;
        apply_transport_overrides(&mut broker_settings, &limits);
        Ok(StartupConfig {
            name: env("EDGE_NAME").or(file.name).ok_or(StartupError::Missing { key: "name" })?,
            listen: address("listen", env("EDGE_LISTEN").or(file.listen))?,
            discovery: address("discovery", env(DISCOVERY_VARIABLE).or(file.discovery))?,
            seed: u64::from_str_radix(&file.seed, 16).map_err(StartupError::Seed)?,
            broker_settings,
            settings: settings.to_owned(),
            cached_endpoints: file.known,
            limits,
            clock_start: None,
        })
    }
}

/// Parses the address found for `key`.
fn address(key: &'static str, text: Option<String>) -> Result<SocketAddr, StartupError> {
    let text = text.ok_or(StartupError::Missing { key })?;
    text.parse().map_err(|source| StartupError::Address { key, text, source })
}

/// Sets the values that depend on the broker's connections to nodes and discovery. They are not part of the settings.
fn apply_transport_overrides(broker_settings: &mut BrokerSettings, limits: &Limits) {
    let config = &mut broker_settings.broker_config;
    // An attempt may have to wait for a connection before its last byte is written.
    config.send_lag = limits.nodes.attempt_write_timeout + limits.turn_period;
    // Discovery uses HTTP and must be polled, even if the settings declare the endpoint list as automatic.
    config.watch_on_request = true;
    // After a failed request, the routing logic must not rely on its list for longer than the time after which it is
    // considered notified of a change.
    let max_age = &mut config.rules.endpoint_list_max_age;
    *max_age = (*max_age).min(limits.discovery.assumed_notified_after);
}
