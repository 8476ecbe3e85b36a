//! Finds out when no party has anything under way, and then handles what has arrived.
//!
//! Each broker's open queries have to be those that clients wait for, its attempts in flight those that nodes
//! have or have just received, and its watch of the endpoint list has to wait at discovery. Whatever is under
//! way, in either direction, makes one of these differ.

use crate::loopback::nodes::{AttemptKey, ConnectionKey};
use crate::loopback::state::LoopbackRun;
use crate::loopback::{LoopbackError, PendingWork};
use node_emulator::{PeerEvent, ReceivedEvent, ShardRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::task::yield_now;

/// Rounds of all tasks with nothing under way, after which what was received has gone through every channel.
const IDLE_ROUNDS: u32 = 6;

/// An attempt in flight: the node's address, and the shard request's id on the wire.
type AttemptInFlight = (SocketAddr, Vec<u8>);

impl LoopbackRun {
    /// Waits until nothing is under way and handles what has arrived, until that leads to nothing more.
    pub(super) async fn settle(&mut self) -> Result<(), LoopbackError> {
        let give_up_at = Instant::now() + self.settle_timeout;
        loop {
            self.wait_until_idle(give_up_at).await?;
            if self.nodes.inbox.is_empty() && self.clients.replies.is_empty() {
                return Ok(());
            }
            self.handle_arrivals().await?;
        }
    }

    async fn wait_until_idle(&mut self, give_up_at: Instant) -> Result<(), LoopbackError> {
        let mut idle_rounds = 0;
        loop {
            yield_now().await;
            self.nodes.receive_events();
            self.clients.receive_replies();
            let mut pending = self.pending_work();
            idle_rounds = if pending.is_none() { idle_rounds + 1 } else { 0 };
            if idle_rounds == IDLE_ROUNDS {
                if self.attempts_agree() {
                    return Ok(());
                }
                pending = Some(PendingWork::DifferentAttempts);
                idle_rounds = 0;
            }
            if let Some(pending) = pending
                && Instant::now() > give_up_at
            {
                return Err(self.busy(pending));
            }
        }
    }

    fn busy(&self, pending: PendingWork) -> LoopbackError {
        LoopbackError::SettleTimeout {
            at_ms: self.now.as_ms(),
            timeout_s: self.settle_timeout.as_secs_f64(),
            pending,
        }
    }

    /// What is under way, by the counts alone: cheap enough for each round.
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
        let has_all_watches = self.catalog.waiting_requests() >= self.brokers.len();
        (!has_all_watches).then_some(PendingWork::EndpointListUpdate)
    }

    /// Whether the attempts that brokers have in flight are those that nodes have or have just received.
    pub(super) fn attempts_agree(&self) -> bool {
        let of_brokers = self.brokers.iter().flat_map(|broker| broker.engine.attempts_in_flight());
        let mut of_brokers: Vec<AttemptInFlight> =
            of_brokers.map(|(address, id)| (address, id.to_vec())).collect();
        of_brokers.sort();
        of_brokers == self.attempts_at_nodes()
    }

    /// In order.
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

    /// Shard requests that nodes have received and that are not handled yet, with their nodes.
    fn arrived_requests(&self) -> impl Iterator<Item = (usize, &ShardRequest)> {
        self.nodes.inbox.iter().flat_map(|received| {
            let requests = match &received.event {
                PeerEvent::Batch(shard_requests) => &shard_requests[..],
                _ => &[],
            };
            requests.iter().map(|request| (received.node, request))
        })
    }

    /// Cancellations that nodes have received and that are not handled yet, of attempts that the node has or
    /// received before: nodes, and ids on the wire.
    fn cancelled_requests(&self) -> impl Iterator<Item = (usize, &str)> {
        self.nodes.inbox.iter().enumerate().filter_map(|(index, received)| {
            let PeerEvent::Cancel(id) = &received.event else { return None };
            let connection = ConnectionKey::of(received);
            let key = AttemptKey { connection, id: id.clone() };
            let earlier = &self.nodes.inbox[..index];
            let is_known = self.nodes.jobs.contains(&key) || earlier.iter().any(|e| brings(e, &key));
            is_known.then_some((received.node, &id[..]))
        })
    }

    /// Handles what nodes received: by node, then connections by the first query that they brought, each in the
    /// order of arrival; then what clients received, by query.
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

/// Whether this event brings this attempt.
fn brings(received: &ReceivedEvent, key: &AttemptKey) -> bool {
    let PeerEvent::Batch(shard_requests) = &received.event else { return false };
    let has_id = || shard_requests.iter().any(|shard_request| shard_request.id == key.id);
    ConnectionKey::of(received) == key.connection && has_id()
}

/// The events of each connection in the order of arrival. The order of connections does not depend on when the
/// kernel delivered what: by node, then by the first query that they are about.
fn group_by_connection(inbox: Vec<ReceivedEvent>) -> Vec<(ConnectionKey, Vec<PeerEvent>)> {
    let mut by_connection: BTreeMap<ConnectionKey, Vec<PeerEvent>> = BTreeMap::new();
    for received in inbox {
        by_connection.entry(ConnectionKey::of(&received)).or_default().push(received.event);
    }
    let mut groups: Vec<_> = by_connection.into_iter().collect();
    groups.sort_by_cached_key(|(key, events)| {
        (key.node, events.iter().filter_map(first_query).min(), key.connection)
    });
    groups
}

/// The first query that an event is about.
fn first_query(event: &PeerEvent) -> Option<usize> {
    match event {
        PeerEvent::Batch(shard_requests) => {
            let ids = shard_requests.iter().filter_map(|shard_request| parse_wire_id(&shard_request.id));
            ids.map(|id| id.query).min()
        }
        PeerEvent::Cancel(id) => parse_wire_id(id).map(|id| id.query),
        PeerEvent::Unknown | PeerEvent::LoadProbe | PeerEvent::Closed => None,
    }
}

/// What a shard request's id on the wire says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WireId {
    /// The query's index.
    pub(super) query: usize,
    pub(super) shard: u32,
}

/// Reads `r17.3`: query 17, shard 3.
pub(super) fn parse_wire_id(id: &str) -> Option<WireId> {
    let (query, shard) = id.strip_prefix('r')?.split_once('.')?;
    Some(WireId { query: query.parse().ok()?, shard: shard.parse().ok()? })
}
