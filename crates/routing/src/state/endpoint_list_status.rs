//! How well the broker is informed of its nodes.

use crate::inputs::EndpointListKind;

/// The state of the watch of the endpoint list.
#[derive(Debug)]
pub(crate) struct EndpointListStatus {
    /// Discovery has given a list since the start; a cached one does not count.
    pub(crate) has_list: bool,
    /// Nothing was heard from discovery since the list was last asked for.
    pub(crate) is_stale: bool,
    /// Failed calls since the last list.
    pub(crate) failures: u32,
}

impl Default for EndpointListStatus {
    fn default() -> EndpointListStatus {
        EndpointListStatus { has_list: false, is_stale: true, failures: 0 }
    }
}

impl EndpointListStatus {
    /// A list has come in.
    pub(crate) fn record_list(&mut self, kind: EndpointListKind) {
        if kind != EndpointListKind::Cached {
            self.has_list = true;
            self.is_stale = false;
            self.failures = 0;
        }
    }

    /// A call for the list has failed.
    pub(crate) fn record_failure(&mut self) {
        self.is_stale = true;
        self.failures += 1;
    }
}
