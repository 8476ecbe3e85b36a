//! Simulates in virtual time how brokers receive configuration versions from a configuration service. Each broker
//! uses the product's [`RolloutController`], or the baseline, which reconnects after a fixed wait. The service, the
//! network and the faults are models.

use config_rollout::{
    Digest, Effect, Input, Nonce, Offer, PersistedState, RolloutController, RolloutPolicy, Sample, StreamId,
    VersionId,
};
use routing::{TimeSpan, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;

/// One second, in tenths of a millisecond.
pub const SECOND: i64 = 10_000;

/// The one-way network latency of a message: one to five milliseconds.
const ONE_WAY_LATENCY: Range<i64> = 10..50;
/// The number of queries that end at a broker per second.
const QUERIES_PER_S: u64 = 20;
/// The number of ready nodes of each broker. It is high enough that probation is never paused for a lack of them.
const READY_NODES: u64 = 100;
/// The version that every broker runs at the start.
const INITIAL_VERSION: u64 = 0;

/// The policy by which brokers reconnect to the configuration service.
#[derive(Clone, Debug)]
pub enum ReconnectPolicy {
    /// The product's policy: an exponential backoff.
    RolloutController(Box<RolloutPolicy>),
    /// The baseline: a fixed wait before every reconnect.
    FixedWait(TimeSpan),
}

/// An event of the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServiceEvent {
    /// The service stops, and every stream ends.
    Down,
    /// The service is up again.
    Up,
    /// The service publishes the version with this number.
    Publish(u64),
    /// The service publishes a version under which every query fails.
    PublishFailing(u64),
}

/// The results of a simulation.
#[derive(Debug, Default)]
pub struct RolloutResults {
    /// The number of connects that reached the service, by second.
    pub connects_by_second: BTreeMap<i64, u64>,
    /// The number of replies of brokers to responses of the service, by second.
    pub responses_by_second: BTreeMap<i64, u64>,
    /// The times at which brokers applied each version, in tenths of a millisecond since it was published, or since
    /// the service was up again if that was later.
    pub arrival_times: BTreeMap<u64, Vec<i64>>,
    /// The times at which brokers rolled a version back, in tenths of a millisecond since it was published.
    pub rollback_times: Vec<i64>,
    /// The number of times that a broker's controller was asked for the running version.
    pub status_checks: u64,
    /// The number of times that the controller named a version other than the one that the broker ran.
    pub wrong_reports: u64,
    /// The number of brokers that ran each version at the end.
    pub brokers_by_version: BTreeMap<u64, usize>,
}

/// An event of the simulation. `broker` is the index of a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Service(ServiceEvent),
    /// A timer that was set by the broker's policy expires.
    TimerFired {
        broker: usize,
    },
    /// A connect arrives at the service.
    ConnectArrived {
        broker: usize,
        stream: StreamId,
    },
    StreamOpened {
        broker: usize,
        stream: StreamId,
    },
    StreamEnded {
        broker: usize,
        stream: StreamId,
    },
    /// A response of the service arrives at the broker. `version` is `None` if there is no newer version.
    ResponseArrived {
        broker: usize,
        stream: StreamId,
        version: Option<u64>,
    },
    /// The broker counts the outcomes of its queries, once a second.
    OutcomesCounted {
        broker: usize,
    },
}

/// An event in the queue. Events at the same time are handled in the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

/// The state of a broker's reconnect policy.
enum BrokerPolicy {
    RolloutController(Box<RolloutController>),
    FixedWait(TimeSpan),
}

impl BrokerPolicy {
    fn new(policy: &ReconnectPolicy, rng: &mut fastrand::Rng) -> BrokerPolicy {
        match policy {
            ReconnectPolicy::RolloutController(policy) => {
                let state = PersistedState::of(version_id(INITIAL_VERSION));
                let policy = (**policy).clone();
                let controller = RolloutController::new(policy, 1, state, rng.u64(..), Timestamp(0));
                BrokerPolicy::RolloutController(Box::new(controller))
            }
            ReconnectPolicy::FixedWait(wait) => BrokerPolicy::FixedWait(*wait),
        }
    }
}

struct SimulatedBroker {
    policy: BrokerPolicy,
    running: VersionId,
    /// The newest stream of the broker. Events of older streams are ignored.
    stream: StreamId,
    is_connected: bool,
    last_nonce: u64,
    outcome_counts: Sample,
}

impl SimulatedBroker {
    fn new(policy: BrokerPolicy) -> SimulatedBroker {
        SimulatedBroker {
            policy,
            running: version_id(INITIAL_VERSION),
            stream: StreamId(0),
            is_connected: false,
            last_nonce: 0,
            outcome_counts: Sample::default(),
        }
    }

    fn has_controller(&self) -> bool {
        matches!(self.policy, BrokerPolicy::RolloutController(_))
    }
}

/// A simulation of brokers and their configuration service.
pub struct RolloutSimulation {
    now: Timestamp,
    last_sequence: u64,
    event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    brokers: Vec<SimulatedBroker>,
    rng: fastrand::Rng,
    service_is_up: bool,
    newest_version: Option<u64>,
    failing_versions: Vec<u64>,
    /// The time from which the arrival of the newest version is measured.
    newest_available_at: Timestamp,
    /// The mean lifetime of a stream, or `None` if streams are not dropped.
    mean_stream_lifetime: Option<TimeSpan>,
    results: RolloutResults,
}

fn version_id(number: u64) -> VersionId {
    VersionId { number, digest: Digest::of(&number.to_le_bytes()) }
}

impl RolloutSimulation {
    /// Creates a simulation of `brokers` brokers that run the initial version. If `mean_stream_lifetime` is set,
    /// each stream is dropped after a random time with this mean.
    pub fn new(
        brokers: usize,
        policy: &ReconnectPolicy,
        seed: u64,
        mean_stream_lifetime: Option<TimeSpan>,
    ) -> RolloutSimulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let new_broker = |_| SimulatedBroker::new(BrokerPolicy::new(policy, &mut rng));
        let brokers = (0..brokers).map(new_broker).collect();
        let mut simulation = RolloutSimulation {
            now: Timestamp(0),
            last_sequence: 0,
            event_queue: BinaryHeap::new(),
            brokers,
            rng,
            service_is_up: true,
            newest_version: None,
            failing_versions: Vec::new(),
            newest_available_at: Timestamp(0),
            mean_stream_lifetime,
            results: RolloutResults::default(),
        };
        (0..simulation.brokers.len()).for_each(|broker| simulation.start_broker(broker));
        simulation
    }

    /// Schedules an event of the service at the start of this second.
    pub fn schedule_service(&mut self, second: i64, event: ServiceEvent) {
        self.schedule(Timestamp(second * SECOND), Event::Service(event));
    }

    /// Runs the simulation until second `last_second` and returns the results.
    pub fn run(mut self, last_second: i64) -> RolloutResults {
        let end = Timestamp(last_second * SECOND);
        while let Some(Reverse(next)) = self.event_queue.pop().filter(|Reverse(next)| next.at <= end) {
            self.now = next.at;
            self.handle(next.event);
        }
        for broker in &self.brokers {
            *self.results.brokers_by_version.entry(broker.running.number).or_default() += 1;
        }
        self.results
    }

    fn start_broker(&mut self, broker: usize) {
        // Brokers count their outcomes at different times within a second.
        let first_count = Timestamp(self.rng.i64(0..SECOND));
        self.schedule(first_count, Event::OutcomesCounted { broker });
        match self.brokers[broker].policy {
            BrokerPolicy::RolloutController(_) => self.notify_controller(broker, Input::Start),
            BrokerPolicy::FixedWait(_) => self.connect(broker),
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.last_sequence += 1;
        self.event_queue.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    /// Schedules an event for the time at which a message that is sent now arrives.
    fn schedule_arrival(&mut self, event: Event) {
        let arrives_at = self.now + TimeSpan(self.rng.i64(ONE_WAY_LATENCY));
        self.schedule(arrives_at, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Service(event) => self.handle_service_event(event),
            Event::TimerFired { broker } => match self.brokers[broker].policy {
                BrokerPolicy::RolloutController(_) => self.notify_controller(broker, Input::TimerExpired),
                BrokerPolicy::FixedWait(_) => self.connect(broker),
            },
            Event::ConnectArrived { broker, stream } => self.accept_connect(broker, stream),
            Event::StreamOpened { broker, stream } if self.is_current(broker, stream) => {
                self.open_stream(broker, stream);
            }
            Event::StreamEnded { broker, stream } if self.is_current(broker, stream) => {
                self.end_stream(broker, stream);
            }
            Event::ResponseArrived { broker, stream, version } if self.is_current(broker, stream) => {
                self.receive_response(broker, stream, version);
            }
            Event::StreamOpened { .. } | Event::StreamEnded { .. } | Event::ResponseArrived { .. } => {}
            Event::OutcomesCounted { broker } => self.count_outcomes(broker),
        }
    }

    fn is_current(&self, broker: usize, stream: StreamId) -> bool {
        self.brokers[broker].stream == stream
    }

    // The service.

    fn handle_service_event(&mut self, event: ServiceEvent) {
        match event {
            ServiceEvent::Down => {
                self.service_is_up = false;
                for broker in 0..self.brokers.len() {
                    let stream = self.brokers[broker].stream;
                    self.schedule_arrival(Event::StreamEnded { broker, stream });
                }
            }
            ServiceEvent::Up => {
                self.service_is_up = true;
                self.newest_available_at = self.now;
            }
            ServiceEvent::Publish(number) => self.publish(number),
            ServiceEvent::PublishFailing(number) => {
                self.failing_versions.push(number);
                self.publish(number);
            }
        }
    }

    fn publish(&mut self, number: u64) {
        self.newest_version = Some(number);
        self.newest_available_at = self.now;
        for broker in 0..self.brokers.len() {
            if self.service_is_up && self.brokers[broker].is_connected {
                let stream = self.brokers[broker].stream;
                self.schedule_arrival(Event::ResponseArrived { broker, stream, version: Some(number) });
            }
        }
    }

    fn accept_connect(&mut self, broker: usize, stream: StreamId) {
        *self.results.connects_by_second.entry(self.now.0 / SECOND).or_default() += 1;
        self.schedule_arrival(match self.service_is_up {
            true => Event::StreamOpened { broker, stream },
            false => Event::StreamEnded { broker, stream },
        });
    }

    // The brokers.

    fn connect(&mut self, broker: usize) {
        let state = &mut self.brokers[broker];
        state.stream = StreamId(state.stream.0 + 1);
        state.is_connected = false;
        let stream = state.stream;
        self.schedule_arrival(Event::ConnectArrived { broker, stream });
    }

    fn open_stream(&mut self, broker: usize, stream: StreamId) {
        self.brokers[broker].is_connected = true;
        if let Some(mean) = self.mean_stream_lifetime {
            // Streams are dropped at a constant rate, so their lifetimes are exponentially distributed.
            let lifetime = mean.mul_f64(-(1.0 - self.rng.f64()).ln());
            self.schedule(self.now + lifetime, Event::StreamEnded { broker, stream });
        }
        let running = self.brokers[broker].running.number;
        let version = self.newest_version.filter(|newest| *newest != running);
        self.schedule_arrival(Event::ResponseArrived { broker, stream, version });
        if self.brokers[broker].has_controller() {
            self.notify_controller(broker, Input::StreamOpened(stream));
        }
    }

    fn end_stream(&mut self, broker: usize, stream: StreamId) {
        self.brokers[broker].is_connected = false;
        match self.brokers[broker].policy {
            BrokerPolicy::RolloutController(_) => {
                let reason = "stream dropped".to_owned();
                self.notify_controller(broker, Input::StreamEnded { stream, reason });
            }
            BrokerPolicy::FixedWait(wait) => self.schedule(self.now + wait, Event::TimerFired { broker }),
        }
    }

    fn receive_response(&mut self, broker: usize, stream: StreamId, version: Option<u64>) {
        let state = &mut self.brokers[broker];
        state.last_nonce += 1;
        match state.policy {
            BrokerPolicy::RolloutController(_) => {
                let nonce = Nonce(state.last_nonce.to_string());
                let offer = version.map_or(Offer::Empty, |number| Offer::Valid(version_id(number)));
                self.notify_controller(broker, Input::ResponseReceived { stream, nonce, offer });
            }
            BrokerPolicy::FixedWait(_) => {
                let running = state.running.number;
                if let Some(number) = version.filter(|number| *number != running) {
                    self.apply(broker, version_id(number));
                }
                self.count_response();
            }
        }
    }

    fn count_outcomes(&mut self, broker: usize) {
        let state = &mut self.brokers[broker];
        let is_failing = self.failing_versions.contains(&state.running.number);
        state.outcome_counts.ended += QUERIES_PER_S;
        state.outcome_counts.failed += if is_failing { QUERIES_PER_S } else { 0 };
        state.outcome_counts.ready_nodes = READY_NODES;
        let counts = state.outcome_counts;
        self.schedule(self.now + TimeSpan(SECOND), Event::OutcomesCounted { broker });
        if self.brokers[broker].has_controller() {
            self.notify_controller(broker, Input::OutcomesCounted(counts));
        }
    }

    fn count_response(&mut self) {
        *self.results.responses_by_second.entry(self.now.0 / SECOND).or_default() += 1;
    }

    fn set_running(&mut self, broker: usize, version: VersionId) {
        self.brokers[broker].running = version;
        self.brokers[broker].outcome_counts = Sample::default();
    }

    /// Sets the running version and records the time that it took to arrive.
    fn apply(&mut self, broker: usize, version: VersionId) {
        self.set_running(broker, version);
        let elapsed = (self.now - self.newest_available_at).0;
        self.results.arrival_times.entry(version.number).or_default().push(elapsed);
    }

    // The rollout controllers.

    /// Passes an input to a broker's controller and executes the resulting effects.
    fn notify_controller(&mut self, broker: usize, input: Input) {
        let BrokerPolicy::RolloutController(controller) = &mut self.brokers[broker].policy else { return };
        for effect in controller.handle(self.now, input) {
            self.execute(broker, effect);
        }
        self.check_status(broker);
    }

    fn execute(&mut self, broker: usize, effect: Effect) {
        match effect {
            Effect::Connect { .. } => self.connect(broker),
            Effect::Disconnect { .. } => self.brokers[broker].stream.0 += 1,
            Effect::Respond { .. } | Effect::ReportWithdrawal { .. } => self.count_response(),
            Effect::Apply(version) => self.apply(broker, version),
            Effect::RollBack(version) => {
                self.results.rollback_times.push((self.now - self.newest_available_at).0);
                self.set_running(broker, version);
            }
            Effect::Renumber(version) => self.set_running(broker, version),
            Effect::WakeAt(at) => self.schedule(at, Event::TimerFired { broker }),
            Effect::Subscribe { .. } | Effect::StoreContents(_) | Effect::StoreState | Effect::Log(_) => {}
        }
    }

    /// Compares the version that a broker's controller reports as running with the one that the broker runs.
    fn check_status(&mut self, broker: usize) {
        let SimulatedBroker { policy, running, .. } = &self.brokers[broker];
        if let BrokerPolicy::RolloutController(controller) = policy {
            self.results.status_checks += 1;
            self.results.wrong_reports += u64::from(controller.running() != *running);
        }
    }
}
