//! Admission control in front of one broker: which queries are admitted when there is no capacity for all.
//!
//! A program makes an [`AdmissionController`] from an [`AdmissionConfig`] and the broker's [`BrokerConfig`],
//! and puts it with the [`Broker`] in an [`AdmittedBroker`]; it then calls [`AdmittedBroker::turn`] where it
//! called [`Broker::turn`]. The controller sees every input before the broker does and every effect after. It
//! delays nothing: each query is admitted or rejected in the same turn, with a time to retry after where the
//! configuration allows one. No I/O, no clock: time comes in with each turn.
//!
//! The controller is in [`Mode::Normal`] until the share of shard requests lost to overloaded nodes, or the
//! broker's own rejections, exceed the configured level. In [`Mode::Overloaded`] it admits a limited rate of
//! shard requests, which it lowers while that lasts and raises while it does not. The rate is shared between
//! tenants by max-min fairness, each with a token bucket, and retries have a budget by tenant.
//! `docs/admission.md` gives the reasons.
//!
//! Each rule is in a file of its name, as a function or a plain type whose arguments are all that it
//! reads: `overload_detection`, `mode` (the table of modes), `adaptive_rate`, `fair_share`, `retry_budget`,
//! `quota`, `retry_after`. The state that they read is counted in `load_statistics`, `tenants` and
//! `token_bucket`. `controller` gathers their inputs and calls them; it is the place to start reading.
//!
//! ```
//! use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker};
//! use routing::{Broker, BrokerConfig, Input, Timestamp};
//!
//! let configuration = BrokerConfig::default();
//! let admission = AdmissionController::new(AdmissionConfig::default(), &configuration)
//!     .expect("the defaults are valid");
//! let mut admitted = AdmittedBroker::new(admission, Broker::start(configuration, 7, Timestamp(0)));
//! assert!(admitted.turn(Timestamp(50), &[Input::Woken]).is_empty());
//! ```
//!
//! [`Broker`]: routing::Broker
//! [`Broker::turn`]: routing::Broker::turn
//! [`BrokerConfig`]: routing::BrokerConfig

#![warn(missing_docs)]

mod adaptive_rate;
mod admitted_broker;
mod config;
mod controller;
mod decision;
mod fair_share;
mod filtered_turn;
mod load_statistics;
mod mode;
mod mode_change;
mod offered_query;
mod overload_detection;
mod quota;
mod retry_after;
mod retry_budget;
mod tenants;
mod token_bucket;
mod window;

pub use admitted_broker::AdmittedBroker;
pub use config::{AdmissionConfig, InvalidValue};
pub use controller::AdmissionController;
pub use decision::{Decision, DecisionCounts};
pub use filtered_turn::FilteredTurn;
pub use mode::Mode;
