//! What a broker starts from: the environment and the config file.
//!
//! The keys of the config file (`known`, `limits` and the like) become the code's terms here. Endpoint lists in it
//! have the format of `endpoint_list`.

use crate::endpoint_list::NodeList;
use crate::limits::{Limits, LimitsError, Machine};
use routing::Timestamp;
use serde::Deserialize;
use serde_json::value::RawValue;
use settings::{BrokerSettings, SettingsError};
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;

/// Names the config file.
const CONFIG_VARIABLE: &str = "EDGE_CONFIG";
/// Says where discovery is, and comes before the config file.
const DISCOVERY_VARIABLE: &str = "EDGE_DISCOVERY";

/// Why a broker could not start. The texts are for whoever started it.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// Neither the command line nor the environment names a config file.
    #[error("EDGE_CONFIG is not set")]
    NoConfig,
    /// The config file could not be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The config file does not describe a broker.
    #[error("{path}: {source}")]
    InvalidFile {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: Box<StartupError>,
    },
    /// The config file is not JSON of the expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The settings within the config file can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The machine has too little of something.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// A key is neither in the environment nor in the file.
    #[error("`{key}` is missing")]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// An address can't be read.
    #[error("`{key}` is `{text}`: {source}")]
    Address {
        /// The key.
        key: &'static str,
        /// What it says.
        text: String,
        /// Why that is no address.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number.
    #[error("`seed`: {0}")]
    Seed(#[source] ParseIntError),
    /// The system refused a socket, a signal handler, a thread or the like.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Everything that one broker starts from.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    /// The broker's name.
    pub name: String,
    /// Where clients reach it.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Seeds the routing decisions' random numbers.
    pub seed: u64,
    /// What the settings say, adapted to sockets.
    pub broker_settings: BrokerSettings,
    /// The text of the settings that `broker_settings` was read from.
    pub settings: String,
    /// The endpoint list that this broker had last.
    pub cached_endpoints: Option<NodeList>,
    /// The sizes, counts and times that follow from the machine and the settings.
    pub limits: Limits,
    /// The Unix time at which its clock starts; `None`: the system's. A simulation sets it.
    pub clock_start: Option<Timestamp>,
}

/// Where a broker's config file is: named on the command line, or by the environment.
#[derive(Clone, Debug, Default)]
pub struct ConfigSource {
    /// The path that the command line names.
    pub config: Option<String>,
}

impl ConfigSource {
    /// An environment variable, or what the command line says in its place.
    fn variable(&self, name: &str) -> Option<String> {
        let on_command_line = self.config.clone().filter(|_| name == CONFIG_VARIABLE);
        on_command_line.or_else(|| std::env::var(name).ok())
    }
}

/// The config file, by its own keys.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: MachineLimits,
    /// The endpoint list that this broker had last.
    known: Option<NodeList>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// What the file says of the machine: memory in MiB, file descriptors.
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
    /// Reads the `EDGE_*` variables and the file that they name.
    ///
    /// # Errors
    ///
    /// The file is not named, can't be read, or has a mistake.
    pub fn from_env() -> Result<StartupConfig, StartupError> {
        StartupConfig::from(&ConfigSource::default())
    }

    /// Reads the file that a source names.
    ///
    /// # Errors
    ///
    /// As [`StartupConfig::from_env`].
    pub fn from(source: &ConfigSource) -> Result<StartupConfig, StartupError> {
        StartupConfig::read_file(|name| source.variable(name))
    }

    /// Reads the file again for what a running broker takes over from it: the address of discovery. The environment's
    /// address holds at the start only.
    ///
    /// # Errors
    ///
    /// As [`StartupConfig::from_env`].
    pub fn reread_discovery(source: &ConfigSource) -> Result<SocketAddr, StartupError> {
        let env = |name: &str| source.variable(name).filter(|_| name != DISCOVERY_VARIABLE);
        Ok(StartupConfig::read_file(env)?.discovery)
    }

    /// Reads the file that `EDGE_CONFIG` names in this environment.
    fn read_file(env: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, StartupError> {
        let path = env(CONFIG_VARIABLE).ok_or(StartupError::NoConfig)?;
        match std::fs::read(&path) {
            Ok(text) => StartupConfig::read(&text, env)
                .map_err(|e| StartupError::InvalidFile { path, source: Box::new(e) }),
            Err(source) => Err(StartupError::Unreadable { path, source }),
        }
    }

    /// Reads a config file's text. Name and addresses in the environment (`env`) take precedence.
    ///
    /// # Errors
    ///
    /// A key is missing or has an invalid value, or the machine has too little of something.
    pub fn read(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, StartupError> {
        let file: ConfigFile = serde_json::from_slice(text)?;
        let settings = file.settings.get();
        let mut broker_settings = settings::read(settings.as_bytes())?;
        let limits = Limits::new(file.limits.into(), &broker_settings)?;
        adapt_to_sockets(&mut broker_settings, &limits);
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

/// Reads the address under a key.
fn address(key: &'static str, text: Option<String>) -> Result<SocketAddr, StartupError> {
    let text = text.ok_or(StartupError::Missing { key })?;
    text.parse().map_err(|source| StartupError::Address { key, text, source })
}

/// Sets what follows from this broker's connections to nodes and discovery, which the settings can't know.
fn adapt_to_sockets(broker_settings: &mut BrokerSettings, limits: &Limits) {
    let config = &mut broker_settings.broker_config;
    // Between its turn and its last byte an attempt may have to wait for a connection.
    config.send_lag = limits.nodes.attempt_write_timeout + limits.turn_period;
    // Discovery speaks HTTP and has to be asked, also where the settings call the endpoint list automatic.
    config.watch_on_request = true;
    // After a failed request the decisions may wait no longer than until they count as notified of what they miss.
    let max_age = &mut config.rules.endpoint_list_max_age;
    *max_age = (*max_age).min(limits.discovery.assumed_notified_after);
}
