//! The engine: owns the routing decisions with their clock and timers, feeds them what happens, and carries
//! out what they decide.
//!
//! # The phases of a query
//!
//! 1. **Submit** (`submission`). A front end hands a [`QueryRequest`] to [`Engine::submit`]. Within the bounds of the
//!    `query_table` the query is opened and its [`Input`]s are queued; the front end holds an [`AcceptedQuery`] and
//!    waits for its [`QueryOutcome`].
//! 2. **Turn** (`event_loop`). [`Engine::run`] hands all queued inputs to the `decider`, at least the turn period
//!    after the turn before, and gets [`Effect`](routing::Effect)s back.
//! 3. **Dispatch** (`dispatch`). The effects are carried out in order. Attempts leave last, in a batch for each node,
//!    through [`NodePool::send`]; each is entered in the `attempt_table` with a write deadline and a timeout.
//! 4. **Results** (`results`). The node pool ends each attempt exactly once. The engine keeps the first response of a
//!    shard request and queues the result for the next turn.
//! 5. **Finish** (`dispatch`). `Respond`, `Reject` or `Fail` removes the query from the table and sends its outcome.
//!
//! # Concurrency
//!
//! Everything runs on one thread. The front end, discovery and the node connections only add inputs or results;
//! one task, [`Engine::run`], takes the turns. No borrow of a cell is held across an `await`, and a turn does not
//! await, so every task sees the state between two turns.
//!
//! | event | who notifies | who wakes |
//! | --- | --- | --- |
//! | an input was queued | `Engine::push_input` (`work_ready`) | `Engine::run` |
//! | an attempt or a probe ended | `NodePool` (`results_ready`) | `Engine::run` |
//! | a timer of an attempt or of the decisions is due | the clock | `Engine::run` |
//! | the decisions want the endpoint list | `dispatch` (`watch_requested`) | `discovery::watch_endpoints` |
//! | a query ended | `dispatch`, by the query's `oneshot` channel | the front end's task |
//!
//! # Cancellation
//!
//! - An [`AcceptedQuery`] that is dropped before its outcome (its client has left) closes the query: attempts of which
//!   nothing was written are not sent, and the decisions learn of it as [`Input::ClientLeft`] and cancel the others.
//! - Dropping a [`ReservedMemory`] releases its bytes.
//! - A query that ends leaves its attempts in flight in the `attempt_table`, until each has its one end; the
//!   results are still reported, as the decisions learn from them.
//! - [`Engine::run`] is not meant to be dropped while queries are open: nothing would end them.

mod attempt_table;
mod batches;
mod clock;
mod decider;
mod dispatch;
mod endpoints;
mod event_loop;
mod handles;
mod id_registry;
mod memory_budget;
mod open_query;
mod query;
mod query_table;
mod results;
mod submission;

#[cfg(test)]
mod tests;

pub use handles::{AcceptedQuery, ReservedMemory};
pub use query::{QueryOutcome, QueryRequest, RequestedShard, ShardResponse, SubmitError};

use crate::config_epoch::ConfigEpoch;
use crate::limits::Limits;
use crate::node_pool::NodePool;
use admission_control::AdmissionConfig;
use attempt_table::AttemptTable;
use bytes::Bytes;
use clock::BrokerClock;
use decider::Decider;
use id_registry::IdRegistry;
use query_table::QueryTable;
use routing::{BrokerConfig, Input, Timestamp};
use settings::BrokerSettings;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// The routing decisions of one broker, what they are taken from and what they are carried out on.
pub struct Engine {
    limits: Rc<Limits>,
    clock: BrokerClock,
    /// Where attempts and probes are sent.
    nodes: Rc<NodePool>,
    /// Takes the decisions.
    decider: RefCell<Decider>,
    /// What has happened since the last turn.
    inputs: RefCell<Vec<Input>>,
    /// The open queries.
    queries: RefCell<QueryTable>,
    /// The attempts in flight.
    attempts: RefCell<AttemptTable>,
    /// The ids of nodes and zones.
    ids: RefCell<IdRegistry>,
    /// The configuration under which queries are accepted now.
    epoch: RefCell<Rc<ConfigEpoch>>,
    /// When the decisions want their next turn.
    wake_at: Cell<Option<Timestamp>>,
    /// Notified when there is an input.
    work_ready: Notify,
    /// Notified when the routing decisions want the endpoint list watched.
    pub watch_requested: Notify,
}

impl Engine {
    /// An engine that knows no node and has no query. Its decisions are taken by [`Engine::run`], which has to be
    /// spawned.
    ///
    /// `seed` seeds the decisions' random numbers. `started_at`: the Unix time of this moment, where a simulation
    /// sets it; else the system's. `admission`: the configuration of admission control, where it is switched on.
    pub fn new(
        broker_settings: BrokerSettings,
        seed: u64,
        limits: Rc<Limits>,
        started_at: Option<Timestamp>,
        admission: Option<AdmissionConfig>,
    ) -> Rc<Engine> {
        let epoch = Rc::new(ConfigEpoch::new(&broker_settings));
        let BrokerSettings { broker_config, zones, .. } = broker_settings;
        let clock = BrokerClock::start(started_at);
        let decider = Decider::new(broker_config, seed, clock.start_time(), admission);
        Rc::new(Engine {
            clock,
            nodes: NodePool::new(limits.clone()),
            decider: RefCell::new(decider),
            inputs: RefCell::new(vec![Input::Woken]),
            queries: RefCell::new(QueryTable::new(limits.max_held_bytes)),
            attempts: RefCell::default(),
            ids: RefCell::new(IdRegistry::new(zones)),
            epoch: RefCell::new(epoch),
            wake_at: Cell::default(),
            work_ready: Notify::new(),
            watch_requested: Notify::new(),
            limits,
        })
    }

    /// Queues an input for the next turn, and wakes the event loop.
    fn push_input(&self, input: Input) {
        self.inputs.borrow_mut().push(input);
        self.work_ready.notify_one();
    }

    /// Whether discovery has named a ready node since the start.
    pub fn can_serve(&self) -> bool {
        self.ids.borrow().has_seen_ready_node()
    }

    /// The number of nodes that discovery lists as ready.
    pub fn ready_nodes(&self) -> usize {
        self.ids.borrow().ready_node_count()
    }

    /// The number of queries without an outcome.
    pub fn open_queries(&self) -> usize {
        self.queries.borrow().len()
    }

    /// The attempts in flight, in order: the node's address, and the shard request's id on the wire. A
    /// simulation compares them with what its nodes have, to see whether anything is under way.
    pub fn attempts_in_flight(&self) -> Vec<(SocketAddr, Bytes)> {
        self.nodes.in_flight()
    }

    /// The number of attempts in flight.
    pub fn in_flight_count(&self) -> usize {
        self.nodes.count_in_flight()
    }

    /// The configuration under which queries are accepted now.
    pub fn epoch(&self) -> Rc<ConfigEpoch> {
        self.epoch.borrow().clone()
    }

    /// Accepts queries under another configuration from now on. Both sides change in one step: a query that a
    /// front end has read under the former epoch precedes the change among the inputs, any later one follows
    /// it.
    pub fn apply_config(&self, epoch: ConfigEpoch, broker_config: BrokerConfig) {
        self.epoch.replace(Rc::new(epoch));
        self.push_input(Input::Config(Box::new(broker_config)));
    }
}
