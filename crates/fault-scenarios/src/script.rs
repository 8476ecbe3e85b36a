//! A scenario as a list of moments for a fleet of a size: the same scenario, fleet and seed give the same
//! list.

use crate::scenario::{On, Scenario, Trouble, What};
use routing::Tenths;

/// How large a fleet is. A host's hall and cell go by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    pub hosts: u32,
    pub halls: u32,
    pub cells: u32,
    pub brokers: u32,
}

impl Fleet {
    /// Cells lie in one hall each, as far as there are cells enough.
    pub fn hall_of(&self, host: u32) -> u32 {
        self.cell_of(host) % self.halls.max(1)
    }

    pub fn cell_of(&self, host: u32) -> u32 {
        host % self.cells.max(1)
    }
}

/// What is to be done at a moment. `begins` says whether it begins or ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Down {
        host: u32,
        begins: bool,
    },
    Drain {
        host: u32,
    },
    /// A drain's time is up.
    Drained {
        host: u32,
    },
    Silence {
        host: u32,
        begins: bool,
    },
    Crawl {
        host: u32,
        share: f64,
        begins: bool,
    },
    /// Stands still for so long in each span.
    Pause {
        host: u32,
        stands: Tenths,
        every: Tenths,
        begins: bool,
    },
    Refuse {
        host: u32,
        begins: bool,
    },
    Garble {
        host: u32,
        share: f64,
        begins: bool,
    },
    Cut {
        host: u32,
        to: bool,
        from: bool,
        begins: bool,
    },
    Delay {
        host: u32,
        more: Tenths,
        to: bool,
        from: bool,
        begins: bool,
    },
    LateRoll {
        more: Tenths,
        begins: bool,
    },
    SilentRoll {
        begins: bool,
    },
    Storm {
        times: f64,
        /// Whose; none: everybody's.
        tenant: Option<u32>,
        begins: bool,
    },
    Heavy {
        share: f64,
        times: f64,
        begins: bool,
    },
    Killer {
        share: f64,
        begins: bool,
    },
    Forget {
        broker: u32,
    },
    Lopsided {
        share: f64,
        begins: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moment {
    pub at: Tenths,
    pub act: Act,
}

fn seconds(s: f64) -> Tenths {
    Tenths::from_ms(s * 1000.0)
}

impl Scenario {
    /// In the order of time; what falls on one moment in the order of the text.
    pub fn script(&self, fleet: &Fleet, seed: u64) -> Vec<Moment> {
        let mut script = Vec::new();
        for (no, trouble) in self.troubles.iter().enumerate() {
            let mut rng = fastrand::Rng::with_seed(seed ^ (no as u64 + 1).rotate_left(40));
            trouble.moments(fleet, &mut rng, &mut script);
        }
        script.sort_by_key(|moment: &Moment| moment.at);
        script
    }
}

impl On {
    /// The hosts that are meant, in their order.
    fn hosts(&self, fleet: &Fleet, rng: &mut fastrand::Rng) -> Vec<u32> {
        let fits = |host: &u32| {
            self.hall.is_none_or(|hall| fleet.hall_of(*host) == hall % fleet.halls.max(1))
                && self.cell.is_none_or(|cell| fleet.cell_of(*host) == cell % fleet.cells.max(1))
                && self.host.is_none_or(|one| *host == one % fleet.hosts.max(1))
        };
        let mut hosts: Vec<u32> = (0..fleet.hosts).filter(fits).collect();
        let count = ((hosts.len() as f64 * self.share).round() as usize).clamp(1, hosts.len().max(1));
        rng.shuffle(&mut hosts);
        hosts.truncate(count);
        hosts.sort_unstable();
        hosts
    }
}

impl Trouble {
    fn moments(&self, fleet: &Fleet, rng: &mut fastrand::Rng, script: &mut Vec<Moment>) {
        let (begin, end) = (seconds(self.at), seconds(self.at + self.lasts));
        let hosts = self.on.hosts(fleet, rng);
        let (size, to, from) = (self.size, self.to, self.from);
        let mut span = |act: &dyn Fn(bool) -> Act| {
            script.extend([(begin, true), (end, false)].map(|(at, begins)| Moment { at, act: act(begins) }));
        };
        let mut on_each =
            |act: &dyn Fn(u32, bool) -> Act| hosts.iter().for_each(|host| span(&|begins| act(*host, begins)));
        match self.what {
            What::Lose => on_each(&|host, begins| Act::Down { host, begins }),
            What::Silence => on_each(&|host, begins| Act::Silence { host, begins }),
            What::Crawl => on_each(&|host, begins| Act::Crawl { host, share: size, begins }),
            What::Pause => {
                let (stands, every) = (Tenths::from_ms(size), Tenths::from_ms(self.every_ms));
                on_each(&|host, begins| Act::Pause { host, stands, every, begins });
            }
            What::Refuse => on_each(&|host, begins| Act::Refuse { host, begins }),
            What::Garble => on_each(&|host, begins| Act::Garble { host, share: size, begins }),
            What::Cut => on_each(&|host, begins| Act::Cut { host, to, from, begins }),
            What::Delay => {
                let more = Tenths::from_ms(size);
                on_each(&|host, begins| Act::Delay { host, more, to, from, begins });
            }
            What::LateRoll => span(&|begins| Act::LateRoll { more: Tenths::from_ms(size), begins }),
            What::SilentRoll => span(&|begins| Act::SilentRoll { begins }),
            What::Storm => span(&|begins| Act::Storm { times: size, tenant: self.tenant, begins }),
            What::Heavy => span(&|begins| Act::Heavy { share: size, times: self.times, begins }),
            What::Killer => span(&|begins| Act::Killer { share: size, begins }),
            What::Lopsided => span(&|begins| Act::Lopsided { share: size, begins }),
            What::Drain => hosts.iter().for_each(|host| self.restart(*host, begin, end, script)),
            What::Release => {
                // One wave after the other; each has its even part of the span.
                let wave = ((f64::from(fleet.hosts) * size).round() as usize).max(1);
                let waves = hosts.chunks(wave);
                let each = self.lasts / waves.len().max(1) as f64;
                for (no, wave) in waves.enumerate() {
                    let begin = self.at + each * no as f64;
                    let (begin, end) = (seconds(begin), seconds(begin + each.max(self.drain_s)));
                    wave.iter().for_each(|host| self.restart(*host, begin, end, script));
                }
            }
            What::Forget => {
                let count = (f64::from(fleet.brokers) * size).round() as usize;
                let mut brokers: Vec<u32> = (0..fleet.brokers).collect();
                rng.shuffle(&mut brokers);
                brokers.truncate(count.max(1));
                brokers.sort_unstable();
                script.extend(
                    brokers.into_iter().map(|broker| Moment { at: begin, act: Act::Forget { broker } }),
                );
            }
        }
    }

    /// Drains, ends, and comes back cold.
    fn restart(&self, host: u32, begin: Tenths, end: Tenths, script: &mut Vec<Moment>) {
        let drained = (begin + seconds(self.drain_s)).min(end);
        script.push(Moment { at: begin, act: Act::Drain { host } });
        script.push(Moment { at: drained, act: Act::Drained { host } });
        script.push(Moment { at: end, act: Act::Down { host, begins: false } });
    }
}
