//! Whether a version on trial is to blame for what ends badly. It compares the share of queries taken
//! under it that ended badly with the share before, beyond noise; and it holds its tongue while nodes are
//! lost, for a hall that fell in the same minute looks the same from here.
//!
//! What it can't tell: a version that brings nodes down (it takes that for a cloud); a trouble of tenants or
//! of the way to them that began in the same span as the version; harm too rare for the traffic that there
//! was.

use crate::policy::RolloutPolicy;
use ProbationCondition::{Clear, Overcast};
use routing::Tenths;
use std::collections::VecDeque;

/// How queries of the running version ended, counted up since it was applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    pub ended: u64,
    /// Late, declined, scrapped or turned away.
    pub bad: u64,
    /// Of these: those of which an attempt found its node down, or lost its connection.
    pub by_nodes: u64,
    /// Nodes that are ready now.
    pub ready: u64,
}

impl Sample {
    /// Both together, with the more nodes of either.
    fn and(self, other: Sample) -> Sample {
        Sample {
            ended: self.ended + other.ended,
            bad: self.bad + other.bad,
            by_nodes: self.by_nodes + other.by_nodes,
            ready: self.ready.max(other.ready),
        }
    }

    pub(crate) fn since(self, before: Sample) -> Sample {
        Sample {
            ended: self.ended.saturating_sub(before.ended),
            bad: self.bad.saturating_sub(before.bad),
            by_nodes: self.by_nodes.saturating_sub(before.by_nodes),
            ready: self.ready,
        }
    }

    /// Those that ended badly while their nodes were sound.
    fn unblamed(self) -> u64 {
        self.bad.saturating_sub(self.by_nodes)
    }
}

/// Whether nodes are being lost while a version is on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbationCondition {
    Clear,
    Overcast,
}

/// What the trial has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Waits,
    Proven,
    /// It ended without a verdict.
    Unproven(String),
    Failed(String),
    /// It makes a pause, told when it begins.
    Clouded(String),
}

type Guard = fn(&Probation, &Look) -> bool;
type Act = fn(&mut Probation, &Look) -> Verdict;

struct Row(&'static [ProbationCondition], Guard, ProbationCondition, Act);

/// Under a sky, if the guard holds: the next sky, and the verdict. The first row that fits is taken.
#[rustfmt::skip]
const TABLE: &[Row] = &[
    Row(&[Clear],    Probation::loses_nodes, Overcast, Probation::pause),
    Row(&[Clear],    Probation::is_too_long, Clear,    Probation::give_up),
    Row(&[Overcast], Probation::is_too_long, Clear,    Probation::give_up_lost),
    Row(&[Overcast], Probation::loses_nodes, Overcast, Probation::skip),
    Row(&[Overcast], |_, _| true,        Clear,    Probation::begin_anew),
    Row(&[Clear],    Probation::is_worse,    Clear,    Probation::blame),
    Row(&[Clear],    Probation::is_over,     Clear,    Probation::prove),
    Row(&[Clear],    |_, _| true,        Clear,    Probation::wait),
];

/// How many standard deviations a difference must lie off: it is looked at again and again, so that two would
/// blame a sound version every few minutes.
const DEVIATIONS: f64 = 4.0;
/// A fall of the ready nodes to less than this share of what there were is a cloud.
const READY_LEFT: f64 = 0.9;
/// Where too little ended before to compare with, this share ending badly is taken for usual.
const USUAL: f64 = 0.5;
/// The span before is looked at in so many pieces: the worst counts, so that a trouble that began shortly
/// before the version is not laid to it.
const PIECES: usize = 4;

/// What one look at the counts shows.
struct Look {
    now: Tenths,
    /// Since the sky was last clear.
    after: Sample,
}

/// How queries ended of late, a piece for each time that it was told; as long back as a trial compares
/// with.
#[derive(Clone, Debug, Default)]
pub struct Past {
    pieces: VecDeque<(Tenths, Sample)>,
}

impl Past {
    /// Adds what ended since the last time.
    pub fn note(&mut self, now: Tenths, since_last: Sample, span: Tenths) {
        self.pieces.push_back((now, since_last));
        while self.pieces.front().is_some_and(|(at, _)| *at <= now - span) {
            self.pieces.pop_front();
        }
    }

    fn level(&self) -> Level {
        let count = self.pieces.len();
        let sum = |from: usize, to: usize| {
            let pieces = self.pieces.range(from..to).map(|(_, piece)| *piece);
            pieces.fold(Sample::default(), Sample::and)
        };
        let pieces = (0..PIECES).map(|no| sum(count * no / PIECES, count * (no + 1) / PIECES)).collect();
        let whole = sum(0, count);
        Level { ready: whole.ready, whole, pieces }
    }
}

/// How it was before the version.
#[derive(Clone, Debug, Default)]
struct Level {
    ready: u64,
    whole: Sample,
    pieces: Vec<Sample>,
}

impl Level {
    /// The share, at the most, that ended so before; the worst piece counts.
    fn at_most(&self, least: u64, count: fn(Sample) -> u64, unknown: f64) -> f64 {
        let known = self.pieces.iter().chain([&self.whole]).filter(|piece| piece.ended >= least);
        let most = known.map(|piece| wilson(count(*piece), piece.ended).1).fold(f64::NAN, f64::max);
        if most.is_nan() { unknown } else { most }
    }
}

#[derive(Debug)]
pub struct Probation {
    patience: RolloutPolicy,
    before: Level,
    began: Tenths,
    /// When the sky was last clear, and the counts at that time.
    clear_since: (Tenths, Sample),
    sky: ProbationCondition,
}

impl Probation {
    /// Of a version that is applied now, after this past.
    pub fn new(patience: RolloutPolicy, past: &Past, now: Tenths) -> Probation {
        let clear_since = (now, Sample::default());
        Probation { patience, before: past.level(), began: now, clear_since, sky: Clear }
    }

    /// Of one that takes the place of another on trial: the measure stays what was before both.
    pub fn follow(&self, now: Tenths) -> Probation {
        let (patience, before) = (self.patience.clone(), self.before.clone());
        Probation { patience, before, began: now, clear_since: (now, Sample::default()), sky: Clear }
    }

    pub fn sky(&self) -> ProbationCondition {
        self.sky
    }

    /// The loop that reads `TABLE`; `sample` counts since the version was applied.
    pub fn judge(&mut self, now: Tenths, sample: Sample) -> Verdict {
        let look = Look { now, after: sample.since(self.clear_since.1) };
        let row = TABLE.iter().find(|row| row.0.contains(&self.sky) && row.1(self, &look));
        let Some(Row(.., sky, act)) = row else { return Verdict::Waits };
        self.sky = *sky;
        if self.sky == Overcast {
            // What ends under a cloud is not counted, nor is the time.
            self.clear_since = (now, sample);
        }
        act(self, &look)
    }

    // ---- guards

    /// Fewer nodes than before, or more queries that found theirs down.
    fn loses_nodes(&self, look: &Look) -> bool {
        let RolloutPolicy { least_ended, margin, .. } = self.patience;
        let usual = self.before.at_most(least_ended, |sample| sample.by_nodes, 0.0);
        let (least, _) = wilson(look.after.by_nodes, look.after.ended);
        (look.after.ready as f64) < self.before.ready as f64 * READY_LEFT || least > usual + margin
    }

    fn is_too_long(&self, look: &Look) -> bool {
        look.now - self.began >= self.patience.longest_trial
    }

    /// The share that ended badly with sound nodes is beyond what it was, by more than noise and the margin.
    fn is_worse(&self, look: &Look) -> bool {
        let RolloutPolicy { least_ended, margin, .. } = self.patience;
        let usual = self.before.at_most(least_ended, Sample::unblamed, USUAL);
        let (least, _) = wilson(look.after.unblamed(), look.after.ended);
        look.after.ended >= least_ended && least > usual + margin
    }

    /// Time and queries enough, and what was seen does not look worse. One that does, though not beyond
    /// noise, is looked at on.
    fn is_over(&self, look: &Look) -> bool {
        let RolloutPolicy { least_ended, margin, trial, .. } = self.patience;
        let usual = self.before.at_most(least_ended, Sample::unblamed, USUAL);
        let looks_worse = look.after.unblamed() as f64 > (usual + margin) * look.after.ended as f64;
        look.now - self.clear_since.0 >= trial && look.after.ended >= least_ended && !looks_worse
    }

    // ---- acts

    fn wait(&mut self, _: &Look) -> Verdict {
        Verdict::Waits
    }

    fn skip(&mut self, _: &Look) -> Verdict {
        Verdict::Waits
    }

    fn begin_anew(&mut self, _: &Look) -> Verdict {
        Verdict::Waits
    }

    fn pause(&mut self, look: &Look) -> Verdict {
        let (ready, were) = (look.after.ready, self.before.ready);
        let Sample { ended, by_nodes, .. } = look.after;
        Verdict::Clouded(format!(
            "nodes are being lost ({ready} ready, {were} before; {by_nodes} of {ended} retrievals found theirs down)"
        ))
    }

    fn give_up(&mut self, look: &Look) -> Verdict {
        let (ended, least) = (look.after.ended, self.patience.least_ended);
        Verdict::Unproven(match ended < least {
            true => format!("{ended} retrievals ended, {least} are needed"),
            false => {
                "it looked worse, though not beyond doubt, or nodes were being lost on and off".to_owned()
            }
        })
    }

    fn give_up_lost(&mut self, _: &Look) -> Verdict {
        Verdict::Unproven("nodes were being lost all the while".to_owned())
    }

    fn prove(&mut self, _: &Look) -> Verdict {
        Verdict::Proven
    }

    fn blame(&mut self, look: &Look) -> Verdict {
        let (after, before) = (look.after, self.before.whole);
        let seconds = (look.now - self.clear_since.0).as_ms() / 1000.0;
        Verdict::Failed(format!(
            "{} of {} retrievals ended badly in {seconds:.1} s, {} of {} before it",
            after.unblamed(),
            after.ended,
            before.unblamed(),
            before.ended
        ))
    }
}

/// Between what bounds a share lies of which so many of so many were seen (Wilson's score interval).
fn wilson(seen: u64, of: u64) -> (f64, f64) {
    if of == 0 {
        return (0.0, 1.0);
    }
    let (n, z) = (of as f64, DEVIATIONS);
    let share = (seen.min(of)) as f64 / n;
    let centre = share + z * z / (2.0 * n);
    let spread = z * (share * (1.0 - share) / n + z * z / (4.0 * n * n)).sqrt();
    let whole = 1.0 + z * z / n;
    (((centre - spread) / whole).max(0.0), ((centre + spread) / whole).min(1.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const SECOND: i64 = 10_000;

    /// A minute of 20 queries a second before: so many of a hundred bad, in each quarter of it.
    fn past(bad: [u64; 4]) -> Past {
        let mut past = Past::default();
        for second in 0..60 {
            let bad = 20 * bad[(second / 15) as usize] / 100;
            let piece = Sample { ended: 20, bad, by_nodes: 0, ready: 100 };
            past.note(Tenths(second * SECOND), piece, Tenths(60 * SECOND));
        }
        past
    }

    /// Plays a trial, a second at a time, to its first word; with the second.
    fn play(past: &Past, each: impl Fn(i64, &mut Sample)) -> (i64, Verdict) {
        let mut trial = Probation::new(RolloutPolicy::default(), past, Tenths(61 * SECOND));
        let mut counts = Sample { ready: 100, ..Sample::default() };
        for second in 1..=1000 {
            each(second, &mut counts);
            match trial.judge(Tenths((61 + second) * SECOND), counts) {
                Verdict::Waits | Verdict::Clouded(_) => {}
                verdict => return (second, verdict),
            }
        }
        panic!("no word in a thousand seconds");
    }

    fn is_failed(verdict: &Verdict) -> bool {
        matches!(verdict, Verdict::Failed(_))
    }

    #[rstest]
    fn a_sound_one_is_proven_when_its_time_is_over() {
        let word = play(&past([0; 4]), |_, counts| counts.ended += 20);
        assert_eq!(word, (60, Verdict::Proven));
    }

    /// One that makes all fail from its third second on is blamed within seconds.
    #[rstest]
    fn blames_what_fails_seconds_later() {
        let (at, verdict) = play(&past([0; 4]), |second, counts| {
            counts.ended += 20;
            counts.bad += if second > 3 { 20 } else { 0 };
        });
        assert!(is_failed(&verdict) && at <= 7, "{at}: {verdict:?}");
    }

    /// Noise about the same share is not blamed, by whatever seed.
    #[rstest]
    #[case(0.02)]
    #[case(0.2)]
    fn does_not_blame_noise(#[case] share: f64) {
        for seed in 0..300 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut draw = |counts: &mut Sample| {
                counts.ended += 20;
                counts.bad += (0..20).filter(|_| rng.f64() < share).count() as u64;
            };
            let mut past = Past::default();
            for second in 0..60 {
                let mut piece = Sample { ready: 100, ..Sample::default() };
                draw(&mut piece);
                past.note(Tenths(second * SECOND), piece, Tenths(60 * SECOND));
            }
            let draw = std::cell::RefCell::new(draw);
            let (_, verdict) = play(&past, |_, counts| (draw.borrow_mut())(counts));
            assert_eq!(verdict, Verdict::Proven, "seed {seed}");
        }
    }

    /// Few queries, all bad, and nothing to compare with: not proven by them, and blamed once there are
    /// more.
    #[rstest]
    fn what_looks_worse_is_not_proven() {
        let patience = RolloutPolicy { trial: Tenths(3 * SECOND), margin: 0.2, ..RolloutPolicy::default() };
        let mut trial = Probation::new(patience, &Past::default(), Tenths(0));
        let words = (1..=60).map(|second: i64| {
            let (ended, ready) = (second as u64 * 10, 5);
            trial.judge(Tenths(second * SECOND), Sample { ended, bad: ended, by_nodes: 0, ready })
        });
        let first = words.into_iter().enumerate().find(|(_, verdict)| *verdict != Verdict::Waits).unwrap();
        assert!(first.0 == 3 && is_failed(&first.1), "{first:?}");
    }

    /// A trouble that began a quarter of a minute before the version is not laid to it.
    #[rstest]
    fn does_not_blame_what_began_earlier() {
        let word = play(&past([0, 0, 0, 40]), |_, counts| {
            counts.ended += 20;
            counts.bad += 8;
        });
        assert_eq!(word, (60, Verdict::Proven));
    }

    /// A hall lost in the same second: a pause, and the trial begins anew when it is back.
    #[rstest]
    #[case(true)]
    #[case(false)]
    fn waits_while_a_hall_is_lost(#[case] listed: bool) {
        let word = play(&past([0; 4]), |second, counts| {
            counts.ended += 20;
            let lost = second <= 100;
            counts.bad += if lost { 15 } else { 0 };
            counts.by_nodes += if lost && !listed { 15 } else { 0 };
            counts.ready = if lost && listed { 60 } else { 100 };
        });
        assert_eq!(word.1, Verdict::Proven);
        assert!(word.0 >= 160, "{}", word.0);
    }

    /// And one that is to blame beside that is found once the hall is back.
    #[rstest]
    fn blames_once_the_hall_is_back() {
        let (at, verdict) = play(&past([0; 4]), |second, counts| {
            counts.ended += 20;
            counts.bad += 15;
            counts.ready = if second <= 100 { 60 } else { 100 };
        });
        assert!(is_failed(&verdict) && (101..=106).contains(&at), "{at}: {verdict:?}");
    }

    #[rstest]
    #[case(100, 0, "0 retrievals ended, 30 are needed")]
    #[case(60, 20, "nodes were being lost all the while")]
    fn ends_without_a_verdict(#[case] ready: u64, #[case] a_second: u64, #[case] why: &str) {
        let word = play(&past([0; 4]), |_, counts| {
            counts.ended += a_second;
            counts.ready = ready;
        });
        assert_eq!(word, (900, Verdict::Unproven(why.to_owned())));
    }

    /// Without a past to compare with, only what is bad beyond doubt is blamed.
    #[rstest]
    #[case(8, false)]
    #[case(18, true)]
    fn knows_no_usual_share_at_first(#[case] bad: u64, #[case] blamed: bool) {
        let (_, verdict) = play(&Past::default(), |_, counts| {
            counts.ended += 20;
            counts.bad += bad;
            counts.ready = 100;
        });
        assert_eq!(is_failed(&verdict), blamed, "{verdict:?}");
    }
}
