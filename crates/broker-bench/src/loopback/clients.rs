//! Implements the clients of a run on sockets: sends queries to brokers round-robin and checks the responses.

use crate::invariants::{QueryEnd, ShardRequestIndex};
use crate::loopback::LoopbackError;
use crate::loopback::state::LoopbackRun;
use crate::run_results::QueryOrigin;
use crate::simulation::settings_text::tenant_name;
use cluster_trace::plan::PlannedShardRequest;
use node_emulator::{HttpClient, HttpResponse, query_body, tenant_query_request};
use routing::{TimeSpan, Timestamp};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Idle time after which a client's connection is not reused, as the broker may be closing it.
const MAX_CONNECTION_IDLE: TimeSpan = TimeSpan(200_000);
/// Query text, which node models ignore.
const QUERY_TEXT: &str = "x";

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// A query that was sent, and the shard requests that its response may contain.
pub(super) struct Query {
    broker: usize,
    origin: QueryOrigin,
    /// Index of the first shard request in the invariant checker; the others follow.
    pub(super) first_shard_request: usize,
    pub(super) shard_requests: Vec<PlannedShardRequest>,
}

impl Query {
    /// Returns the position of the query's shard request for this shard.
    pub(super) fn position_of(&self, shard: u32) -> Option<usize> {
        self.shard_requests.iter().position(|planned| planned.shard == shard)
    }

    /// Returns the shard request that an item of a response answers, or an index out of range if the item's value is
    /// not the one that a node generated for this query and shard.
    fn answered_request(&self, query: usize, item: &ResponseItem) -> ShardRequestIndex {
        let has_expected_value = item.body == format!("vr{query}.{}", item.slice);
        let position = self.position_of(item.slice).filter(|_| has_expected_value);
        ShardRequestIndex(position.map_or(usize::MAX, |position| self.first_shard_request + position))
    }

    /// Returns how a query ended, by its response or, if the connection was lost, by `None`.
    fn end(&self, query: usize, response: Option<&HttpResponse>) -> QueryEnd {
        match response.map(|response| (response.status, &response.body)) {
            Some((STATUS_OK, body)) => match serde_json::from_str::<ResponseBody>(body) {
                Ok(ResponseBody { entire, items }) => {
                    let counted = items.iter().map(|item| self.answered_request(query, item)).collect();
                    QueryEnd::Responded { complete: entire, counted }
                }
                Err(_) => QueryEnd::Responded { complete: false, counted: Vec::new() },
            },
            Some((STATUS_SERVICE_UNAVAILABLE, _)) => QueryEnd::Rejected,
            // With any other status the query may have been executed.
            _ => QueryEnd::Failed,
        }
    }
}

/// The body of a response, with the field names of the JSON.
#[derive(Deserialize)]
struct ResponseBody {
    entire: bool,
    items: Vec<ResponseItem>,
}

#[derive(Deserialize)]
struct ResponseItem {
    slice: u32,
    body: String,
}

/// A response and the connection that it was received on.
pub(super) struct ClientReply {
    response: HttpResponse,
    client: HttpClient,
}

/// The result of an HTTP exchange. The reply is `None` if the connection was lost.
struct FinishedQuery {
    query: usize,
    reply: Option<ClientReply>,
}

struct IdleConnection {
    since: Timestamp,
    client: HttpClient,
}

/// The clients' idle connections and pending responses.
pub(super) struct Clients {
    /// Idle connections, indexed by broker.
    idle: Vec<Vec<IdleConnection>>,
    /// Number of queries that wait for a response.
    pub(super) waiting: usize,
    finished_sender: mpsc::UnboundedSender<FinishedQuery>,
    finished: mpsc::UnboundedReceiver<FinishedQuery>,
    /// Replies that were received and are not handled yet, by query.
    pub(super) replies: BTreeMap<usize, Option<ClientReply>>,
}

impl Clients {
    pub(super) fn new(brokers: usize) -> Clients {
        let (finished_sender, finished) = mpsc::unbounded_channel();
        let idle = (0..brokers).map(|_| Vec::new()).collect();
        Clients { idle, waiting: 0, finished_sender, finished, replies: BTreeMap::new() }
    }

    /// Moves received replies to `replies`.
    pub(super) fn receive_replies(&mut self) {
        while let Ok(FinishedQuery { query, reply }) = self.finished.try_recv() {
            self.waiting -= 1;
            self.replies.insert(query, reply);
        }
    }

    pub(super) fn take_replies(&mut self) -> BTreeMap<usize, Option<ClientReply>> {
        std::mem::take(&mut self.replies)
    }

    /// Takes the most recently used connection to a broker, or returns `None` if it has been idle for too long. In
    /// that case all others have been, too, and are dropped.
    fn pop_idle(&mut self, broker: usize, now: Timestamp) -> Option<HttpClient> {
        let newest = self.idle[broker].pop().filter(|idle| now - idle.since < MAX_CONNECTION_IDLE);
        if newest.is_none() {
            self.idle[broker].clear();
        }
        newest.map(|idle| idle.client)
    }

    fn push_idle(&mut self, broker: usize, now: Timestamp, client: HttpClient) {
        self.idle[broker].push(IdleConnection { since: now, client });
    }

    /// Sends a request on this connection, or on a new one if it is `None`.
    fn send(&mut self, query: usize, connection: Option<HttpClient>, broker: SocketAddr, request: String) {
        self.waiting += 1;
        let sender = self.finished_sender.clone();
        spawn_local(async move {
            let reply = exchange(connection, broker, &request).await;
            // The receiver is gone if the run has failed.
            let _ = sender.send(FinishedQuery { query, reply });
        });
    }
}

async fn exchange(connection: Option<HttpClient>, broker: SocketAddr, request: &str) -> Option<ClientReply> {
    let mut client = match connection {
        Some(client) => client,
        None => HttpClient::connect(broker).await.ok()?,
    };
    client.write(request).await.ok()?;
    let response = client.read_response().await?;
    Some(ClientReply { response, client })
}

impl LoopbackRun {
    /// Sends a query to the next broker in round-robin order.
    pub(super) async fn send_query(
        &mut self,
        class: usize,
        tenant: usize,
        shard_requests: Vec<PlannedShardRequest>,
    ) -> Result<(), LoopbackError> {
        let query = self.queries.len();
        let broker = query % self.brokers.len();
        let origin = QueryOrigin { class, tenant, sent_at: self.now };
        self.results.record_query(origin);
        let weights: Vec<f64> = shard_requests.iter().map(|planned| planned.weight).collect();
        let time_left = self.classes[class].deadline();
        let ShardRequestIndex(first_shard_request) =
            self.invariants.query_sent(self.now, broker, class, time_left, &weights);
        let request = self.http_request(query, origin, &shard_requests);
        self.queries.push(Query { broker, origin, first_shard_request, shard_requests });
        let connection = self.clients.pop_idle(broker, self.now);
        self.clients.send(query, connection, self.brokers[broker].listen_address, request);
        self.settle().await
    }

    fn http_request(
        &self,
        query: usize,
        origin: QueryOrigin,
        shard_requests: &[PlannedShardRequest],
    ) -> String {
        let shards: Vec<(u32, f64)> =
            shard_requests.iter().map(|planned| (planned.shard, planned.weight)).collect();
        let class = &self.classes[origin.class];
        let tenant = self.has_quotas.then(|| tenant_name(origin.tenant));
        let (id, body) = (format!("r{query}"), query_body(&shards, QUERY_TEXT));
        tenant_query_request(tenant.as_deref(), &id, &class.name, u64::from(class.deadline_ms), &body)
    }

    /// Records the end of a query at its client.
    pub(super) fn end_query(&mut self, index: usize, reply: Option<ClientReply>) {
        let query = &self.queries[index];
        let (broker, origin) = (query.broker, query.origin);
        let response = reply.as_ref().map(|reply| &reply.response);
        let end = query.end(index, response);
        let status = response.map_or(0, |response| response.status);
        self.hasher.update(format!("{} r{index} {status} {end:?}\n", self.now.0).as_bytes());
        if let Some(ClientReply { client, .. }) = reply {
            self.clients.push_idle(broker, self.now, client);
        }
        let Some(coverage) = self.invariants.query_ended(self.now, index, &end) else { return };
        match end {
            QueryEnd::Responded { .. } => self.results.record_response(self.now, origin, coverage),
            QueryEnd::Rejected => self.results.record_rejection(self.now, origin),
            QueryEnd::Failed => self.results.record_failure(self.now),
        }
    }
}
