//! Which version of its configuration a broker runs. Decisions only: no I/O, no clock, no sockets; chance from
//! a seed.
//!
//! A program makes one [`Keeper`] and gives it all that it hears, one [`Input`] at a time with the moment; it
//! carries out the [`Effect`]s that come back, in their order, before the next input. What a broker reports
//! is [`Keeper::report`], and it is what was last carried out.
//!
//! Three machines stand behind it, each a table of state, input, next state and effect, and a short loop:
//! - [`line`]: the way to a control service: `Resting`, `Waiting`, `Calling`, `Open`;
//! - [`versions`]: what the broker runs: `Settled` or `OnTrial`, and what is to be said to each offer;
//! - [`trial`]: whether a version on trial is to blame for what ends badly: `Clear` or `Clouded`.
//!
//! ```
//! use routing::Tenths;
//! use config_rollout::{Digest, Effect, Input, Keeper, Memory, Patience, VersionId};
//!
//! let own = VersionId { number: 0, digest: Digest::of(b"the broker's own file") };
//! let mut keeper = Keeper::new(Patience::default(), 1, Memory::of(own), 7, Tenths(0));
//! let effects = keeper.hear(Tenths(0), Input::Start);
//! assert!(matches!(effects[..], [Effect::Call { .. }, ..]));
//! ```

mod effects;
mod inputs;
mod keeper;
pub mod line;
mod patience;
pub mod trial;
mod version;
pub mod versions;

pub use effects::{Effect, Word};
pub use inputs::{Input, Nonce, Offer, ServiceNo, StreamNo};
pub use keeper::{Keeper, Report};
pub use patience::Patience;
pub use trial::Sample;
pub use version::{Digest, VersionId};
pub use versions::{Memory, Refusal, Standing};
