//! Processing of endpoint lists, and requests for new ones.

use super::Broker;
use crate::effects::Effect;
use crate::inputs::EndpointList;
use crate::policy::endpoint_watch::{self, FailedRequest};
use crate::policy::slow_start;
use crate::state::Timer;
use crate::time::TimeSpan;

impl Broker {
    /// Applies an endpoint list to the node table.
    pub(super) fn apply_endpoint_list(&mut self, list: &EndpointList) {
        let (now, has_list, wall_clock) =
            (self.state.now, self.state.endpoint_list.has_list, list.wall_clock);
        let presumed_start =
            |listed_start| slow_start::presumed_start(now, has_list, wall_clock, listed_start);
        self.state.nodes.apply_endpoint_list(now, list, presumed_start);
        self.state.endpoint_list.record_list(list.kind);
    }

    /// Requests the endpoint list if it is stale, and schedules another request in case discovery does not answer.
    pub(super) fn watch_endpoints(&mut self) {
        if self.state.endpoint_list.is_stale {
            self.state.effects.push(Effect::WatchEndpoints);
            let max_age = self.config.broker.rules.endpoint_list_max_age;
            let at = self.state.now + endpoint_watch::max_silence(max_age);
            self.state.timers.schedule(at, Timer::WatchEndpoints);
        }
    }

    /// Records a failed request for the list and schedules the next one after a backoff.
    pub(super) fn endpoint_list_failed(&mut self, pending: TimeSpan) {
        let max_age = self.config.broker.rules.endpoint_list_max_age;
        let failed = FailedRequest { earlier_failures: self.state.endpoint_list.failures, pending };
        let delay = endpoint_watch::delay_after_failure(max_age, failed, self.rng.f64());
        self.state.endpoint_list.record_failure();
        self.state.timers.cancel_all(Timer::WatchEndpoints);
        self.state.timers.schedule(self.state.now + delay, Timer::WatchEndpoints);
    }
}
