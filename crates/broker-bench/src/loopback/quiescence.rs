//! Detects that all parties are idle, then handles the received messages.
//!
//! The parties are idle if the brokers' open queries are those that clients wait for, if their attempts in flight
//! are those that nodes execute or have just received, and if every broker's watch of the endpoint list waits at
//! discovery. Any message in flight, in either direction, makes one of these differ.

use crate::loopback::nodes::{AttemptKey, ConnectionKey};
use crate::loopback::state::LoopbackRun;
use crate::loopback::{LoopbackError, PendingWork};
use node_emulator::{PeerEvent, ReceivedEvent, ShardRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::task::yield_now;

/// Number of consecutive rounds of all tasks without pending work after which every received message has passed
/// through its channels.
const IDLE_ROUNDS: u32 = 6;

/// An attempt in flight: the node's address and the shard request's id in the nodes' protocol.
type AttemptInFlight = (SocketAddr, Vec<u8>);

impl LoopbackRun {
    /// Waits until the parties are idle and handles the received messages, until there are none.
    pub(super) async fn settle(&mut self) -> Result<(), LoopbackError> {
        let timeout_at = Instant::now() + self.settle_timeout;
        loop {
            self.wait_until_idle(timeout_at).await?;
            if self.nodes.inbox.is_empty() && self.clients.replies.is_empty() {
                return Ok(());
            }
            self.handle_arrivals().await?;
        }
    }

    async fn wait_until_idle(&mut self, timeout_at: Instant) -> Result<(), LoopbackError> {
        let mut idle_rounds = 0;
        loop {
            yield_now().await;
            self.nodes.receive_events();
            self.clients.receive_replies();
            let mut pending = self.pending_work();
            idle_rounds = if pending.is_none() { idle_rounds + 1 } else { 0 };
            if idle_rounds == IDLE_ROUNDS {
                if self.attempts_match() {
                    return Ok(());
                }
                pending = Some(PendingWork::AttemptMismatch);
                idle_rounds = 0;
            }
            if let Some(pending) = pending
                && Instant::now() > timeout_at
            {
                return Err(self.settle_timeout_error(pending));
            }
        }
    }

    fn settle_timeout_error(&self, pending: PendingWork) -> LoopbackError {
        LoopbackError::SettleTimeout {
            at_ms: self.now.as_ms(),
            timeout_s: self.settle_timeout.as_secs_f64(),
            pending,
        }
    }

    /// Returns the kind of pending work by comparing counts only, which is cheap enough for each round.
    pub(super) fn pending_work(&self) -> Option<PendingWork> {
        let open_queries: usize = self.brokers.iter().map(|broker| broker.engine.open_queries()).sum();
        if open_queries != self.clients.waiting {
            return Some(PendingWork::QueryOrResponse);
        }
        let in_flight: usize = self.brokers.iter().map(|broker| broker.engine.in_flight_count()).sum();
        let at_nodes = self.nodes.jobs.len() + self.arrived_requests().count();
        if in_flight != at_nodes - self.cancelled_requests().count() {
            return Some(PendingWork::Attempt);
        }
        let all_watches_wait = self.catalog.waiting_requests() >= self.brokers.len();
        (!all_watches_wait).then_some(PendingWork::EndpointListUpdate)
    }

    /// Returns whether the attempts in flight at brokers are those that nodes execute or have just received.
    pub(super) fn attempts_match(&self) -> bool {
        let of_brokers = self.brokers.iter().flat_map(|broker| broker.engine.attempts_in_flight());
        let mut of_brokers: Vec<AttemptInFlight> =
            of_brokers.map(|(address, id)| (address, id.to_vec())).collect();
        of_brokers.sort();
        of_brokers == self.attempts_at_nodes()
    }

    /// Returns the attempts that nodes execute or have just received, sorted.
    fn attempts_at_nodes(&self) -> Vec<AttemptInFlight> {
        let attempt = |node: usize, id: &str| (self.nodes.servers[node].address, id.as_bytes().to_vec());
        let accepted = self.nodes.jobs.attempts().map(|key| attempt(key.connection.node, &key.id));
        let arrived = self.arrived_requests().map(|(node, request)| attempt(node, &request.id));
        let mut attempts: Vec<AttemptInFlight> = accepted.chain(arrived).collect();
        attempts.sort();
        for (node, id) in self.cancelled_requests() {
            if let Ok(index) = attempts.binary_search(&attempt(node, id)) {
                attempts.remove(index);
            }
        }
        attempts
    }

    /// Returns the shard requests in the inbox with their nodes.
    fn arrived_requests(&self) -> impl Iterator<Item = (usize, &ShardRequest)> {
        self.nodes.inbox.iter().flat_map(|received| {
            let requests = match &received.event {
                PeerEvent::Batch(shard_requests) => &shard_requests[..],
                _ => &[],
            };
            requests.iter().map(|request| (received.node, request))
        })
    }

    /// Returns the nodes and shard request ids of the cancellations in the inbox, of those whose attempt the node
    /// executes or received before.
    fn cancelled_requests(&self) -> impl Iterator<Item = (usize, &str)> {
        self.nodes.inbox.iter().enumerate().filter_map(|(index, received)| {
            let PeerEvent::Cancel(id) = &received.event else { return None };
            let connection = ConnectionKey::of(received);
            let key = AttemptKey { connection, id: id.clone() };
            let earlier = &self.nodes.inbox[..index];
            let is_known =
                self.nodes.jobs.contains(&key) || earlier.iter().any(|e| contains_attempt(e, &key));
            is_known.then_some((received.node, &id[..]))
        })
    }

    /// Handles the nodes' events in the order of [`group_by_connection`], then the clients' replies by query.
    async fn handle_arrivals(&mut self) -> Result<(), LoopbackError> {
        for (connection, events) in group_by_connection(std::mem::take(&mut self.nodes.inbox)) {
            for event in events {
                self.handle_peer_event(connection, event).await?;
            }
        }
        for (query, reply) in self.clients.take_replies() {
            self.end_query(query, reply);
        }
        Ok(())
    }

    async fn handle_peer_event(
        &mut self,
        connection: ConnectionKey,
        event: PeerEvent,
    ) -> Result<(), LoopbackError> {
        match event {
            PeerEvent::Batch(shard_requests) => {
                for shard_request in shard_requests {
                    self.handle_attempt(AttemptKey { connection, id: shard_request.id }).await?;
                }
            }
            PeerEvent::Cancel(id) => self.handle_cancel(&AttemptKey { connection, id }),
            PeerEvent::Closed | PeerEvent::LoadProbe | PeerEvent::Unknown => {}
        }
        Ok(())
    }
}

/// Returns whether this event is a batch that contains this attempt.
fn contains_attempt(received: &ReceivedEvent, key: &AttemptKey) -> bool {
    let PeerEvent::Batch(shard_requests) = &received.event else { return false };
    let has_id = || shard_requests.iter().any(|shard_request| shard_request.id == key.id);
    ConnectionKey::of(received) == key.connection && has_id()
}

/// Groups events by connection, each in the order of arrival. Connections are ordered by node, then by the lowest
/// query of their events, so that the order does not depend on the kernel's delivery times.
fn group_by_connection(inbox: Vec<ReceivedEvent>) -> Vec<(ConnectionKey, Vec<PeerEvent>)> {
    let mut by_connection: BTreeMap<ConnectionKey, Vec<PeerEvent>> = BTreeMap::new();
    for received in inbox {
        by_connection.entry(ConnectionKey::of(&received)).or_default().push(received.event);
    }
    let mut groups: Vec<_> = by_connection.into_iter().collect();
    groups.sort_by_cached_key(|(key, events)| {
        (key.node, events.iter().filter_map(lowest_query).min(), key.connection)
    });
    groups
}

/// Returns the lowest query index of an event.
fn lowest_query(event: &PeerEvent) -> Option<usize> {
    match event {
        PeerEvent::Batch(shard_requests) => {
            let ids = shard_requests.iter().filter_map(|shard_request| parse_wire_id(&shard_request.id));
            ids.map(|id| id.query).min()
        }
        PeerEvent::Cancel(id) => parse_wire_id(id).map(|id| id.query),
        PeerEvent::Unknown | PeerEvent::LoadProbe | PeerEvent::Closed => None,
    }
}

/// The parsed id of a shard request in the nodes' protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WireId {
    /// The query's index.
    pub(super) query: usize,
    pub(super) shard: u32,
}

/// Parses an id such as `r17.3`: query 17, shard 3.
pub(super) fn parse_wire_id(id: &str) -> Option<WireId> {
    let (query, shard) = id.strip_prefix('r')?.split_once('.')?;
    Some(WireId { query: query.parse().ok()?, shard: shard.parse().ok()? })
}
