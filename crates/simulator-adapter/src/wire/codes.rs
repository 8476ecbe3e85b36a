//! The codes of the records, one byte at the start of each.

/// Codes of the records of a batch.
pub mod event {
    /// A broker starts, with a seed and its settings text.
    pub const START: u8 = 16;
    /// An endpoint list reached a broker; its contents came in a `LIST_CONTENTS` record.
    pub const LIST_ARRIVED: u8 = 17;
    /// A query, or one of its shard requests, reached a broker.
    pub const QUERY: u8 = 18;
    /// The response to an attempt began.
    pub const RESPONSE_STARTED: u8 = 19;
    /// An attempt ended.
    pub const ATTEMPT_ENDED: u8 = 20;
    /// The client of a query left.
    pub const CLIENT_LEFT: u8 = 21;
    /// The time of a wake-up came.
    pub const WOKEN: u8 = 22;
    /// A probe for load ended.
    pub const PROBE_ENDED: u8 = 23;
    /// A message of another broker; ignored here.
    pub const PEER_MESSAGE: u8 = 24;
    /// A broker stops.
    pub const STOP: u8 = 25;
    /// The contents of an endpoint list, for all brokers of the process.
    pub const LIST_CONTENTS: u8 = 26;
}

/// Codes of the records of a reply.
pub mod effect {
    /// Send a shard request to a node.
    pub const SEND: u8 = 80;
    /// Reject a query.
    pub const REJECT: u8 = 81;
    /// Fail a query.
    pub const FAIL: u8 = 82;
    /// Cancel an attempt.
    pub const CANCEL: u8 = 83;
    /// Wake the broker after a time.
    pub const WAKE: u8 = 84;
    /// Probe a node for its load.
    pub const PROBE: u8 = 85;
    /// Close idle connections to a node.
    pub const CLOSE_IDLE: u8 = 86;
    /// Write a log line.
    pub const LOG: u8 = 88;
    /// The broker can't go on.
    pub const BROKER_FAILED: u8 = 89;
    /// Watch the endpoint list.
    pub const WATCH_ENDPOINTS: u8 = 90;
    /// Respond to a query.
    pub const RESPOND: u8 = 92;
}
