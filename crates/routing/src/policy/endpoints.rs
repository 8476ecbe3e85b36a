//! How the endpoint list is asked for.

use super::*;

/// Failures after which the wait for the next call no longer doubles.
const MAX_DOUBLINGS: u32 = 3;

impl Broker {
    /// Takes an endpoint list in.
    pub(crate) fn take_endpoint_list(&mut self, list: &EndpointList) {
        let presumed_start = self.presumed_start(list);
        self.state.apply_endpoint_list(list, presumed_start);
    }

    /// Watches the endpoint list, and asks once more later where no word has come at all.
    pub(crate) fn watch_endpoints(&mut self) {
        if self.state.endpoint_list_is_stale {
            self.state.effects.push(Effect::WatchEndpoints);
            let wait = self.config.broker.rules.endpoint_list_max_age.max(SMOOTHING_SPAN).times(0.5);
            self.state.schedule(self.state.now + wait, Timer::WatchEndpoints);
        }
    }

    /// Discovery is shared and finite: each failure doubles the wait, with jitter.
    pub(crate) fn endpoint_list_failed(&mut self) {
        let base = self.config.broker.rules.endpoint_list_max_age.max(SMOOTHING_SPAN).times(RESEND_SHARE);
        let doublings = self.state.endpoint_list_failures.min(MAX_DOUBLINGS);
        let wait = base.times(f64::from(1 << doublings) * (0.5 + self.rng.f64()));
        self.state.endpoint_list_failures += 1;
        self.state.endpoint_list_is_stale = true;
        self.state.timers.retain(|scheduled| scheduled.timer != Timer::WatchEndpoints);
        self.state.schedule(self.state.now + wait, Timer::WatchEndpoints);
    }
}
