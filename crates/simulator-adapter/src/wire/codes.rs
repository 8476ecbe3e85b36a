//! Codes of the records. Each record starts with a one-byte code.

/// Codes of the records of a batch.
pub mod event {
    /// Starts a broker with a seed and the text of its settings.
    pub const START: u8 = 16;
    /// Reports that an endpoint list reached a broker. A `LIST_CONTENTS` record has sent its contents.
    pub const LIST_ARRIVED: u8 = 17;
    /// Reports that a query or one of its shard requests reached a broker.
    pub const QUERY: u8 = 18;
    /// Reports that the response to an attempt has started to arrive.
    pub const RESPONSE_STARTED: u8 = 19;
    /// Reports that an attempt has ended.
    pub const ATTEMPT_ENDED: u8 = 20;
    /// Reports that the client of a query has disconnected.
    pub const CLIENT_LEFT: u8 = 21;
    /// Reports that the time of a requested wake-up has come.
    pub const WOKEN: u8 = 22;
    /// Reports that a probe for load has ended.
    pub const PROBE_ENDED: u8 = 23;
    /// Carries a message of another broker, which the adapter ignores.
    pub const PEER_MESSAGE: u8 = 24;
    /// Stops a broker.
    pub const STOP: u8 = 25;
    /// Carries the contents of an endpoint list, which all brokers of the process share.
    pub const LIST_CONTENTS: u8 = 26;
}

/// Codes of the records of a reply.
pub mod effect {
    /// Sends a shard request to a node.
    pub const SEND: u8 = 80;
    /// Rejects a query, with the wait before a retry.
    pub const REJECT: u8 = 81;
    /// Ends a query without a response.
    pub const FAIL: u8 = 82;
    /// Cancels an attempt.
    pub const CANCEL: u8 = 83;
    /// Requests a `WOKEN` event after a time.
    pub const WAKE: u8 = 84;
    /// Requests a load report from a node.
    pub const PROBE: u8 = 85;
    /// Closes the idle connections to a node.
    pub const CLOSE_IDLE: u8 = 86;
    /// Writes a line to the log.
    pub const LOG: u8 = 88;
    /// Reports that the broker has failed and why.
    pub const BROKER_FAILED: u8 = 89;
    /// Requests the endpoint list and its updates.
    pub const WATCH_ENDPOINTS: u8 = 90;
    /// Responds to a query.
    pub const RESPOND: u8 = 92;
}
