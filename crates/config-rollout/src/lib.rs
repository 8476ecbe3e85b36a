//! Selects which configuration version a broker runs. This crate only makes decisions: it performs no I/O, reads no
//! clock, and draws random numbers from a seed.
//!
//! The program creates one [`RolloutController`] and passes it each [`Input`] with the current time. It carries out
//! the returned [`Effect`]s in order before it passes the next input. [`RolloutController::report`] returns the state
//! that results from these effects.
//!
//! The controller consists of three state machines. Each is a transition table of state, event, next state and
//! action:
//! - [`subscription`]: the connection to a configuration service, with the states `Idle`, `BackingOff`, `Connecting`
//!   and `Open`;
//! - [`version_history`]: the running version, `Settled` or `OnProbation`; each offer is first compared with the
//!   known versions ([`offer_comparison`]);
//! - [`probation`]: the detection of a version that makes queries fail, with the conditions `Stable` and
//!   `NodesFailing`.
//!
//! ```
//! use routing::Timestamp;
//! use config_rollout::{Digest, Effect, Input, RolloutController, PersistedState, RolloutPolicy,
//! VersionId};
//!
//! let own = VersionId { number: 0, digest: Digest::of(b"the broker's own file") };
//! let state = PersistedState::of(own);
//! let mut controller = RolloutController::new(RolloutPolicy::default(), 1, state, 7, Timestamp(0));
//! let effects = controller.handle(Timestamp(0), Input::Start);
//! assert!(matches!(effects[..], [Effect::Connect { .. }, ..]));
//! ```

#![warn(missing_docs)]

mod controller;
mod effects;
mod inputs;
mod known_versions;
pub mod offer_comparison;
mod outcome_window;
mod persisted_state;
mod policy;
pub mod probation;
mod rejection;
mod rollout_state;
mod sample;
pub mod subscription;
mod verdict;
mod version;
pub mod version_history;
mod wilson;

pub use controller::{Report, RolloutController};
pub use effects::{Effect, LogEvent};
pub use inputs::{Input, Nonce, Offer, ServiceIndex, StreamId};
pub use persisted_state::{PersistedState, ProbationAttempt, WithdrawnVersion};
pub use policy::RolloutPolicy;
pub use rejection::{Rejection, RejectionReason};
pub use rollout_state::{RolloutState, VersionEvent};
pub use sample::Sample;
pub use verdict::{NodeLoss, ProbationFailure, UnprovenReason, Verdict};
pub use version::{Digest, VersionId};
