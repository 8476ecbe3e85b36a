//! What the admission controller remembers, by how long it lives: a query for the turn in which it is asked, a tenant
//! while it asks, the admission controller for as long as the broker runs.

use routing::{ClassId, GroupId, QueryId, TenantId, Tenths, SlidingWindow};
use std::collections::BTreeMap;

/// A query that is asked in this turn.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub id: QueryId,
    pub group: GroupId,
    pub tenant: TenantId,
    pub class: ClassId,
    pub client_attempt: u32,
    /// Its shard requests, as they come in the same turn.
    pub shard_requests: u32,
}

/// A tenant, while it asks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenant {
    /// Parts asked (as `all`); of these, in queries that were rejected (as `harmed`).
    pub asked: SlidingWindow,
    /// Retries let in (as `harmed`), first tries let in (as `all`).
    pub tries: SlidingWindow,
    /// Parts a second, while the admission controller is crowded; and whether that is less than it asks for.
    pub share: f64,
    pub held: bool,
    /// Parts in its bucket, and when they were counted.
    pub tokens: f64,
    pub counted_at: Tenths,
}

/// The admission controller's own.
#[derive(Debug, Default)]
pub struct ControllerState {
    pub now: Tenths,
    /// Parts let in a second, while crowded.
    pub rate: f64,
    pub stepped_at: Tenths,
    /// When the rate was last lowered, and from what.
    pub cut_at: Tenths,
    pub peak: f64,
    /// Parts refused as full or timed out (as `harmed`), of all that ended.
    pub harm: SlidingWindow,
    /// Queries that the module rejected (as `harmed`), of all let in.
    pub turned: SlidingWindow,
    /// Parts let in (as `all`).
    pub let_in: SlidingWindow,
    /// Attempts that the module sent, and that ended finished (as `all`).
    pub sent: SlidingWindow,
    pub delivered: SlidingWindow,
    pub tenants: BTreeMap<TenantId, Tenant>,
}
