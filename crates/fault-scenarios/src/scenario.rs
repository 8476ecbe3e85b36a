//! A scenario as it was read: the day, the clients, and the faults.

use crate::fault::Fault;

/// What a node does with work that is cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CancelBehavior {
    /// It drops the work, also when it runs already.
    #[default]
    DropAll,
    /// It drops the work while it waits; what runs goes on.
    DropQueued,
    /// It does all of the work.
    DropNone,
}

/// What clients do with the responses they get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientBehavior {
    /// How often a client sends a query again that was rejected or failed.
    pub retries: u32,
    /// Milliseconds before the first retry; doubled for each further one, with up to as much again at random.
    pub backoff_ms: f64,
    /// The share of the clients that wait for as long as a rejection asks them to.
    pub retry_after_share: f64,
    /// The share of the clients that give up at half of their query's deadline.
    pub impatient_share: f64,
    /// How many tenants send queries, each as many as the others.
    pub tenants: u32,
}

/// A scripted day: its load, its clients, and what goes wrong in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name in the library, or its path.
    pub name: String,
    /// What it is about, in one sentence.
    pub description: String,
    /// How long the day is, in seconds.
    pub duration_s: f64,
    /// Work that clients ask for, as a share of what all nodes can do.
    pub load: f64,
    /// One-way network latency within a zone, in milliseconds.
    pub intra_zone_latency_ms: f64,
    /// One-way network latency between zones, in milliseconds.
    pub inter_zone_latency_ms: f64,
    /// After how many jobs a started node is warm; 0: it warms up with time.
    pub warm_up_jobs: u32,
    /// What nodes do with work that is cancelled.
    pub cancel: CancelBehavior,
    /// What clients do with the responses they get.
    pub clients: ClientBehavior,
    /// What goes wrong, in the order of the text.
    pub faults: Vec<Fault>,
}
