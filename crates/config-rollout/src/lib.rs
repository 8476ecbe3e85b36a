//! Which version of its configuration a broker runs. Decisions only: no I/O, no clock, no sockets; chance from
//! a seed.
//!
//! A program makes one [`RolloutController`] and gives it all that it hears, one [`Input`] at a time with the moment; it
//! carries out the [`Effect`]s that come back, in their order, before the next input. What a broker reports
//! is [`RolloutController::report`], and it is what was last carried out.
//!
//! Three machines stand behind it, each a table of state, input, next state and effect, and a short loop:
//! - [`subscription`]: the way to a control service: `Resting`, `Waiting`, `Calling`, `Open`;
//! - [`versions`]: what the broker runs: `Settled` or `OnTrial`, and what is to be said to each offer;
//! - [`probation`]: whether a version on trial is to blame for what ends badly: `Clear` or `Clouded`.
//!
//! ```
//! use routing::Tenths;
//! use config_rollout::{Digest, Effect, Input, RolloutController, PersistedState, RolloutPolicy, VersionId};
//!
//! let own = VersionId { number: 0, digest: Digest::of(b"the broker's own file") };
//! let mut controller = RolloutController::new(RolloutPolicy::default(), 1, PersistedState::of(own), 7, Tenths(0));
//! let effects = controller.hear(Tenths(0), Input::Start);
//! assert!(matches!(effects[..], [Effect::Call { .. }, ..]));
//! ```

mod controller;
mod effects;
mod inputs;
mod policy;
pub mod probation;
pub mod subscription;
mod version;
pub mod versions;

pub use controller::{Report, RolloutController};
pub use effects::{Effect, LogEvent};
pub use inputs::{Input, Nonce, Offer, ServiceNo, StreamNo};
pub use policy::RolloutPolicy;
pub use probation::Sample;
pub use version::{Digest, VersionId};
pub use versions::{PersistedState, Rejection, Standing};
