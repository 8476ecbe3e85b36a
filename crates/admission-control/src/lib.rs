//! Admission control in front of one broker. It determines which queries are admitted when the capacity is not
//! sufficient for all.
//!
//! A program creates an [`AdmissionController`] from an [`AdmissionConfig`] and the broker's [`BrokerConfig`],
//! combines it with the [`Broker`] in an [`AdmittedBroker`], and calls [`AdmittedBroker::turn`] in place of
//! [`Broker::turn`]. The controller processes every input before the broker does, and every effect after the
//! broker. It does not delay queries: each is admitted or rejected in the same turn, and a rejection has a time
//! to retry after if the configuration allows one. The crate performs no I/O and has no clock: the caller passes
//! the time with each turn.
//!
//! The controller is in [`Mode::Normal`] until the fraction of shard requests lost to overloaded nodes, or of
//! queries rejected by the broker, exceeds the configured threshold. In [`Mode::Overloaded`] it admits a limited
//! rate of shard requests, which it decreases while the threshold is exceeded and increases otherwise. The rate
//! is divided among tenants by max-min fairness, with a token bucket and a retry budget for each tenant. The
//! design is explained in `docs/admission.md`.
//!
//! Each rule has a module of its own and is a function or a plain type that reads only its arguments:
//! `overload_detection`, `mode` (the transition table), `adaptive_rate`, `fair_share`, `retry_budget`, `quota`
//! and `retry_after`. The state that they read is maintained in `load_statistics`, `tenants` and `token_bucket`.
//! The module `controller` collects the inputs of the rules and calls them, and is the place to start reading.
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
