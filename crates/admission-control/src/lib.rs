//! The admission controller before one broker's module: who gets in when there is not room for all.
//!
//! A front makes a [`AdmissionController`] from an [`AdmissionConfig`] and the broker's [`BrokerConfig`], and puts it with the
//! module in a [`AdmittedBroker`]; it then calls [`AdmittedBroker::turn`] where it called [`Broker::turn`]. The admission controller sees every
//! input before the module does and every effect after. It holds nothing back: each query is passed on
//! or rejected in the same turn, with the time to come back where the configuration allows one. No I/O, no
//! clock: time comes in with each turn.
//!
//! The admission controller is open until the design's pressure (shard requests refused as full or timed out), or the module's own
//! rejects, pass the configuration's level; then it is crowded, and lets in a rate of shard requests that it lowers while
//! that lasts and raises while it does not, shared between tenants by max-min fairness, each with a bucket.
//! Retries while crowded have a budget by tenant. `docs/admission.md` tells why; the tables stand in
//! `admission.rs`.
//!
//! ```
//! use admission_control::{AdmissionConfig, AdmissionController, AdmittedBroker};
//! use routing::{Broker, Input, BrokerConfig, Tenths};
//!
//! let configuration = BrokerConfig::default();
//! let admission = AdmissionController::new(AdmissionConfig::default(), &configuration).expect("the defaults are sound");
//! let mut admitted = AdmittedBroker::new(admission, Broker::start(configuration, 7, Tenths(0)));
//! assert!(admitted.turn(Tenths(50), &[Input::Woken]).is_empty());
//! ```
//!
//! [`Broker::turn`]: routing::Broker::turn
//! [`BrokerConfig`]: routing::BrokerConfig

mod admitted_broker;
mod config;
mod controller;
mod state;

pub use admitted_broker::AdmittedBroker;
pub use config::{AdmissionConfig, InvalidValue};
pub use controller::{AdmissionController, Decision, Mode};
