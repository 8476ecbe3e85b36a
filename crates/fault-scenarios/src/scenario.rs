//! Scenarios as parsed from INI files: run parameters, client behavior and faults.

use crate::fault::Fault;

/// The work that a node drops when a request is cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CancelBehavior {
    /// The node drops the work, even if it is already running.
    #[default]
    DropAll,
    /// The node drops work that is still queued and finishes work that is already running.
    DropQueued,
    /// The node finishes all work.
    DropNone,
}

/// Retry and timeout behavior of the simulated clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientBehavior {
    /// The maximum number of times that a client retries a query that was rejected or failed.
    pub retries: u32,
    /// The backoff before the first retry, in milliseconds. It doubles with each further retry, and a random
    /// jitter of up to the same length is added.
    pub backoff_ms: f64,
    /// The share of the clients that honor the `Retry-After` of a rejection.
    pub retry_after_share: f64,
    /// The share of the clients that give up at half of their query's deadline.
    pub impatient_share: f64,
    /// The number of tenants. All of them send queries at the same rate.
    pub tenants: u32,
}

/// A scripted run: its load, its clients and its faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The name of a built-in scenario, or the path of the scenario's file.
    pub name: String,
    /// A description of the scenario in one sentence, or an empty string if the file has none.
    pub description: String,
    /// The length of the run, in seconds.
    pub duration_s: f64,
    /// The offered load, as a share of the capacity of all nodes.
    pub load: f64,
    /// The one-way network latency within a zone, in milliseconds.
    pub intra_zone_latency_ms: f64,
    /// The one-way network latency between zones, in milliseconds.
    pub inter_zone_latency_ms: f64,
    /// The number of jobs after which a restarted node is warm, or 0 if nodes warm up with time.
    pub warm_up_jobs: u32,
    /// The work that nodes drop when a request is cancelled.
    pub cancel: CancelBehavior,
    /// The retry and timeout behavior of the clients.
    pub clients: ClientBehavior,
    /// The faults, in the order of the file.
    pub faults: Vec<Fault>,
}
