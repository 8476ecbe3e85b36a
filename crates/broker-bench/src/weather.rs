//! What the troubles of a day come to at a moment: which hosts stand how, which ways are cut or long, what
//! the endpoint list tells, what clients ask. Decisions and state only; [`crate::rehearse`] carries them out.

use fault_scenarios::{ActiveFaults, ClusterSize, Direction, FaultAction, NodeTransition};
use routing::Tenths;

/// What is to be done about a host now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Do {
    Change {
        host: usize,
        transition: NodeTransition,
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
    cluster: ClusterSize,
    near: Tenths,
    far: Tenths,
    pub active_faults: Vec<ActiveFaults>,
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
    pub fn new(cluster: ClusterSize, near: Tenths, far: Tenths, seed: u64) -> Weather {
        let hosts = cluster.nodes as usize;
        Weather {
            cluster,
            near,
            far,
            active_faults: vec![ActiveFaults::default(); hosts],
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
        if self.cuts[host][side] > 0 || self.active_faults[host].is_unresponsive() {
            return None;
        }
        let home = broker as u32 % self.cluster.zones.max(1);
        let base = if self.cluster.zone_of(host as u32) == home { self.near } else { self.far };
        Some(base + self.more[host][side])
    }

    pub fn hall_of(&self, host: usize) -> u32 {
        self.cluster.zone_of(host as u32)
    }

    /// How much later than usual the endpoint list tells; none: it tells nothing.
    pub fn roll(&self) -> Option<Tenths> {
        (self.roll_silent == 0).then_some(self.roll_more)
    }

    /// Whether what a host answers now is an error.
    pub fn spoils(&mut self, host: usize) -> bool {
        let errors = self.active_faults[host].error_share();
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
    pub fn enter(&mut self, action: FaultAction) -> Option<Do> {
        let sign = |begins: bool| if begins { 1 } else { -1 };
        let change =
            |node: u32, transition: NodeTransition| Some(Do::Change { host: node as usize, transition });
        match action {
            FaultAction::Outage { node, begins } => {
                let faults = &mut self.active_faults[node as usize];
                change(node, if begins { faults.begin_outage() } else { faults.end_outage() })
            }
            FaultAction::BeginDrain { node } => change(node, self.active_faults[node as usize].begin_drain()),
            FaultAction::FinishDrain { node } => {
                change(node, self.active_faults[node as usize].finish_drain())
            }
            FaultAction::Unresponsive { node, begins } => {
                let host = node as usize;
                let was = self.active_faults[host].is_unresponsive();
                self.active_faults[host].set_unresponsive(begins);
                match (was, self.active_faults[host].is_unresponsive()) {
                    (false, true) => Some(Do::Silent { host }),
                    (true, false) => Some(Do::Sounds { host }),
                    _ => None,
                }
            }
            FaultAction::Slowdown { node, speed_factor, begins } => {
                let host = node as usize;
                self.active_faults[host].set_slowdown(speed_factor, begins);
                Some(Do::Speed { host, share: self.active_faults[host].speed_factor() })
            }
            FaultAction::Pause { node, cycle, begins } => {
                self.active_faults[node as usize].set_pause(cycle, begins);
                begins.then_some(Do::Pause { host: node as usize })
            }
            FaultAction::Rejection { node, begins } => {
                self.active_faults[node as usize].set_rejecting(begins);
                None
            }
            FaultAction::Errors { node, share, begins } => {
                self.active_faults[node as usize].set_errors(share, begins);
                None
            }
            FaultAction::Partition { node, direction, begins } => {
                for side in affected_sides(direction) {
                    let cut = &mut self.cuts[node as usize][side];
                    *cut = cut.saturating_add_signed(sign(begins));
                }
                None
            }
            FaultAction::NetworkDelay { node, added, direction, begins } => {
                for side in affected_sides(direction) {
                    self.more[node as usize][side] += added.times(f64::from(sign(begins)));
                }
                None
            }
            FaultAction::EndpointListDelay { added, begins } => {
                self.roll_more += added.times(f64::from(sign(begins)));
                None
            }
            FaultAction::EndpointListOutage { begins } => {
                self.roll_silent = self.roll_silent.saturating_add_signed(sign(begins));
                (self.roll_silent == 0).then_some(Do::RollBack)
            }
            FaultAction::QueryOfDeath { share, begins } => {
                self.killers = if begins { share } else { 0.0 };
                None
            }
            FaultAction::SkewedTraffic { share, begins } => {
                self.lopsided = if begins { share } else { 0.0 };
                None
            }
            FaultAction::RestartBroker { broker } => Some(Do::Forget { broker: broker as usize }),
            // What is asked is laid down before the day begins.
            FaultAction::TrafficSurge { .. } | FaultAction::HeavyQueries { .. } => None,
        }
    }
}

/// The indices of the affected sides, as in `cuts` and `more`: 0 to the node, 1 from it.
fn affected_sides(direction: Direction) -> impl Iterator<Item = usize> {
    let sides = [direction.includes_to_node(), direction.includes_from_node()];
    sides.into_iter().enumerate().filter_map(|(side, is_affected)| is_affected.then_some(side))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const NEAR: Tenths = Tenths(5);
    const FAR: Tenths = Tenths(20);

    fn weather() -> Weather {
        Weather::new(ClusterSize { nodes: 4, zones: 2, placement_groups: 4, brokers: 2 }, NEAR, FAR, 1)
    }

    /// Each direction for itself, and as it was when the trouble is over.
    #[rstest]
    #[case(Direction::ToNode, None, Some(NEAR))]
    #[case(Direction::FromNode, Some(NEAR), None)]
    #[case(Direction::Both, None, None)]
    fn cuts(#[case] direction: Direction, #[case] there: Option<Tenths>, #[case] back: Option<Tenths>) {
        let mut weather = weather();
        assert_eq!((weather.way(0, 0, true), weather.way(0, 1, true)), (Some(NEAR), Some(FAR)));
        // Twice: it holds until both are over.
        for begins in [true, true, false] {
            weather.enter(FaultAction::Partition { node: 0, direction, begins });
        }
        assert_eq!((weather.way(0, 0, true), weather.way(0, 0, false)), (there, back));
        weather.enter(FaultAction::Partition { node: 0, direction, begins: false });
        assert_eq!((weather.way(0, 0, true), weather.way(0, 0, false)), (Some(NEAR), Some(NEAR)));
    }

    #[rstest]
    fn delays_add_up_and_end() {
        let mut weather = weather();
        let mut delay = |more, begins| {
            let (added, direction) = (Tenths(more), Direction::ToNode);
            weather.enter(FaultAction::NetworkDelay { node: 0, added, direction, begins });
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
        let mut silence = |begins| weather.enter(FaultAction::Unresponsive { node: 2, begins });
        assert_eq!([silence(true), silence(true)], [Some(Do::Silent { host: 2 }), None]);
        assert_eq!(silence(false), None);
        assert_eq!(weather.way(0, 2, true), None);
        assert_eq!(
            weather.enter(FaultAction::Unresponsive { node: 2, begins: false }),
            Some(Do::Sounds { host: 2 })
        );
        assert_eq!(weather.way(0, 2, false), Some(NEAR));
    }

    #[rstest]
    fn the_roll_is_late_or_silent() {
        let mut weather = weather();
        weather.enter(FaultAction::EndpointListDelay { added: Tenths(100), begins: true });
        assert_eq!(weather.roll(), Some(Tenths(100)));
        assert_eq!(weather.enter(FaultAction::EndpointListOutage { begins: true }), None);
        assert_eq!(weather.roll(), None);
        assert_eq!(weather.enter(FaultAction::EndpointListOutage { begins: false }), Some(Do::RollBack));
        weather.enter(FaultAction::EndpointListDelay { added: Tenths(100), begins: false });
        assert_eq!(weather.roll(), Some(Tenths::ZERO));
    }

    #[rstest]
    fn shares_are_drawn() {
        let mut weather = weather();
        weather.enter(FaultAction::SkewedTraffic { share: 0.5, begins: true });
        let first = (0..10_000).filter(|_| weather.broker(1, 2) == 0).count();
        assert!((4_700..5_300).contains(&first), "{first}");
        weather.enter(FaultAction::SkewedTraffic { share: 0.5, begins: false });
        assert!((0..100).all(|no| weather.broker(no, 2) == no % 2));
        assert!(!weather.kills() && !weather.spoils(0));
        weather.enter(FaultAction::Errors { node: 0, share: 1.0, begins: true });
        weather.enter(FaultAction::QueryOfDeath { share: 1.0, begins: true });
        assert!(weather.kills() && weather.spoils(0) && !weather.spoils(1));
    }
}
