//! The messages by which brokers lend each other units of a budget, and the identifiers in them.

/// The number of a broker in its fleet, which it keeps after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BrokerId(pub u16);

/// A number drawn when a process starts, which distinguishes the process from earlier ones with the same
/// [`BrokerId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// The identity of one process of a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    /// The broker as which the process runs.
    pub broker: BrokerId,
    /// Distinguishes the process from earlier processes of the broker.
    pub incarnation: Incarnation,
}

/// The number of a lease, assigned by its borrower in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseNumber(pub u64);

/// The content of a message about a lease. Units belong to the budget's total.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseMessage {
    /// Requests the given number of units. Sent by the borrower.
    Request(u32),
    /// Grants the given number of units, at most as many as were requested. Sent by the lender.
    Grant(u32),
    /// Returns the lease before it expires. Sent by the borrower.
    Release,
}

/// A message between brokers. A request is addressed to any process of the lender; a grant and a release are
/// addressed to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Message {
    /// The process that sent the message.
    pub from: InstanceId,
    /// The broker to which the message is addressed.
    pub to: BrokerId,
    /// The process to which the message is addressed, or `None` for any process of that broker.
    pub to_incarnation: Option<Incarnation>,
    /// The lease that the message is about, by the number that its borrower assigned.
    pub lease: LeaseNumber,
    /// The request, grant or release.
    pub content: LeaseMessage,
}
