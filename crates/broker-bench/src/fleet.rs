//! A fleet of brokers and one control service in virtual time. The brokers decide by the product's own
//! keeper, or by the baseline: call again after a fixed wait. The service, the network and the troubles are a
//! model.

use config_rollout::{
    Digest, Effect, Input, Nonce, Offer, PersistedState, RolloutController, RolloutPolicy, Sample, StreamId,
    VersionId,
};
use routing::Tenths;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How brokers call again.
#[derive(Clone, Debug)]
pub enum Manner {
    RolloutController(Box<RolloutPolicy>),
    /// After this wait, every time.
    FixedWait(Tenths),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Happening {
    /// The service is gone: every stream ends.
    Down,
    Up,
    /// A version with this number, and contents of its own.
    Publish(u64),
    /// A version that fails: everything taken under it ends badly.
    PublishBad(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Service(Happening),
    Due(usize),
    /// A call reaches the service.
    Called(usize, StreamId),
    Opened(usize, StreamId),
    Ended(usize, StreamId),
    Came(usize, StreamId, u64),
    Count(usize),
}

/// What a fleet did.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Calls that reached the service, by second.
    pub calls: BTreeMap<i64, u64>,
    /// Answers, by second.
    pub answers: BTreeMap<i64, u64>,
    /// When each broker first ran a version, in tenths since its publication or the service's return, if
    /// later.
    pub arrivals: BTreeMap<u64, Vec<i64>>,
    /// When each broker had cancelled a version, in tenths since that was published.
    pub withdrawals: Vec<i64>,
    /// Looks at which a broker reported another version than it ran.
    pub wrong_reports: u64,
    pub looks: u64,
    /// Brokers that ran each number at the end.
    pub at_end: BTreeMap<u64, usize>,
}

enum Mind {
    RolloutController(Box<RolloutController>),
    Fixed(Tenths),
}

struct Broker {
    mind: Mind,
    runs: VersionId,
    stream: StreamId,
    up: bool,
    nonce: u64,
    counts: Sample,
}

pub struct Fleet {
    now: Tenths,
    order: u64,
    agenda: BinaryHeap<Reverse<(Tenths, u64, Event)>>,
    brokers: Vec<Broker>,
    rng: fastrand::Rng,
    service_up: bool,
    newest: u64,
    bad: Vec<u64>,
    /// From when arrivals of the newest are counted.
    since: Tenths,
    /// How long a stream lives, on average, where streams are dropped.
    life: Option<Tenths>,
    pub outcome: Outcome,
}

/// A second.
pub const SECOND: i64 = 10_000;

fn version(number: u64) -> VersionId {
    VersionId { number, digest: Digest::of(&number.to_le_bytes()) }
}

impl Fleet {
    pub fn new(brokers: usize, manner: &Manner, seed: u64, life: Option<Tenths>) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut mind = || match manner {
            Manner::RolloutController(policy) => Mind::RolloutController(Box::new(RolloutController::new(
                (**policy).clone(),
                1,
                PersistedState::of(version(0)),
                rng.u64(..),
                Tenths(0),
            ))),
            Manner::FixedWait(wait) => Mind::Fixed(*wait),
        };
        let broker = |_| Broker {
            mind: mind(),
            runs: version(0),
            stream: StreamId(0),
            up: false,
            nonce: 0,
            counts: Sample::default(),
        };
        let brokers: Vec<Broker> = (0..brokers).map(broker).collect();
        let mut fleet = Fleet {
            now: Tenths(0),
            order: 0,
            agenda: BinaryHeap::new(),
            brokers,
            rng,
            service_up: true,
            newest: 0,
            bad: Vec::new(),
            since: Tenths(0),
            life,
            outcome: Outcome::default(),
        };
        for no in 0..fleet.brokers.len() {
            let at = Tenths(fleet.rng.i64(0..SECOND));
            fleet.at(at, Event::Count(no));
            match fleet.brokers[no].mind {
                Mind::RolloutController(_) => fleet.hear(no, Input::Start),
                Mind::Fixed(_) => fleet.call(no),
            }
        }
        fleet
    }

    pub fn schedule(&mut self, second: i64, happening: Happening) {
        self.at(Tenths(second * SECOND), Event::Service(happening));
    }

    /// Plays to this second.
    pub fn play(&mut self, until: i64) {
        while let Some(Reverse((at, _, event))) = self.agenda.pop() {
            if at.0 > until * SECOND {
                self.agenda.push(Reverse((at, 0, event)));
                break;
            }
            self.now = at;
            self.happen(event);
        }
        let runs = self.brokers.iter().map(|broker| broker.runs.number);
        let mut at_end = BTreeMap::new();
        runs.for_each(|number| *at_end.entry(number).or_default() += 1);
        self.outcome.at_end = at_end;
    }

    fn at(&mut self, at: Tenths, event: Event) {
        self.order += 1;
        self.agenda.push(Reverse((at, self.order, event)));
    }

    /// One way through the network: one to five milliseconds.
    fn trip(&mut self) -> Tenths {
        self.now + Tenths(self.rng.i64(10..50))
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Service(happening) => self.serve(happening),
            Event::Due(no) => match self.brokers[no].mind {
                Mind::RolloutController(_) => self.hear(no, Input::TimerExpired),
                Mind::Fixed(_) => self.call(no),
            },
            Event::Called(no, stream) => {
                *self.outcome.calls.entry(self.now.0 / SECOND).or_default() += 1;
                let back = self.trip();
                let next = if self.service_up { Event::Opened(no, stream) } else { Event::Ended(no, stream) };
                self.at(back, next);
            }
            Event::Opened(no, stream) if self.is_current(no, stream) => self.opened(no, stream),
            Event::Ended(no, stream) if self.is_current(no, stream) => self.ended(no, stream),
            Event::Came(no, stream, number) if self.is_current(no, stream) => self.came(no, stream, number),
            Event::Opened(..) | Event::Ended(..) | Event::Came(..) => {}
            Event::Count(no) => {
                let broker = &mut self.brokers[no];
                let bad = self.bad.contains(&broker.runs.number);
                broker.counts.ended += 20;
                broker.counts.failed += if bad { 20 } else { 0 };
                broker.counts.ready_nodes = 100;
                let counts = broker.counts;
                self.at(self.now + Tenths(SECOND), Event::Count(no));
                if matches!(self.brokers[no].mind, Mind::RolloutController(_)) {
                    self.hear(no, Input::OutcomesCounted(counts));
                }
            }
        }
    }

    fn is_current(&self, no: usize, stream: StreamId) -> bool {
        self.brokers[no].stream == stream
    }

    fn serve(&mut self, happening: Happening) {
        match happening {
            Happening::Down => {
                self.service_up = false;
                for no in 0..self.brokers.len() {
                    let (at, stream) = (self.trip(), self.brokers[no].stream);
                    self.at(at, Event::Ended(no, stream));
                }
            }
            Happening::Up => (self.service_up, self.since) = (true, self.now),
            Happening::Publish(number) | Happening::PublishBad(number) => {
                if matches!(happening, Happening::PublishBad(_)) {
                    self.bad.push(number);
                }
                (self.newest, self.since) = (number, self.now);
                for no in 0..self.brokers.len() {
                    if self.service_up && self.brokers[no].up {
                        let (at, stream) = (self.trip(), self.brokers[no].stream);
                        self.at(at, Event::Came(no, stream, number));
                    }
                }
            }
        }
    }

    fn call(&mut self, no: usize) {
        let broker = &mut self.brokers[no];
        broker.stream = StreamId(broker.stream.0 + 1);
        broker.up = false;
        let (at, stream) = (self.trip(), self.brokers[no].stream);
        self.at(at, Event::Called(no, stream));
    }

    fn opened(&mut self, no: usize, stream: StreamId) {
        self.brokers[no].up = true;
        if let Some(life) = self.life {
            // As if each moment were as likely: an exponential span.
            let lives = life.times(-(1.0 - self.rng.f64()).ln());
            self.at(self.now + lives, Event::Ended(no, stream));
        }
        if self.newest > 0 && self.brokers[no].runs.number != self.newest {
            let (at, newest) = (self.trip(), self.newest);
            self.at(at, Event::Came(no, stream, newest));
        } else {
            // The service says that it has nothing else: the call has come to something.
            let at = self.trip();
            self.at(at, Event::Came(no, stream, 0));
        }
        if matches!(self.brokers[no].mind, Mind::RolloutController(_)) {
            self.hear(no, Input::StreamOpened(stream));
        }
    }

    fn ended(&mut self, no: usize, stream: StreamId) {
        self.brokers[no].up = false;
        match self.brokers[no].mind {
            Mind::RolloutController(_) => {
                self.hear(no, Input::StreamEnded { stream, reason: "cut".to_owned() });
            }
            Mind::Fixed(wait) => self.at(self.now + wait, Event::Due(no)),
        }
    }

    fn came(&mut self, no: usize, stream: StreamId, number: u64) {
        self.brokers[no].nonce += 1;
        let nonce = Nonce(self.brokers[no].nonce.to_string());
        let offer = if number == 0 { Offer::Empty } else { Offer::Valid(version(number)) };
        match self.brokers[no].mind {
            Mind::RolloutController(_) => self.hear(no, Input::ResponseReceived { stream, nonce, offer }),
            Mind::Fixed(_) => {
                if number > 0 && self.brokers[no].runs.number != number {
                    self.run(no, version(number));
                }
                *self.outcome.answers.entry(self.now.0 / SECOND).or_default() += 1;
            }
        }
    }

    /// Takes a version over, and notes how long that took to come.
    fn run(&mut self, no: usize, runs: VersionId) {
        (self.brokers[no].runs, self.brokers[no].counts) = (runs, Sample::default());
        let took = (self.now - self.since).0;
        self.outcome.arrivals.entry(runs.number).or_default().push(took);
    }

    fn hear(&mut self, no: usize, input: Input) {
        let Mind::RolloutController(controller) = &mut self.brokers[no].mind else { return };
        for effect in controller.handle(self.now, input) {
            match effect {
                Effect::Connect { .. } => self.call(no),
                Effect::Disconnect { .. } => self.brokers[no].stream.0 += 1,
                Effect::Respond { .. } | Effect::ReportWithdrawal { .. } => {
                    *self.outcome.answers.entry(self.now.0 / SECOND).or_default() += 1;
                }
                Effect::Apply(version) => self.run(no, version),
                Effect::RollBack(version) | Effect::Renumber(version) => {
                    let back = matches!(effect, Effect::RollBack(_));
                    let took = (self.now - self.since).0;
                    self.outcome.withdrawals.extend(back.then_some(took));
                    (self.brokers[no].runs, self.brokers[no].counts) = (version, Sample::default());
                }
                Effect::WakeAt(at) => self.at(at, Event::Due(no)),
                Effect::Subscribe { .. } | Effect::StoreContents(_) | Effect::StoreState | Effect::Log(_) => {
                }
            }
        }
        let Mind::RolloutController(controller) = &self.brokers[no].mind else { return };
        self.outcome.looks += 1;
        self.outcome.wrong_reports += u64::from(controller.running() != self.brokers[no].runs);
    }
}
