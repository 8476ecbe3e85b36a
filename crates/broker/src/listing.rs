//! Nodes as discovery writes them down, in its own words.

use routing::EndpointState;
use serde::Deserialize;
use std::net::SocketAddr;

/// Nodes as discovery lists them: all, or those that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeList {
    pub revision: u64,
    #[serde(rename = "complete")]
    pub all: bool,
    #[serde(rename = "members")]
    pub nodes: Vec<ListedNode>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ListedNode {
    #[serde(rename = "id")]
    pub name: String,
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    #[serde(rename = "locality")]
    pub zone: String,
    pub cell: u32,
    #[serde(rename = "phase")]
    pub state: ListedState,
    /// In Unix time; 0 for long ago.
    #[serde(rename = "up_since_ms", default)]
    pub started_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

impl From<ListedState> for EndpointState {
    fn from(listed: ListedState) -> EndpointState {
        match listed {
            ListedState::Ready => EndpointState::Ready,
            ListedState::Draining => EndpointState::Draining,
            ListedState::Gone => EndpointState::Removed,
        }
    }
}
