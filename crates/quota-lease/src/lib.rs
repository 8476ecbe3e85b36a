//! What the brokers of a fleet share: shares of one bounded budget, lent by leases ([`LeasedBudget`]). There
//! is no clock, no socket and no randomness in it: the caller passes the time of its own process, and carries
//! the messages.
//!
//! Each of `brokers` owns an even share of `total_units` a window, and may lend a part of it that it has not
//! spent lately. A broker that receives nothing has its own share, less what it lent until those leases are
//! over. What all spend in any window is never more than the total: not with messages lost, late, duplicated
//! or out of order, nor with processes killed, stopped and continued, or restarted.
//!
//! | state of a lease | event | next state | action |
//! | --- | --- | --- | --- |
//! | - | lender: request received | granted | set the units aside, then send the grant |
//! | granted | request received again | granted | send the same grant again, to the same end |
//! | granted | release received | cooling down | the units are free again a window later |
//! | granted, cooling down | its end | - | the units are free again |
//! | - | borrower: units needed | requested | send the request |
//! | requested | grant received in time | held | the units may be spent |
//! | requested, held | its end | - | - |
//! | held | not needed | - | remove the lease, then send the release |
//!
//! ```
//! use quota_lease::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeasedBudget};
//! use routing::{TimeSpan, Timestamp};
//!
//! let config = LeaseConfig {
//!     total_units: 12,
//!     brokers: 3,
//!     window: TimeSpan(100),
//!     lease_duration: TimeSpan(1000),
//!     ..LeaseConfig::default()
//! };
//! let instance = |broker, incarnation| InstanceId {
//!     broker: BrokerId(broker),
//!     incarnation: Incarnation(incarnation),
//! };
//! let mut borrower = LeasedBudget::start(config.clone(), instance(0, 7), Timestamp(0));
//! let mut lender = LeasedBudget::start(config, instance(1, 8), Timestamp(0));
//! let later = Timestamp(5000); // both have run for longer than a lease
//! assert_eq!(borrower.available_units(later), 4);
//! let request = borrower.request_lease(later, BrokerId(1), 2).unwrap();
//! let grant = lender.handle_message(later, &request).unwrap();
//! assert_eq!(borrower.handle_message(later, &grant), None);
//! assert_eq!((borrower.available_units(later), lender.available_units(later)), (6, 2));
//! ```

#![warn(missing_docs)]

mod lease_config;
mod lease_state;
mod leased_budget;
mod message;

pub use lease_config::LeaseConfig;
pub use leased_budget::LeasedBudget;
pub use message::{BrokerId, Incarnation, InstanceId, LeaseMessage, LeaseNumber, Message};
