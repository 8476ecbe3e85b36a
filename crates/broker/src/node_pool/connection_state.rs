//! The state machine of whether a connection to a node accepts work.

/// Whether a connection accepts work, and whether anything was ever written on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The connection accepts work, and is either not established or nothing has been written on it.
    Unused,
    /// The connection accepts work, and something has been written on it.
    Used,
    /// The connection accepts no more work, and closes once nothing is in flight on it.
    Closing {
        /// Whether something was written on the connection.
        was_used: bool,
    },
}

impl ConnectionState {
    /// Returns whether something was written on the connection.
    pub(super) fn was_used(self) -> bool {
        matches!(self, ConnectionState::Used | ConnectionState::Closing { was_used: true })
    }

    /// Returns whether the connection accepts no more work.
    pub(super) fn is_closing(self) -> bool {
        matches!(self, ConnectionState::Closing { .. })
    }

    /// Returns the state that follows a write.
    pub(super) fn after_write(self) -> ConnectionState {
        match self {
            ConnectionState::Unused | ConnectionState::Used => ConnectionState::Used,
            ConnectionState::Closing { .. } => ConnectionState::Closing { was_used: true },
        }
    }

    /// Returns the state that follows a request to close the connection.
    pub(super) fn after_close(self) -> ConnectionState {
        ConnectionState::Closing { was_used: self.was_used() }
    }
}
