//! The format of discovery's endpoint lists: the only place where its field names (`members`, `locality`, `cell` and
//! the like) and the code's terms meet.

use routing::EndpointState;
use serde::Deserialize;
use std::net::SocketAddr;

/// Nodes as discovery lists them: all, or those that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeList {
    /// What a later request names to get only the changes since.
    pub revision: u64,
    /// All nodes are listed, not only those that changed.
    #[serde(rename = "complete")]
    pub is_complete: bool,
    /// The nodes.
    #[serde(rename = "members")]
    pub nodes: Vec<ListedNode>,
}

/// One node of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedNode {
    /// The node's name, which stays the same when it restarts.
    #[serde(rename = "id")]
    pub name: String,
    /// Where it listens.
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    /// The name of its zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// The number of its placement group.
    #[serde(rename = "cell")]
    pub placement_group: u32,
    /// Whether shard requests may be sent to it.
    #[serde(rename = "phase")]
    pub state: ListedState,
    /// When it started, in Unix time in milliseconds; 0 for long ago.
    #[serde(rename = "up_since_ms", default)]
    pub started_at_ms: f64,
}

/// A node's state in discovery's terms.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Accepts shard requests.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Is not there any more.
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
