//! What the brokers of a fleet share. So far: shares of one bounded budget, lent by leases ([`LeasedBudget`]). It has no
//! clock, no sockets and no chance: whoever holds it tells the time of its own process, and carries the messages.
//!
//! Each of `brokers` owns an even share of `whole` units a window, and may lend a shard request of it that it has not spent
//! lately. Whoever hears nothing has its own share, less what it lent until those leases are over. What all
//! spend in any window is never more than the whole: not with messages lost, late, doubled, out of order, not with
//! processes killed, stopped and continued, or started anew.
//!
//! | stage of a lease | event | next | act |
//! | --- | --- | --- | --- |
//! | - | asked for it | lent | set aside, then grant |
//! | lent | asked once more | lent | the same grant again, to the same end |
//! | lent | given back | resting | free again a window later |
//! | lent, resting | its end | - | free again |
//! | - | needed | asked | ask |
//! | asked | granted in time | held | may be spent |
//! | asked, held | its end | - | - |
//! | held | not needed | - | struck, then given back |
//!
//! ```
//! use routing::Tenths;
//! use quota_lease::{Incarnation, BrokerId, InstanceId, LeasedBudget, LeaseConfig};
//!
//! let config = LeaseConfig { whole: 12, brokers: 3, window: Tenths(100), lease: Tenths(1000), ..LeaseConfig::default() };
//! let mut one = LeasedBudget::start(config.clone(), InstanceId(BrokerId(0), Incarnation(7)), Tenths(0));
//! let mut other = LeasedBudget::start(config, InstanceId(BrokerId(1), Incarnation(8)), Tenths(0));
//! let later = Tenths(5000); // both have run for longer than a lease
//! assert_eq!(one.left(later), 4);
//! let ask = one.ask(later, BrokerId(1), 2).unwrap();
//! let grant = other.hear(later, &ask).unwrap();
//! assert_eq!(one.hear(later, &grant), None);
//! assert_eq!((one.left(later), other.left(later)), (6, 2));
//! ```

mod leased_budget;

pub use leased_budget::LeasedBudget;

use routing::Tenths;

/// A broker's number in its fleet; the same after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BrokerId(pub u16);

/// Drawn at start: a process under an old name is told from the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub BrokerId, pub Incarnation);

/// Counted up by the borrower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseNo(pub u64);

/// What is said of a lease; its units are part of the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseMessage {
    Ask(u32),
    Grant(u32),
    GiveBack,
}

/// One message. An ask goes to whoever has the name; a grant, and what is given back, to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Message {
    pub from: InstanceId,
    pub to: BrokerId,
    /// None: whoever has the name.
    pub process: Option<Incarnation>,
    pub lease: LeaseNo,
    pub word: LeaseMessage,
}

/// The budget, and how it is lent. Times are of each process's own clock.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseConfig {
    /// Units that all brokers together may spend in any window.
    pub whole: u32,
    pub brokers: u32,
    pub window: Tenths,
    /// How long a lease may be spent, from when it was asked for.
    pub lease: Tenths,
    /// Clocks differ by one shard request in so many at the most; 100 and more.
    pub drift: u32,
    /// Leases lent, and leases asked for or held, at the most; one more is not entered.
    pub most_leases: usize,
}

impl Default for LeaseConfig {
    fn default() -> LeaseConfig {
        LeaseConfig {
            whole: 0,
            brokers: 1,
            window: Tenths(10_000),
            lease: Tenths(100_000),
            drift: 100,
            most_leases: 64,
        }
    }
}
