//! Brokers whose clocks run apart, over a network that loses, duplicates and delays, with processes that stop
//! for a while or restart: what all spend in a window, by a clock that none of them sees. Also that lending
//! is of use.

use quota_lease::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeasedBudget, Message};
use routing::{TimeSpan, Timestamp};
use rstest::rstest;

const BROKERS: usize = 5;
const TOTAL_UNITS: u32 = 40;
const WINDOW: i64 = 1000;
const SECONDS: i64 = 60;
/// A clock's rate is off by this at the most; the configured drift is twice that.
const MAX_RATE_ERROR: f64 = 0.005;

struct Broker {
    leased_budget: LeasedBudget,
    clock_rate: f64,
    /// The process does nothing until then.
    stopped_until: i64,
}

impl Broker {
    fn start(broker: usize, rng: &mut fastrand::Rng, real_time: i64) -> Broker {
        let clock_rate = 1.0 + MAX_RATE_ERROR * (2.0 * rng.f64() - 1.0);
        let now = Timestamp((real_time as f64 * clock_rate) as i64);
        let leased_budget = LeasedBudget::start(config(), new_instance(broker, rng), now);
        Broker { leased_budget, clock_rate, stopped_until: 0 }
    }

    fn now(&self, real_time: i64) -> Timestamp {
        Timestamp((real_time as f64 * self.clock_rate) as i64)
    }
}

fn config() -> LeaseConfig {
    LeaseConfig {
        total_units: TOTAL_UNITS,
        brokers: BROKERS as u32,
        window: TimeSpan(WINDOW),
        lease_duration: TimeSpan(20_000),
        drift_divisor: 100,
        max_leases: 16,
    }
}

fn new_instance(broker: usize, rng: &mut fastrand::Rng) -> InstanceId {
    InstanceId { broker: BrokerId(broker as u16), incarnation: Incarnation(rng.u64(..)) }
}

/// What a simulation came to.
struct Spent {
    /// The most units that all brokers spent in a window.
    most_in_window: u32,
    /// Units spent by the first broker, which always needs more than its share.
    by_first: u32,
}

struct Simulation {
    rng: fastrand::Rng,
    brokers: Vec<Broker>,
    /// Messages on their way, with the time when they arrive.
    messages: Vec<(i64, Message)>,
    /// Units spent, with the time.
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
        let mut most_in_window = 0;
        for real_time in (0..SECONDS * 10_000).step_by(50) {
            let broker = self.rng.usize(..BROKERS);
            if self.brokers[broker].stopped_until > real_time {
                continue;
            }
            match self.rng.u32(0..3000) {
                0 => {
                    self.restart(broker, real_time);
                    continue;
                }
                1 => self.brokers[broker].stopped_until = real_time + self.rng.i64(0..60_000),
                _ => {}
            }
            let mut sent = self.receive(broker, real_time);
            self.spend(broker, real_time);
            sent.extend(self.request_and_release(broker, real_time));
            self.send(&sent, real_time);
            most_in_window = most_in_window.max(self.spent_in_window(real_time));
        }
        Spent { most_in_window, by_first: self.by_first }
    }

    /// A restarted process goes on with its machine's clock.
    fn restart(&mut self, broker: usize, real_time: i64) {
        let (now, clock_rate) = (self.brokers[broker].now(real_time), self.brokers[broker].clock_rate);
        self.brokers[broker] = Broker::start(broker, &mut self.rng, real_time);
        self.brokers[broker].clock_rate = clock_rate;
        let instance = new_instance(broker, &mut self.rng);
        self.brokers[broker].leased_budget = LeasedBudget::start(config(), instance, now);
    }

    /// Lets a broker handle what has arrived; its answers.
    fn receive(&mut self, broker: usize, real_time: i64) -> Vec<Message> {
        let is_due = |(at, message): &(i64, Message)| *at <= real_time && usize::from(message.to.0) == broker;
        let due: Vec<Message> =
            self.messages.iter().filter(|sent| is_due(sent)).map(|(_, message)| *message).collect();
        self.messages.retain(|sent| !is_due(sent));
        let now = self.brokers[broker].now(real_time);
        let leased_budget = &mut self.brokers[broker].leased_budget;
        due.iter().filter_map(|message| leased_budget.handle_message(now, message)).collect()
    }

    /// The first broker always needs more than it has, the others now and then.
    fn spend(&mut self, broker: usize, real_time: i64) {
        let now = self.brokers[broker].now(real_time);
        let leased_budget = &mut self.brokers[broker].leased_budget;
        let needed = if broker == 0 { 30 } else { self.rng.u32(0..9) };
        let units = needed.min(leased_budget.available_units(now));
        if units > 0 && leased_budget.try_spend(now, units) {
            self.spendings.push((real_time, units));
            self.by_first += if broker == 0 { units } else { 0 };
        }
    }

    fn request_and_release(&mut self, broker: usize, real_time: i64) -> Vec<Message> {
        let now = self.brokers[broker].now(real_time);
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

    /// Sends each message once or twice, and loses some.
    fn send(&mut self, sent: &[Message], real_time: i64) {
        for message in sent {
            for _ in 0..self.rng.usize(1..3) {
                if self.rng.f64() >= self.loss {
                    self.messages.push((real_time + self.rng.i64(0..5000), *message));
                }
            }
        }
    }

    /// A window by the slowest of clocks is no longer than this by the unseen one.
    fn spent_in_window(&self, real_time: i64) -> u32 {
        let since = real_time - (WINDOW as f64 * (1.0 - 2.0 * MAX_RATE_ERROR)) as i64;
        let recent = self.spendings.iter().rev().take_while(|(at, _)| *at >= since);
        recent.map(|(_, units)| units).sum()
    }
}

/// Simulates so many seeds, or the one that the environment names.
#[rstest]
#[case(0.0)]
#[case(0.3)]
#[case(1.0)]
fn never_spends_more_than_the_total(#[case] loss: f64) {
    let named = std::env::var("FLEET_SEED").ok().and_then(|seed| seed.parse().ok());
    let seeds: Vec<u64> = named.map_or((0..40).collect(), |seed| vec![seed]);
    for seed in seeds {
        let Spent { most_in_window, by_first: lent } = Simulation::new(seed, loss, true).run();
        let Spent { by_first: alone, .. } = Simulation::new(seed, loss, false).run();
        println!(
            "FLEET_SEED={seed} loss {loss}: at the most {most_in_window} of {TOTAL_UNITS}; \
            the first spent {lent}, alone {alone}"
        );
        assert!(most_in_window <= TOTAL_UNITS, "FLEET_SEED={seed}: {most_in_window} spent in a window");
        // Where all messages are lost it does as well as alone; else it has more than its share.
        assert!(
            loss < 1.0 && lent * 10 > alone * 11 || loss == 1.0 && lent * 10 > alone * 7,
            "FLEET_SEED={seed}"
        );
    }
}
