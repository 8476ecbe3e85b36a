//! The broker on loopback sockets, among test peers.

mod bad_requests;
mod client_connections;
mod configuration;
mod corrupt_frames;
mod deadlines;
mod discovery;
mod discovery_races;
mod fleet_sizes;
mod load_reports;
mod node_connections;
mod queries;
mod races;
mod shutdown;
mod system_faults;
mod test_peers;
mod wall_clock;
