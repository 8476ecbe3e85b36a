//! Clients of a day on sockets: they send queries to brokers by turns, and check what comes back.

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

/// A client's connection that was idle for this long is not used again: the broker might be closing it.
const MAX_CONNECTION_IDLE: TimeSpan = TimeSpan(200_000);
/// The text of every query.
const QUERY_TEXT: &str = "x";

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// A query, and what a response to it has to hold.
pub(super) struct Query {
    broker: usize,
    origin: QueryOrigin,
    /// The index of its first shard request; the others follow.
    pub(super) first: usize,
    pub(super) shard_requests: Vec<PlannedShardRequest>,
}

impl Query {
    /// Which of its shard requests asks this shard.
    pub(super) fn position_of(&self, shard: u32) -> Option<usize> {
        self.shard_requests.iter().position(|planned| planned.shard == shard)
    }

    /// The shard request that an item of a response is of; none of this query where the value is not the one that
    /// a node made for it.
    fn counted(&self, query: usize, item: &ResponseItem) -> ShardRequestIndex {
        let is_own = item.body == format!("vr{query}.{}", item.slice);
        let position = self.position_of(item.slice).filter(|_| is_own);
        ShardRequestIndex(position.map_or(usize::MAX, |position| self.first + position))
    }

    /// How a query ended, by its response; none: the connection broke off.
    fn end(&self, query: usize, response: Option<&HttpResponse>) -> QueryEnd {
        match response.map(|response| (response.status, &response.body)) {
            Some((STATUS_OK, body)) => match serde_json::from_str::<ResponseBody>(body) {
                Ok(ResponseBody { entire, items }) => {
                    let counted = items.iter().map(|item| self.counted(query, item)).collect();
                    QueryEnd::Responded { complete: entire, counted }
                }
                Err(_) => QueryEnd::Responded { complete: false, counted: Vec::new() },
            },
            Some((STATUS_SERVICE_UNAVAILABLE, _)) => QueryEnd::Rejected,
            // Any other status says nothing of whether it was executed.
            _ => QueryEnd::Failed,
        }
    }
}

/// A response's body; fields have the names of the wire.
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

/// A response, and the connection that it came on.
pub(super) struct ClientReply {
    response: HttpResponse,
    client: HttpClient,
}

/// What a client got for a query; no reply: the connection broke off.
struct FinishedQuery {
    query: usize,
    reply: Option<ClientReply>,
}

struct IdleConnection {
    since: Timestamp,
    client: HttpClient,
}

/// The clients' connections, and what they wait for.
pub(super) struct Clients {
    /// By broker.
    idle: Vec<Vec<IdleConnection>>,
    /// Queries whose responses have not come.
    pub(super) waiting: usize,
    finished_sender: mpsc::UnboundedSender<FinishedQuery>,
    finished: mpsc::UnboundedReceiver<FinishedQuery>,
    /// Received, and not handled yet, by query.
    pub(super) replies: BTreeMap<usize, Option<ClientReply>>,
}

impl Clients {
    pub(super) fn new(brokers: usize) -> Clients {
        let (finished_sender, finished) = mpsc::unbounded_channel();
        let idle = (0..brokers).map(|_| Vec::new()).collect();
        Clients { idle, waiting: 0, finished_sender, finished, replies: BTreeMap::new() }
    }

    /// Takes in what has been received.
    pub(super) fn receive_replies(&mut self) {
        while let Ok(FinishedQuery { query, reply }) = self.finished.try_recv() {
            self.waiting -= 1;
            self.replies.insert(query, reply);
        }
    }

    pub(super) fn take_replies(&mut self) -> BTreeMap<usize, Option<ClientReply>> {
        std::mem::take(&mut self.replies)
    }

    /// A connection to a broker that was used a short time ago. The newest one is tried: where even that has been
    /// idle for too long, all have.
    fn take_idle(&mut self, broker: usize, now: Timestamp) -> Option<HttpClient> {
        let newest = self.idle[broker].pop().filter(|idle| now - idle.since < MAX_CONNECTION_IDLE);
        if newest.is_none() {
            self.idle[broker].clear();
        }
        newest.map(|idle| idle.client)
    }

    fn put_idle(&mut self, broker: usize, now: Timestamp, client: HttpClient) {
        self.idle[broker].push(IdleConnection { since: now, client });
    }

    /// Sends a request on a connection, or on a new one where there is none.
    fn send(&mut self, query: usize, connection: Option<HttpClient>, broker: SocketAddr, request: String) {
        self.waiting += 1;
        let sender = self.finished_sender.clone();
        spawn_local(async move {
            let reply = exchange(connection, broker, &request).await;
            // Nobody receives it where the day was given up.
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
    /// Sends a query to the broker whose turn it is.
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
        let ShardRequestIndex(first) =
            self.invariants.query_sent(self.now, broker, class, time_left, &weights);
        let request = self.http_request(query, origin, &shard_requests);
        self.queries.push(Query { broker, origin, first, shard_requests });
        let connection = self.clients.take_idle(broker, self.now);
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

    /// A query's end reaches its client.
    pub(super) fn end_query(&mut self, index: usize, reply: Option<ClientReply>) {
        let query = &self.queries[index];
        let (broker, origin) = (query.broker, query.origin);
        let response = reply.as_ref().map(|reply| &reply.response);
        let end = query.end(index, response);
        let status = response.map_or(0, |response| response.status);
        self.hasher.update(format!("{} r{index} {status} {end:?}\n", self.now.0).as_bytes());
        if let Some(ClientReply { client, .. }) = reply {
            self.clients.put_idle(broker, self.now, client);
        }
        let Some(coverage) = self.invariants.query_ended(self.now, index, &end) else { return };
        match end {
            QueryEnd::Responded { .. } => self.results.record_response(self.now, origin, coverage),
            QueryEnd::Rejected => self.results.record_rejection(self.now, origin),
            QueryEnd::Failed => self.results.record_failure(self.now),
        }
    }
}
