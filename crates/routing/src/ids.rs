//! Identifiers. Each kind has its own type. The values are opaque, so no decision depends on their meaning.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// Opaque value of the identifier.
            pub $inner,
        );
    )*};
}

ids! {
    /// Identifier of a query, chosen by the front end.
    QueryId(u64);
    /// Identifier of a shard request, chosen by the front end.
    ShardRequestId(u64);
    /// Key that associates new shard requests with their query. It is unrelated to placement groups.
    GroupId(u32);
    /// Number of an attempt within its shard request: 0 for the first one, then in the order of sending.
    AttemptNumber(u16);
    /// Identifier of a batch, which carries one or more attempts to one node.
    BatchId(u64);
    /// Identifier of a node, derived from its address and port.
    NodeId(u64);
    /// Identifier of a shard of the data.
    ShardId(u32);
    /// Identifier of a placement group, whose nodes hold the same shards.
    PlacementGroupId(u32);
    /// Identifier of a request class.
    ClassId(u16);
    /// Identifier of a tenant.
    TenantId(u32);
    /// Identifier of a zone.
    ZoneId(u16);
}
