//! State of the endpoint list watch.

use crate::inputs::EndpointListKind;

/// State of the endpoint list watch.
#[derive(Debug)]
pub(crate) struct EndpointListStatus {
    /// Whether discovery has sent a list since the broker started. A cached list does not count.
    pub(crate) has_list: bool,
    /// Whether discovery has sent nothing since the last request for the list.
    pub(crate) is_stale: bool,
    /// Number of failed requests since the last list.
    pub(crate) failures: u32,
}

impl Default for EndpointListStatus {
    fn default() -> EndpointListStatus {
        EndpointListStatus { has_list: false, is_stale: true, failures: 0 }
    }
}

impl EndpointListStatus {
    /// Records that a list has arrived.
    pub(crate) fn record_list(&mut self, kind: EndpointListKind) {
        if kind != EndpointListKind::Cached {
            self.has_list = true;
            self.is_stale = false;
            self.failures = 0;
        }
    }

    /// Records that a request for the list has failed.
    pub(crate) fn record_failure(&mut self) {
        self.is_stale = true;
        self.failures += 1;
    }
}
