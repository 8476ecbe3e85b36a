//! What the broker is told when it starts: the environment and the config file.

use crate::endpoint_list::NodeList;
use crate::limits::{Limits, Machine};
use routing::Tenths;
use serde::Deserialize;
use serde_json::value::RawValue;
use settings::BrokerSettings;
use std::net::SocketAddr;

/// All that one broker starts from.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub broker_settings: BrokerSettings,
    /// The text of the settings that `broker_settings` was read from.
    pub settings: String,
    /// The nodes as this broker last had them.
    pub known: Option<NodeList>,
    pub limits: Limits,
    /// The Unix time at which its clock starts; none: the machine's. For days that are rehearsed.
    pub since: Option<Tenths>,
}

/// Where a broker's own file is: named on the command line, or by the environment.
#[derive(Clone, Debug, Default)]
pub struct ConfigSource {
    pub config: Option<String>,
}

impl ConfigSource {
    fn variable(&self, name: &str) -> Option<String> {
        let told = self.config.clone().filter(|_| name == "EDGE_CONFIG");
        told.or_else(|| std::env::var(name).ok())
    }
}

#[derive(Deserialize)]
struct File<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: FileLimits,
    known: Option<NodeList>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
struct FileLimits {
    memory_mb: f64,
    sockets: usize,
}

impl StartupConfig {
    /// Reads EDGE_* and the file that they name; an error is for whoever started the broker.
    pub fn from_env() -> Result<StartupConfig, String> {
        StartupConfig::from(&ConfigSource::default())
    }

    /// Reads what this source tells of.
    pub fn from(source: &ConfigSource) -> Result<StartupConfig, String> {
        StartupConfig::read_file(|name| source.variable(name))
    }

    /// Reads the file once more, for what a running broker takes over from it: where discovery is now. What
    /// the environment said of that held for the start.
    pub fn reread(source: &ConfigSource) -> Result<SocketAddr, String> {
        let order =
            StartupConfig::read_file(|name| source.variable(name).filter(|_| name != "EDGE_DISCOVERY"));
        order.map(|order| order.discovery)
    }

    fn read_file(env: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, String> {
        let path = env("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set")?;
        let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
        StartupConfig::read(&text, env).map_err(|e| format!("{path}: {e}"))
    }

    /// Reads a config file's text. What the environment says of name and addresses comes first.
    pub fn read(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let mut broker_settings = settings::read(file.settings.get().as_bytes())?;
        let address = |name: &str, told: Option<String>| -> Result<SocketAddr, String> {
            let variable = format!("EDGE_{}", name.to_uppercase());
            let text = env(&variable).or(told).ok_or(format!("`{name}` is missing"))?;
            text.parse().map_err(|e| format!("`{name}` is `{text}`: {e}"))
        };
        let machine =
            Machine { memory_mb: file.limits.memory_mb.max(0.0) as usize, sockets: file.limits.sockets };
        let limits = Limits::new(machine, &broker_settings)?;
        // From its turn to its last byte an attempt may have to wait for a connection.
        broker_settings.broker_config.send_lag = limits.unsent + limits.period;
        // Discovery is asked here; what the settings call automatic, the agent's watch brings about.
        broker_settings.broker_config.watch_on_request = true;
        // After a call that failed the module may wait no longer than what it then misses stays untold.
        let rules = &mut broker_settings.broker_config.rules;
        rules.endpoint_list_max_age = rules.endpoint_list_max_age.min(limits.untold);
        Ok(StartupConfig {
            name: env("EDGE_NAME").or(file.name).ok_or("`name` is missing")?,
            listen: address("listen", file.listen)?,
            discovery: address("discovery", file.discovery)?,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|e| format!("`seed`: {e}"))?,
            broker_settings,
            settings: file.settings.get().to_owned(),
            known: file.known,
            limits,
            since: None,
        })
    }
}
