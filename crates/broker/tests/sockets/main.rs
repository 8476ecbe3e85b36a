//! Integration tests of the broker on loopback sockets, with test clients and scripted or emulated nodes and
//! discovery.

mod bad_requests;
mod client_connections;
mod configuration;
mod corrupt_frames;
mod deadlines;
mod discovery;
mod discovery_outages;
mod discovery_races;
mod fleet_sizes;
mod interrupted_calls;
mod load_reports;
mod local_shortage;
mod memory_limit;
mod node_connections;
mod queries;
mod races;
mod response_lengths;
mod response_owners;
mod shutdown;
mod soak;
mod system_faults;
mod test_cluster_process;
mod test_peers;
mod test_process;
mod wall_clock;
