//! A log line for a process that is close to its memory limit, with what connections and queries hold.

use super::HttpServer;
use super::connection::Connection;
use crate::process_memory::resident_bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// The share of the memory above which the use of memory is logged.
const REPORTED_SHARE: f64 = 0.75;
/// The minimum time between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const BYTES_PER_KIB: usize = 1024;

/// The connections in one state, and what was read for their current requests.
#[derive(Default)]
struct ConnectionGroup {
    connections: usize,
    read_bytes: usize,
}

impl ConnectionGroup {
    fn new<'a>(connections: impl Iterator<Item = &'a Rc<Connection>>) -> ConnectionGroup {
        connections.fold(ConnectionGroup::default(), |group, connection| ConnectionGroup {
            connections: group.connections + 1,
            read_bytes: group.read_bytes.saturating_add(connection.bytes_read()),
        })
    }
}

impl HttpServer {
    /// Logs what connections and queries hold if the process is close to its memory limit.
    pub(super) fn report_memory(&self) {
        let is_recent = self.memory_reported_at.get().is_some_and(|at| at.elapsed() < REPORT_INTERVAL);
        let limit_bytes = self.query_handler.limits.memory_bytes;
        let Some(resident_bytes) = resident_bytes().filter(|_| !is_recent) else { return };
        if (resident_bytes as f64) < REPORTED_SHARE * limit_bytes as f64 {
            return;
        }
        self.memory_reported_at.set(Some(Instant::now()));
        let connections = self.connections.borrow();
        let group = |is_in_group: fn(&Connection) -> bool| {
            ConnectionGroup::new(connections.iter().filter(|connection| is_in_group(connection)))
        };
        let reading = group(Connection::is_reading_request);
        let handling = group(Connection::is_handling_request);
        let closing = group(Connection::is_closing);
        warn!(
            resident_kib = resident_bytes / BYTES_PER_KIB,
            limit_kib = limit_bytes / BYTES_PER_KIB,
            reserved_kib = self.query_handler.engine.memory().held_bytes() / BYTES_PER_KIB,
            connections = connections.len(),
            reading = reading.connections,
            reading_kib = reading.read_bytes / BYTES_PER_KIB,
            handling = handling.connections,
            handling_kib = handling.read_bytes / BYTES_PER_KIB,
            closing = closing.connections,
            closing_kib = closing.read_bytes / BYTES_PER_KIB,
            node_connections = self.query_handler.engine.node_connection_count(),
            "memory nearly used up"
        );
    }
}
