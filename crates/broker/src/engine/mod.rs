//! The engine connects the routing logic to sockets and timers.
//!
//! The routing logic is a state machine without I/O. The engine passes events to it as [`Input`]s and executes the
//! [`Effect`](routing::Effect)s that it returns.
//!
//! # Lifecycle of a query
//!
//! 1. **Submit** (`submission`). A front end passes a [`QueryRequest`] to [`Engine::submit`]. If the query fits
//!    within the limits of the `query_table`, the engine opens it and queues its inputs. The front end receives an
//!    [`AcceptedQuery`] and awaits the [`QueryOutcome`].
//! 2. **Turn** (`event_loop`). [`Engine::run`] passes all queued inputs to the `routing_logic` and receives effects.
//!    Two turns are at least the turn period apart.
//! 3. **Dispatch** (`dispatch`). The engine executes the effects in order. It sends the attempts last, batched by
//!    node, through [`NodePool::send`], and enters each in the `attempt_table` with a write deadline and a timeout.
//! 4. **Results** (`results`). The node pool reports the end of each attempt exactly once. The engine stores the
//!    first response to a shard request and queues the result for the next turn.
//! 5. **Finish** (`dispatch`). `Respond`, `Reject` or `Fail` removes the query from the table and sends its outcome.
//!
//! # Concurrency
//!
//! Everything runs on one thread. The front end, discovery and the node connections only add inputs or results;
//! turns run in a single task, [`Engine::run`]. No cell is borrowed across an `await`, and a turn does not await, so
//! other tasks never observe the state in the middle of a turn.
//!
//! | Event | Notified by | Task woken |
//! | --- | --- | --- |
//! | An input was queued | `Engine::push_input` (`work_ready`) | `Engine::run` |
//! | An attempt or a probe ended | `NodePool` (`results_ready`) | `Engine::run` |
//! | A timer of an attempt or of the routing logic is due | the clock | `Engine::run` |
//! | The routing logic requests the endpoint list | `dispatch` (`watch_requested`) | `discovery::watch_endpoints` |
//! | A query ended | `dispatch`, through the query's `oneshot` channel | the front end's task |
//!
//! # Cancellation
//!
//! - Dropping an [`AcceptedQuery`] before its outcome means that the client has disconnected, and closes the query.
//!   Attempts of which no byte was written are not sent. The routing logic receives [`Input::ClientLeft`] and cancels
//!   the others.
//! - When a query ends, its attempts in flight remain in the `attempt_table` until each has ended. Their results are
//!   still passed to the routing logic, which uses them to update its estimates.
//! - [`Engine::run`] must not be dropped while queries are open, because no other task would end them.

mod attempt_table;
mod batches;
mod clock;
mod dispatch;
mod endpoints;
mod event_loop;
mod handles;
mod id_registry;
mod open_query;
mod query;
mod query_table;
mod results;
mod retained_ids;
mod routing_logic;
mod submission;

#[cfg(test)]
mod tests;

pub use handles::AcceptedQuery;
pub use query::{QueryOutcome, QueryRequest, RequestedShard, ShardResponse, SubmitError};

use crate::config_epoch::ConfigEpoch;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::node_pool::NodePool;
use admission_control::AdmissionConfig;
use attempt_table::AttemptTable;
use bytes::Bytes;
use clock::BrokerClock;
use id_registry::IdRegistry;
use query_table::QueryTable;
use routing::{BrokerConfig, Input, Timestamp};
use routing_logic::RoutingLogic;
use settings::BrokerSettings;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// The routing logic of one broker, together with the state and connections that it operates on.
pub struct Engine {
    limits: Rc<Limits>,
    clock: BrokerClock,
    /// The connections through which attempts and probes are sent.
    nodes: Rc<NodePool>,
    routing_logic: RefCell<RoutingLogic>,
    /// Inputs queued since the last turn of the event loop.
    inputs: RefCell<Vec<Input>>,
    /// The memory that queries, clients and nodes share.
    memory: Rc<MemoryBudget>,
    queries: RefCell<QueryTable>,
    attempts: RefCell<AttemptTable>,
    /// The ids of nodes and zones.
    ids: RefCell<IdRegistry>,
    /// The configuration under which new queries are accepted.
    epoch: RefCell<Rc<ConfigEpoch>>,
    /// The wake-up time that the routing logic has requested.
    wake_at: Cell<Option<Timestamp>>,
    /// Notified when an input is queued.
    work_ready: Notify,
    /// Notified when the routing logic requests a watch on the endpoint list. Discovery waits for it.
    pub watch_requested: Notify,
}

impl Engine {
    /// Creates an engine without nodes and queries. The caller must spawn [`Engine::run`], which executes the turns.
    ///
    /// `seed` initializes the random number generator of the routing logic. `started_at` is the Unix time at which
    /// the engine's clock starts, set by simulations; with `None` the clock starts at the system time. `admission` is
    /// the configuration of admission control; with `None` admission control is disabled.
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
        let routing_logic = RoutingLogic::new(broker_config, seed, clock.start_time(), admission);
        let memory = MemoryBudget::new(limits.max_held_bytes);
        Rc::new(Engine {
            clock,
            nodes: NodePool::new(limits.clone(), memory.clone()),
            routing_logic: RefCell::new(routing_logic),
            inputs: RefCell::new(vec![Input::Woken]),
            queries: RefCell::new(QueryTable::new(memory.clone(), &limits.requests)),
            attempts: RefCell::default(),
            ids: RefCell::new(IdRegistry::new(zones)),
            epoch: RefCell::new(epoch),
            wake_at: Cell::default(),
            work_ready: Notify::new(),
            watch_requested: Notify::new(),
            memory,
            limits,
        })
    }

    /// Queues an input for the next turn of the event loop and wakes the loop.
    fn push_input(&self, input: Input) {
        self.inputs.borrow_mut().push(input);
        self.work_ready.notify_one();
    }

    /// Returns whether discovery has listed a ready node since the start.
    pub fn can_serve(&self) -> bool {
        self.ids.borrow().has_seen_ready_node()
    }

    /// Returns the number of nodes that discovery lists as ready.
    pub fn ready_nodes(&self) -> usize {
        self.ids.borrow().ready_node_count()
    }

    /// Returns the number of accepted queries that have no outcome yet.
    pub fn open_queries(&self) -> usize {
        self.queries.borrow().len()
    }

    /// Returns the node address and the wire id of the shard request for each attempt in flight, in sorted order.
    /// Simulations compare them with the attempts that their nodes are executing, to detect when no work is left.
    pub fn attempts_in_flight(&self) -> Vec<(SocketAddr, Bytes)> {
        self.nodes.in_flight()
    }

    /// Returns the memory that queries, clients and nodes share.
    pub fn memory(&self) -> &Rc<MemoryBudget> {
        &self.memory
    }

    /// Returns the number of connections to nodes.
    pub fn node_connection_count(&self) -> usize {
        self.nodes.count_connections()
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight_count(&self) -> usize {
        self.nodes.count_in_flight()
    }

    /// Returns the configuration under which new queries are accepted.
    pub fn epoch(&self) -> Rc<ConfigEpoch> {
        self.epoch.borrow().clone()
    }

    /// Replaces the configuration for queries accepted from now on.
    ///
    /// Front ends and the routing logic change over at the same point in the input queue: queries read under the
    /// previous epoch are queued before [`Input::Config`], later ones after it.
    pub fn apply_config(&self, epoch: ConfigEpoch, broker_config: BrokerConfig) {
        self.epoch.replace(Rc::new(epoch));
        self.push_input(Input::Config(Box::new(broker_config)));
    }
}
