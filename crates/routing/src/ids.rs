//! Ids. Each kind is a type of its own; no decision reads anything from a value.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// The id's value.
            pub $inner,
        );
    )*};
}

ids! {
    /// A query.
    QueryId(u64);
    /// A shard request.
    ShardRequestId(u64);
    /// What ties shard requests to their query when they are handed over.
    GroupId(u32);
    /// An attempt of a shard request: 0 for the first, counted up in the order of sending.
    AttemptNumber(u16);
    /// A batch that carries one or more attempts to one node.
    BatchId(u64);
    /// A node: its address and port.
    NodeId(u64);
    /// A shard of the data.
    ShardId(u32);
    /// A group of nodes that hold the same shards.
    PlacementGroupId(u32);
    /// A request class.
    ClassId(u16);
    /// A tenant.
    TenantId(u32);
    /// A zone.
    ZoneId(u16);
}
