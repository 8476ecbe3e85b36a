//! The messages by which brokers lend each other units of a budget, and the ids in them.

/// A broker's number in its fleet; the same after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BrokerId(pub u16);

/// A number drawn at start, which tells a process from the one before it under the same broker id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// One process of a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    /// The broker that the process runs as.
    pub broker: BrokerId,
    /// Which of the broker's processes.
    pub incarnation: Incarnation,
}

/// A lease's number, counted up by its borrower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseNumber(pub u64);

/// What a message says of a lease. Units are part of the budget's total.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseMessage {
    /// The borrower asks for so many units.
    Request(u32),
    /// The lender lends so many units, no more than were requested.
    Grant(u32),
    /// The borrower gives the lease back before its end.
    Release,
}

/// One message between brokers. A request goes to whichever process runs as the lender; a grant and a release
/// go to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Message {
    /// The process that sent it.
    pub from: InstanceId,
    /// The broker it is for.
    pub to: BrokerId,
    /// The process it is for; none: whichever runs as that broker.
    pub to_incarnation: Option<Incarnation>,
    /// The lease, by its borrower's number.
    pub lease: LeaseNumber,
    /// What is said of the lease.
    pub content: LeaseMessage,
}
