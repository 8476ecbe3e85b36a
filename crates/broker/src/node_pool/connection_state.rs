//! Whether a connection to a node accepts work.

/// Whether a connection accepts work, and whether it ever carried any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Not connected yet, or connected and nothing written. It accepts work.
    Unused,
    /// Something was written on it. It accepts work.
    Used,
    /// It accepts no more work, and closes once nothing is in flight on it.
    Closing {
        /// Whether something was written on it.
        was_used: bool,
    },
}

impl ConnectionState {
    /// Whether something was written on it.
    pub(super) fn was_used(self) -> bool {
        matches!(self, ConnectionState::Used | ConnectionState::Closing { was_used: true })
    }

    /// Whether it accepts no more work.
    pub(super) fn is_closing(self) -> bool {
        matches!(self, ConnectionState::Closing { .. })
    }

    /// The state once something was written.
    pub(super) fn after_write(self) -> ConnectionState {
        match self {
            ConnectionState::Unused | ConnectionState::Used => ConnectionState::Used,
            ConnectionState::Closing { .. } => ConnectionState::Closing { was_used: true },
        }
    }

    /// The state once it is to close.
    pub(super) fn after_close(self) -> ConnectionState {
        ConnectionState::Closing { was_used: self.was_used() }
    }
}
