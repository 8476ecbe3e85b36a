//! Carries out what the `control` package decides, on one thread beside the broker: streams to control
//! services by xDS's transport, the last good version in a file, and the client status service (CSDS).
//!
//! A broker makes a [`Post`] and gives [`follow`] something that takes configurations, a [`Seat`]; everything
//! else is decided by `config_rollout::RolloutController`. Whoever asks finds what the broker runs in the [`Shown`].

pub mod csds;
mod follow;
pub mod keep;
mod shelf;
pub mod wire;

pub use follow::{Post, Seat, Shown, follow, show};
pub use shelf::{RestoredState, restore};
