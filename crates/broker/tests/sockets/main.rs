//! The broker on loopback sockets, among test peers.

mod bad_requests;
mod client_connections;
mod configuration;
mod corrupt_frames;
mod discovery;
mod discovery_races;
mod load_reports;
mod node_connections;
mod queries;
mod races;
mod shutdown;
mod test_peers;
