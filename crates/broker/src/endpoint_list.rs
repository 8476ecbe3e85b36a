//! The format of discovery's endpoint lists. Only this module maps discovery's field names (`members`, `locality`,
//! `cell` and others) to the terms of the code.

use routing::EndpointState;
use serde::Deserialize;
use std::net::SocketAddr;

/// An endpoint list as discovery sends it: either all nodes or those that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeList {
    /// The list's revision, which a later request names to receive only the changes since.
    pub revision: u64,
    /// Whether the list contains all nodes rather than only those that changed.
    #[serde(rename = "complete")]
    pub is_complete: bool,
    /// The listed nodes: all of them, or only those that changed.
    #[serde(rename = "members")]
    pub nodes: Vec<ListedNode>,
}

/// One node of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedNode {
    /// The node's name, which stays the same across restarts.
    #[serde(rename = "id")]
    pub name: String,
    /// The address on which the node listens.
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    /// The name of the node's zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// The number of the node's placement group.
    #[serde(rename = "cell")]
    pub placement_group: u32,
    /// Whether shard requests may be sent to the node.
    #[serde(rename = "phase")]
    pub state: ListedState,
    /// The node's start time in Unix milliseconds; 0, the default, if it started long ago.
    #[serde(rename = "up_since_ms", default)]
    pub started_at_ms: f64,
}

/// The state of a node as discovery reports it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The node accepts shard requests.
    Ready,
    /// The node finishes the shard requests that it has, and accepts no more.
    Draining,
    /// The node no longer exists.
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
