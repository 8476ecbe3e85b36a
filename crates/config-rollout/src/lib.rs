//! Which version of its configuration a broker runs. Decisions only: no I/O, no clock, no sockets;
//! randomness from a seed.
//!
//! A program makes one [`RolloutController`] and gives it each [`Input`] with the current time; it carries
//! out the [`Effect`]s that are returned, in their order, before the next input. What a broker reports is
//! [`RolloutController::report`], which always agrees with the effects carried out last.
//!
//! It consists of three state machines, each a table of state, event, next state and action, and a short
//! loop:
//! - [`subscription`]: the connection to a configuration service: `Idle`, `BackingOff`, `Connecting`,
//!   `Open`;
//! - [`version_history`]: what the broker runs, `Settled` or `OnProbation`; each offer is first compared with
//!   what is known ([`offer_comparison`]);
//! - [`probation`]: whether a version on probation makes queries fail: `Stable` or `NodesFailing`.
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
