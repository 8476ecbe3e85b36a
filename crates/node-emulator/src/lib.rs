//! Emulated nodes and scripted peers for tests and benchmarks of brokers.
//!
//! [`EmulatedNode`] models a node with cores, a bounded queue, service times, load reports, warm-up after a start,
//! draining, crashes and reduced speed. It has no clock, no sockets and no randomness: the caller passes the time
//! and asks when the next job completes. [`NodeServer`] runs the model on a loopback socket in real time, with the
//! frames of the protocol. The peers [`ScriptedNode`], [`ScriptedDiscovery`], [`DiscoveryCatalog`] and
//! [`HttpClient`] communicate over loopback and act only as instructed by a test.
//!
//! ```
//! use routing::Timestamp;
//! use node_emulator::{EmulatedNode, JobId, NodeSpec, SubmitOutcome};
//!
//! let mut node = EmulatedNode::new(NodeSpec { cores: 1, ..NodeSpec::default() }, None);
//! assert_eq!(node.submit(Timestamp(0), JobId(1), 2000), SubmitOutcome::Started);
//! assert_eq!(node.next_completion(), Some(Timestamp(20)));
//! assert_eq!(node.complete(Timestamp(20)), Some(JobId(1)));
//! ```

#![warn(missing_docs)]

mod discovery_catalog;
mod emulated_node;
mod frame;
mod http_client;
mod http_server;
mod job;
mod load_report;
mod node_event;
mod node_server;
mod node_spec;
mod node_state;
mod scripted_discovery;
mod scripted_node;

pub use discovery_catalog::DiscoveryCatalog;
pub use emulated_node::EmulatedNode;
pub use frame::encode_frame;
pub use http_client::{HttpClient, HttpResponse, query_body, query_request, tenant_query_request};
pub use job::{JobId, SubmitOutcome};
pub use load_report::LoadReport;
pub use node_event::{EventSender, PeerEvent, ReceivedEvent, ShardRequest};
pub use node_server::{NodeServer, ReceivedShardRequest, WorkFunction};
pub use node_spec::{CancelPolicy, NodeSpec};
pub use node_state::NodeState;
pub use scripted_discovery::ScriptedDiscovery;
pub use scripted_node::ScriptedNode;
