//! Simulates brokers whose clocks drift apart, over a network that loses, duplicates and delays messages, with
//! processes that are suspended or restarted. Measures the units that all brokers spend in a window by a reference
//! clock, and checks that lending lets a broker spend more than its share.

use quota_lease::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeasedBudget, Message};
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const BROKERS: usize = 5;
const TOTAL_UNITS: u32 = 40;
const WINDOW: i64 = 1000;
const SECONDS: i64 = 60;
/// The maximum error of a clock's rate. The configured drift between two clocks is twice that.
const MAX_RATE_ERROR: f64 = 0.005;

struct Broker {
    leased_budget: LeasedBudget,
    clock_rate: f64,
    /// The time until which the process is suspended.
    suspended_until: i64,
}

impl Broker {
    fn start(broker: usize, rng: &mut fastrand::Rng, reference_time: i64) -> Broker {
        let clock_rate = 1.0 + MAX_RATE_ERROR * (2.0 * rng.f64() - 1.0);
        let now = Timestamp((reference_time as f64 * clock_rate) as i64);
        let leased_budget = LeasedBudget::start(config(), new_instance(broker, rng), now);
        Broker { leased_budget, clock_rate, suspended_until: 0 }
    }

    fn now(&self, reference_time: i64) -> Timestamp {
        Timestamp((reference_time as f64 * self.clock_rate) as i64)
    }
}

fn config() -> LeaseConfig {
    LeaseConfig {
        total_units: TOTAL_UNITS,
        brokers: BROKERS as u32,
        window: TimeSpan(WINDOW),
        lease_duration: TimeSpan(20_000),
        drift_divisor: 100,
        max_leases_per_role: 16,
    }
}

fn new_instance(broker: usize, rng: &mut fastrand::Rng) -> InstanceId {
    InstanceId { broker: BrokerId(broker as u16), incarnation: Incarnation(rng.u64(..)) }
}

/// The result of a simulation.
struct Spent {
    /// The maximum number of units that all brokers together spent in a window.
    max_in_window: u32,
    /// The units spent by the first broker, which always needs more than its share.
    by_first: u32,
}

struct Simulation {
    rng: fastrand::Rng,
    brokers: Vec<Broker>,
    /// Messages in flight, with their arrival times.
    messages: Vec<(i64, Message)>,
    /// The times at which units were spent, with their numbers.
    spendings: Vec<(i64, u32)>,
    by_first: u32,
    loss: f64,
    is_lending: bool,
}

impl Simulation {
    fn new(seed: u64, loss: f64, is_lending: bool) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let brokers = (0..BROKERS).map(|broker| Broker::start(broker, &mut rng, 0)).collect();
        let (messages, spendings) = (Vec::new(), Vec::new());
        Simulation { rng, brokers, messages, spendings, by_first: 0, loss, is_lending }
    }

    fn run(mut self) -> Spent {
        let mut max_in_window = 0;
        for reference_time in (0..SECONDS * 10_000).step_by(50) {
            let broker = self.rng.usize(..BROKERS);
            if self.brokers[broker].suspended_until > reference_time {
                continue;
            }
            match self.rng.u32(0..3000) {
                0 => {
                    self.restart(broker, reference_time);
                    continue;
                }
                1 => self.brokers[broker].suspended_until = reference_time + self.rng.i64(0..60_000),
                _ => {}
            }
            let mut sent = self.receive(broker, reference_time);
            self.spend(broker, reference_time);
            sent.extend(self.request_and_release(broker, reference_time));
            self.send(&sent, reference_time);
            max_in_window = max_in_window.max(self.spent_in_window(reference_time));
        }
        Spent { max_in_window, by_first: self.by_first }
    }

    /// Restarts a broker's process, which keeps the clock of its machine.
    fn restart(&mut self, broker: usize, reference_time: i64) {
        let (now, clock_rate) = (self.brokers[broker].now(reference_time), self.brokers[broker].clock_rate);
        self.brokers[broker] = Broker::start(broker, &mut self.rng, reference_time);
        self.brokers[broker].clock_rate = clock_rate;
        let instance = new_instance(broker, &mut self.rng);
        self.brokers[broker].leased_budget = LeasedBudget::start(config(), instance, now);
    }

    /// Lets a broker handle the messages that have arrived, and returns its replies.
    fn receive(&mut self, broker: usize, reference_time: i64) -> Vec<Message> {
        let is_due =
            |(at, message): &(i64, Message)| *at <= reference_time && usize::from(message.to.0) == broker;
        let due: Vec<Message> =
            self.messages.iter().filter(|sent| is_due(sent)).map(|(_, message)| *message).collect();
        self.messages.retain(|sent| !is_due(sent));
        let now = self.brokers[broker].now(reference_time);
        let leased_budget = &mut self.brokers[broker].leased_budget;
        due.iter().filter_map(|message| leased_budget.handle_message(now, message)).collect()
    }

    /// Lets a broker spend units. The first always needs more than its share, the others only sometimes.
    fn spend(&mut self, broker: usize, reference_time: i64) {
        let now = self.brokers[broker].now(reference_time);
        let leased_budget = &mut self.brokers[broker].leased_budget;
        let needed = if broker == 0 { 30 } else { self.rng.u32(0..9) };
        let units = needed.min(leased_budget.available_units(now));
        if units > 0 && leased_budget.try_spend(now, units) {
            self.spendings.push((reference_time, units));
            self.by_first += if broker == 0 { units } else { 0 };
        }
    }

    fn request_and_release(&mut self, broker: usize, reference_time: i64) -> Vec<Message> {
        let now = self.brokers[broker].now(reference_time);
        let leased_budget = &mut self.brokers[broker].leased_budget;
        let mut sent = Vec::new();
        if self.is_lending && broker == 0 && self.rng.u32(0..4) == 0 {
            let lender = BrokerId(self.rng.u16(1..BROKERS as u16));
            sent.extend(leased_budget.request_lease(now, lender, 4));
        }
        let held = leased_budget.held_leases(now).next().filter(|_| self.rng.u32(0..40) == 0);
        sent.extend(held.and_then(|lease| leased_budget.release_lease(lease)));
        sent
    }

    /// Sends each message once or twice, and drops each copy with probability `loss`.
    fn send(&mut self, sent: &[Message], reference_time: i64) {
        for message in sent {
            for _ in 0..self.rng.usize(1..3) {
                if self.rng.f64() >= self.loss {
                    self.messages.push((reference_time + self.rng.i64(0..5000), *message));
                }
            }
        }
    }

    /// Returns the units spent in the last window. The window is shortened by the maximum drift, as a window measured
    /// by a broker's clock may be shorter by the reference clock.
    fn spent_in_window(&self, reference_time: i64) -> u32 {
        let since = reference_time - (WINDOW as f64 * (1.0 - 2.0 * MAX_RATE_ERROR)) as i64;
        let recent = self.spendings.iter().rev().take_while(|(at, _)| *at >= since);
        recent.map(|(_, units)| units).sum()
    }
}

/// Runs 40 seeds, or only the one in `FLEET_SEED`. The units spent in a window must not exceed the total, and a
/// broker that borrows must spend over a tenth more than without lending.
#[rstest]
#[case(0.0)]
#[case(0.3)]
#[case(1.0)]
fn never_spends_more_than_the_total(#[case] loss: f64) {
    let from_environment = std::env::var("FLEET_SEED").ok().and_then(|seed| seed.parse().ok());
    let seeds: Vec<u64> = from_environment.map_or((0..40).collect(), |seed| vec![seed]);
    for seed in seeds {
        let Spent { max_in_window, by_first: with_lending } = Simulation::new(seed, loss, true).run();
        let Spent { by_first: without_lending, .. } = Simulation::new(seed, loss, false).run();
        println!(
            "FLEET_SEED={seed} loss {loss}: at most {max_in_window} of {TOTAL_UNITS} units spent in a window; \
            the first broker spent {with_lending}, {without_lending} without lending"
        );
        assert!(max_in_window <= TOTAL_UNITS, "FLEET_SEED={seed}: {max_in_window} units spent in a window");
        // If all messages are lost, the first broker still spends about as much as without lending; otherwise it
        // spends more.
        assert!(
            loss < 1.0 && with_lending * 10 > without_lending * 11
                || loss == 1.0 && with_lending * 10 > without_lending * 7,
            "FLEET_SEED={seed}"
        );
    }
}
