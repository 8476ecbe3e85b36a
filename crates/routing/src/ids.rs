//! The ids a broker handles. Each kind is a type of its own; nothing can be read from a value.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One query, as its tenant asked for it.
    QueryId(u64);
    /// One part of a query.
    ShardRequestId(u64);
    /// What ties the shard requests to their query when they are handed over.
    GroupId(u32);
    /// An attempt of a shard request: 0 for the first, counted up in sending order.
    AttemptNumber(u16);
    /// A call that carries one or more attempts to one node.
    BatchId(u64);
    /// A node: its address and port.
    NodeId(u64);
    /// A shard of the data.
    ShardId(u32);
    /// A cell of nodes; cells decide who holds which shard.
    PlacementGroupId(u32);
    /// A place in the list of classes.
    ClassId(u16);
    /// A place in the list of tenants that share the service.
    TenantId(u32);
    /// A place in the list of zones.
    ZoneId(u16);
}
