//! A bounded budget that the brokers of a fleet share by leases ([`LeasedBudget`]). The crate has no clock, no
//! sockets and no randomness: the caller passes the time of its own process and transmits the messages.
//!
//! Each of `brokers` brokers owns an even share of `total_units` per window and may lend a part of the share
//! that it has not spent within the window. A broker that receives no messages keeps its own share, less the
//! units that it has lent until those leases expire. All brokers together never spend more than the total in any
//! window, even if messages are lost, delayed, duplicated or reordered, and if processes are killed, suspended
//! and resumed, or restarted.
//!
//! | state of a lease | event | next state | action |
//! | --- | --- | --- | --- |
//! | - | lender: request received | granted | reserve the units, then send the grant |
//! | granted | request received again | granted | resend the same grant, with the same expiry |
//! | granted | release received | cooling down | the units become available a window later |
//! | granted, cooling down | expiry | - | the units become available |
//! | - | borrower: units needed | requested | send the request |
//! | requested | grant received in time | held | the units may be spent |
//! | requested, held | expiry | - | - |
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
//! let later = Timestamp(5000); // both processes have run for longer than a lease
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
