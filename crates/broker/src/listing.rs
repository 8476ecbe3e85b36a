//! Nodes as discovery writes them down, in its own words.

use routing::EndpointState;
use serde::Deserialize;
use std::net::SocketAddr;

/// Nodes as discovery lists them: all, or those that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
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
    pub state: ListedStanding,
    /// In Unix time; 0 for long ago.
    #[serde(rename = "up_since_ms", default)]
    pub started_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedStanding {
    Ready,
    Draining,
    Gone,
}

impl From<ListedStanding> for EndpointState {
    fn from(listed: ListedStanding) -> EndpointState {
        match listed {
            ListedStanding::Ready => EndpointState::Ready,
            ListedStanding::Draining => EndpointState::Draining,
            ListedStanding::Gone => EndpointState::Removed,
        }
    }
}
