//! What the troubles of a day come to at a moment: which hosts stand how, which ways are cut or long, what
//! the endpoint list tells, what clients ask. Decisions and state only; [`crate::rehearse`] carries them out.

use fault_scenarios::{Act, Book, Change, Fleet};
use routing::Tenths;

/// What is to be done about a host now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Do {
    Change {
        host: usize,
        change: Change,
    },
    Speed {
        host: usize,
        share: f64,
    },
    /// Its pauses begin.
    Pause {
        host: usize,
    },
    /// It falls silent: what it had is lost, and nobody is told.
    Silent {
        host: usize,
    },
    /// It is back, cold, after its silence.
    Sounds {
        host: usize,
    },
    /// Discovery speaks again.
    RollBack,
    Forget {
        broker: usize,
    },
}

pub struct Weather {
    fleet: Fleet,
    near: Tenths,
    far: Tenths,
    pub books: Vec<Book>,
    /// Cuts that hold, to a host and from it; and what its way takes longer.
    cuts: Vec<[u32; 2]>,
    more: Vec<[Tenths; 2]>,
    roll_more: Tenths,
    roll_silent: u32,
    killers: f64,
    /// The share that one broker gets.
    lopsided: f64,
    rng: fastrand::Rng,
}

impl Weather {
    pub fn new(fleet: Fleet, near: Tenths, far: Tenths, seed: u64) -> Weather {
        let hosts = fleet.hosts as usize;
        Weather {
            fleet,
            near,
            far,
            books: vec![Book::default(); hosts],
            cuts: vec![[0, 0]; hosts],
            more: vec![[Tenths::ZERO; 2]; hosts],
            roll_more: Tenths::ZERO,
            roll_silent: 0,
            killers: 0.0,
            lopsided: 0.0,
            rng: fastrand::Rng::with_seed(seed ^ 0x3ea7),
        }
    }

    /// The way between a broker and a host, to it or from it; none: what is sent is lost.
    pub fn way(&self, broker: usize, host: usize, to: bool) -> Option<Tenths> {
        let side = usize::from(!to);
        if self.cuts[host][side] > 0 || self.books[host].is_silent() {
            return None;
        }
        let home = broker as u32 % self.fleet.halls.max(1);
        let base = if self.fleet.hall_of(host as u32) == home { self.near } else { self.far };
        Some(base + self.more[host][side])
    }

    pub fn hall_of(&self, host: usize) -> u32 {
        self.fleet.hall_of(host as u32)
    }

    /// How much later than usual the endpoint list tells; none: it tells nothing.
    pub fn roll(&self) -> Option<Tenths> {
        (self.roll_silent == 0).then_some(self.roll_more)
    }

    /// Whether what a host answers now is an error.
    pub fn spoils(&mut self, host: usize) -> bool {
        let errors = self.books[host].errors();
        errors > 0.0 && self.rng.f64() < errors
    }

    /// Whether a query that is asked now brings hosts down.
    pub fn kills(&mut self) -> bool {
        self.killers > 0.0 && self.rng.f64() < self.killers
    }

    /// Who is asked, of so many brokers, for the query of this number.
    pub fn broker(&mut self, no: usize, brokers: usize) -> usize {
        if self.lopsided > 0.0 && self.rng.f64() < self.lopsided { 0 } else { no % brokers }
    }

    /// By lot, up to one.
    pub fn lot(&mut self) -> f64 {
        self.rng.f64()
    }

    /// Enters what begins or ends; what is to be done about it.
    pub fn enter(&mut self, act: Act) -> Option<Do> {
        let sign = |begins: bool| if begins { 1 } else { -1 };
        let change = |host: u32, change: Change| Some(Do::Change { host: host as usize, change });
        match act {
            Act::Down { host, begins } => {
                let book = &mut self.books[host as usize];
                change(host, if begins { book.down() } else { book.up() })
            }
            Act::Drain { host } => change(host, self.books[host as usize].drain()),
            Act::Drained { host } => change(host, self.books[host as usize].drained()),
            Act::Silence { host, begins } => {
                let host = host as usize;
                let was = self.books[host].is_silent();
                self.books[host].silence(begins);
                match (was, self.books[host].is_silent()) {
                    (false, true) => Some(Do::Silent { host }),
                    (true, false) => Some(Do::Sounds { host }),
                    _ => None,
                }
            }
            Act::Crawl { host, share, begins } => {
                let host = host as usize;
                self.books[host].crawl(share, begins);
                Some(Do::Speed { host, share: self.books[host].speed() })
            }
            Act::Pause { host, stands, every, begins } => {
                self.books[host as usize].pause((stands.0, every.0), begins);
                begins.then_some(Do::Pause { host: host as usize })
            }
            Act::Refuse { host, begins } => {
                self.books[host as usize].refuse(begins);
                None
            }
            Act::Garble { host, share, begins } => {
                self.books[host as usize].garble(share, begins);
                None
            }
            Act::Cut { host, to, from, begins } => {
                for (side, _) in [to, from].into_iter().enumerate().filter(|(_, holds)| *holds) {
                    let cut = &mut self.cuts[host as usize][side];
                    *cut = cut.saturating_add_signed(sign(begins));
                }
                None
            }
            Act::Delay { host, more, to, from, begins } => {
                for (side, _) in [to, from].into_iter().enumerate().filter(|(_, holds)| *holds) {
                    self.more[host as usize][side] += more.times(f64::from(sign(begins)));
                }
                None
            }
            Act::LateRoll { more, begins } => {
                self.roll_more += more.times(f64::from(sign(begins)));
                None
            }
            Act::SilentRoll { begins } => {
                self.roll_silent = self.roll_silent.saturating_add_signed(sign(begins));
                (self.roll_silent == 0).then_some(Do::RollBack)
            }
            Act::Killer { share, begins } => {
                self.killers = if begins { share } else { 0.0 };
                None
            }
            Act::Lopsided { share, begins } => {
                self.lopsided = if begins { share } else { 0.0 };
                None
            }
            Act::Forget { broker } => Some(Do::Forget { broker: broker as usize }),
            // What is asked is laid down before the day begins.
            Act::Storm { .. } | Act::Heavy { .. } => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const NEAR: Tenths = Tenths(5);
    const FAR: Tenths = Tenths(20);

    fn weather() -> Weather {
        Weather::new(Fleet { hosts: 4, halls: 2, cells: 4, brokers: 2 }, NEAR, FAR, 1)
    }

    /// Each direction for itself, and as it was when the trouble is over.
    #[rstest]
    #[case(true, false, None, Some(NEAR))]
    #[case(false, true, Some(NEAR), None)]
    #[case(true, true, None, None)]
    fn cuts(
        #[case] to: bool,
        #[case] from: bool,
        #[case] there: Option<Tenths>,
        #[case] back: Option<Tenths>,
    ) {
        let mut weather = weather();
        assert_eq!((weather.way(0, 0, true), weather.way(0, 1, true)), (Some(NEAR), Some(FAR)));
        // Twice: it holds until both are over.
        for begins in [true, true, false] {
            weather.enter(Act::Cut { host: 0, to, from, begins });
        }
        assert_eq!((weather.way(0, 0, true), weather.way(0, 0, false)), (there, back));
        weather.enter(Act::Cut { host: 0, to, from, begins: false });
        assert_eq!((weather.way(0, 0, true), weather.way(0, 0, false)), (Some(NEAR), Some(NEAR)));
    }

    #[rstest]
    fn delays_add_up_and_end() {
        let mut weather = weather();
        let mut delay = |more, begins| {
            weather.enter(Act::Delay { host: 0, more: Tenths(more), to: true, from: false, begins });
            (weather.way(0, 0, true).unwrap().0, weather.way(0, 0, false).unwrap().0)
        };
        assert_eq!(
            [delay(7, true), delay(3, true), delay(7, false), delay(3, false)],
            [(12, 5), (15, 5), (8, 5), (5, 5)]
        );
    }

    /// Silence loses what is under way, in both directions; it begins once, and ends once.
    #[rstest]
    fn falls_silent_once() {
        let mut weather = weather();
        let mut silence = |begins| weather.enter(Act::Silence { host: 2, begins });
        assert_eq!([silence(true), silence(true)], [Some(Do::Silent { host: 2 }), None]);
        assert_eq!(silence(false), None);
        assert_eq!(weather.way(0, 2, true), None);
        assert_eq!(weather.enter(Act::Silence { host: 2, begins: false }), Some(Do::Sounds { host: 2 }));
        assert_eq!(weather.way(0, 2, false), Some(NEAR));
    }

    #[rstest]
    fn the_roll_is_late_or_silent() {
        let mut weather = weather();
        weather.enter(Act::LateRoll { more: Tenths(100), begins: true });
        assert_eq!(weather.roll(), Some(Tenths(100)));
        assert_eq!(weather.enter(Act::SilentRoll { begins: true }), None);
        assert_eq!(weather.roll(), None);
        assert_eq!(weather.enter(Act::SilentRoll { begins: false }), Some(Do::RollBack));
        weather.enter(Act::LateRoll { more: Tenths(100), begins: false });
        assert_eq!(weather.roll(), Some(Tenths::ZERO));
    }

    #[rstest]
    fn shares_are_drawn() {
        let mut weather = weather();
        weather.enter(Act::Lopsided { share: 0.5, begins: true });
        let first = (0..10_000).filter(|_| weather.broker(1, 2) == 0).count();
        assert!((4_700..5_300).contains(&first), "{first}");
        weather.enter(Act::Lopsided { share: 0.5, begins: false });
        assert!((0..100).all(|no| weather.broker(no, 2) == no % 2));
        assert!(!weather.kills() && !weather.spoils(0));
        weather.enter(Act::Garble { host: 0, share: 1.0, begins: true });
        weather.enter(Act::Killer { share: 1.0, begins: true });
        assert!(weather.kills() && weather.spoils(0) && !weather.spoils(1));
    }
}
