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
//! Read `mode.rs` (the table of modes) and `rules.rs` (the table of decisions) first; `controller.rs` is the
//! loop that reads both.
//!
//! ```
//! use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker};
//! use routing::{Broker, Input, BrokerConfig, Tenths};
//!
//! let configuration = BrokerConfig::default();
//! let admission = AdmissionController::new(AdmissionConfig::default(), &configuration)
//!     .expect("the defaults are valid");
//! let mut admitted = AdmittedBroker::new(admission, Broker::start(configuration, 7, Tenths(0)));
//! assert!(admitted.turn(Tenths(50), &[Input::Woken]).is_empty());
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
mod fair_share;
mod load_statistics;
mod mode;
mod offered_query;
mod rules;
mod tenants;
mod token_bucket;

pub use admitted_broker::AdmittedBroker;
pub use config::{AdmissionConfig, InvalidValue};
pub use controller::{AdmissionController, FilteredTurn};
pub use mode::Mode;
pub use rules::{Decision, DecisionCounts};
