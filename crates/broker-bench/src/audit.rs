//! The six rules, held against what clients and hosts got, never against a broker's word. Decisions only:
//! whoever plays a day (in virtual time, or on sockets) tells what happened and when.
//!
//! | rule | what is looked at |
//! | --- | --- |
//! | 1 | final answers as they reach clients, and shard requests that reach hosts behind them |
//! | 2 | shard requests that reach hosts again after one of them may have run; rejects of what may have run |
//! | 3 | shard requests that reach a host past the grace after its broker was told |
//! | 4 | cold hosts that fell over |
//! | 5 | answers against the values that hosts made for them |
//! | 6 | shard requests that reach hosts again, in any window, beside what was asked in it |

use crate::outcome::Outcome;
use routing::{EndpointState, Idempotency, RetryBudget, Tenths};
use std::collections::{BTreeMap, VecDeque};

/// What the rules are for one class.
#[derive(Clone, Debug)]
pub struct Kind {
    pub deadline: Tenths,
    pub least: f64,
    pub effect: Idempotency,
    pub dedup_window: Tenths,
}

/// What is measured against.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub kinds: Vec<Kind>,
    pub budget: Option<RetryBudget>,
    pub grace: Tenths,
    /// How much later than it was done something may reach who is looked at.
    pub slack: Tenths,
}

/// A shard request, counted up over all that was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartNo(pub usize);

#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Answered { whole: bool, held: Vec<PartNo> },
    Declined,
    Scrapped,
}

#[derive(Clone, Debug)]
struct ShardRequest {
    asked: usize,
    weight: f64,
    /// Times that it reached a host.
    arrivals: u32,
    /// When a host first took it, so that it may have run.
    may_have_run: Option<Tenths>,
    /// When a host first made its value.
    made: Option<Tenths>,
}

#[derive(Clone, Debug)]
struct Asked {
    broker: usize,
    kind: usize,
    /// Nobody owes it anything more: its client has left, or its broker was killed.
    forgiven: bool,
    /// Its client's time is up.
    until: Tenths,
    shard_requests: std::ops::Range<usize>,
    ended: Option<Tenths>,
}

/// What one broker took and sent again, for as long as a window reaches.
#[derive(Clone, Debug, Default)]
struct Books {
    taken: VecDeque<Tenths>,
    again: VecDeque<Tenths>,
}

/// How often a rule was broken in one way, and when first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Break {
    pub times: u64,
    pub first: Tenths,
}

/// How near to its limit a rule came: 1 is the limit, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Near {
    pub ratio: f64,
    pub at: Tenths,
}

pub struct Audit {
    near: BTreeMap<&'static str, Near>,
    bounds: Bounds,
    shard_requests: Vec<ShardRequest>,
    asked: Vec<Asked>,
    books: Vec<Books>,
    broken: BTreeMap<&'static str, Break>,
}

/// Weights are told with this much rounding in sum.
const ROUNDING: f64 = 0.0001;

impl Audit {
    pub fn new(bounds: Bounds, brokers: usize) -> Audit {
        let books = vec![Books::default(); brokers];
        Audit {
            near: BTreeMap::new(),
            bounds,
            shard_requests: Vec::new(),
            asked: Vec::new(),
            books,
            broken: BTreeMap::new(),
        }
    }

    pub fn broken(&self) -> &BTreeMap<&'static str, Break> {
        &self.broken
    }

    /// How near each rule came to its limit, where anything came near it at all.
    pub fn nearest(&self) -> &BTreeMap<&'static str, Near> {
        &self.near
    }

    fn nears(&mut self, now: Tenths, rule: &'static str, ratio: f64) {
        let near = self.near.entry(rule).or_insert(Near { ratio, at: now });
        if ratio > near.ratio {
            *near = Near { ratio, at: now };
        }
    }

    /// A cold host was sent this share of what would make it fall over.
    pub fn strained(&mut self, now: Tenths, ratio: f64) {
        self.nears(now, "4: work sent to a cold host, of what makes it fall over", ratio);
    }

    fn breaks(&mut self, now: Tenths, rule: &'static str) {
        self.broken.entry(rule).or_insert(Break { times: 0, first: now }).times += 1;
    }

    /// A query is asked of a broker; its first shard request's number, the others follow. `left`: its client's
    /// time.
    pub fn asked(
        &mut self,
        now: Tenths,
        broker: usize,
        kind: usize,
        left: Tenths,
        weights: &[f64],
    ) -> PartNo {
        let first = self.shard_requests.len();
        let no = self.asked.len();
        let shard_request = |weight: &f64| ShardRequest {
            asked: no,
            weight: *weight,
            arrivals: 0,
            may_have_run: None,
            made: None,
        };
        self.shard_requests.extend(weights.iter().map(shard_request));
        let shard_requests = first..self.shard_requests.len();
        let taken = 1 + shard_requests.len();
        let until = now + left.min(self.bounds.kinds[kind].deadline);
        self.asked.push(Asked { broker, kind, until, shard_requests, ended: None, forgiven: false });
        self.books[broker].taken.extend(std::iter::repeat_n(now, taken));
        PartNo(first)
    }

    /// A shard request reaches a host, of which its broker was last told this, then. `sent`: when it left, where that
    /// is known.
    pub fn arrived(
        &mut self,
        now: Tenths,
        sent: Tenths,
        shard_request: PartNo,
        told: (EndpointState, Tenths),
    ) {
        let (slack, grace) = (self.bounds.slack, self.bounds.grace);
        let Some(ShardRequest { asked, arrivals, may_have_run, .. }) =
            self.shard_requests.get_mut(shard_request.0)
        else {
            return self.breaks(now, "1: a part that nobody asked for");
        };
        *arrivals += 1;
        let (asked, again, ran) = (*asked, *arrivals > 1, *may_have_run);
        let Asked { broker, kind, ended, .. } = self.asked[asked];
        let Kind { effect, dedup_window, .. } = self.bounds.kinds[kind];
        if ended.is_some_and(|ended| sent - ended > slack) {
            self.breaks(now, "1: a part sent after the final answer");
        }
        match (effect, ran) {
            (Idempotency::AtMostOnce, Some(_)) => {
                self.breaks(now, "2: at-most-once, sent again though it may have run")
            }
            (Idempotency::IdempotencyKey, Some(first)) if now - first > dedup_window + slack => {
                self.breaks(now, "2: numbered, sent again outside its window");
            }
            _ => {}
        }
        if told.0 != EndpointState::Ready {
            self.nears(now, "3: sent after the word, of the grace", (sent - told.1).over(grace));
        }
        if told.0 != EndpointState::Ready && sent - told.1 > grace + slack {
            self.breaks(now, "3: sent past the grace to a host that drains or is gone");
        }
        if again {
            self.spend(now, broker);
        }
    }

    /// Guards against windows that are judged at their ends only: each further attempt ends one.
    fn spend(&mut self, now: Tenths, broker: usize) {
        let Some(RetryBudget { floor, share, window }) = self.bounds.budget.clone() else { return };
        let slack = self.bounds.slack;
        let books = &mut self.books[broker];
        books.again.push_back(now);
        while books.again.pop_front_if(|at| *at < now - window).is_some() {}
        while books.taken.pop_front_if(|at| *at < now - window - slack).is_some() {}
        let allowed = floor + share * books.taken.len() as f64;
        let (again, share) = (books.again.len() as f64, books.again.len() as f64 / allowed.max(1.0));
        self.nears(now, "6: further pushes in a window, of the budget", share);
        if again > allowed {
            self.breaks(now, "6: more further pushes in a window than the budget allows");
        }
    }

    /// The host took it: from now on it may have run.
    pub fn taken(&mut self, now: Tenths, shard_request: PartNo) {
        if let Some(shard_request) = self.shard_requests.get_mut(shard_request.0) {
            shard_request.may_have_run.get_or_insert(now);
        }
    }

    /// A host made its value.
    pub fn made(&mut self, now: Tenths, shard_request: PartNo) {
        if let Some(shard_request) = self.shard_requests.get_mut(shard_request.0) {
            shard_request.made.get_or_insert(now);
        }
    }

    pub fn fell_over(&mut self, now: Tenths) {
        self.breaks(now, "4: a cold host fell over");
    }

    /// A query's end reaches its client; the weight that an answer holds. None: it had one before.
    pub fn ends(&mut self, now: Tenths, asked: usize, end: &Final) -> Option<f64> {
        let Some(Asked { kind, until, ended, shard_requests, .. }) = self.asked.get_mut(asked) else {
            self.breaks(now, "1: an answer to what was not asked");
            return None;
        };
        let (kind, until, shard_requests, again) = (*kind, *until, shard_requests.clone(), ended.is_some());
        ended.get_or_insert(now);
        let Kind { least, effect, .. } = self.bounds.kinds[kind];
        if again {
            self.breaks(now, "1: a second final answer");
            return None;
        }
        let deadline = self.bounds.kinds[kind].deadline;
        self.nears(now, "1: a final answer, of the client's time", 1.0 - (until - now).over(deadline));
        if now > until + self.bounds.slack {
            self.breaks(now, "1: a final answer past the client's time");
        }
        let may_have_run = self.shard_requests[shard_requests.clone()]
            .iter()
            .any(|shard_request| shard_request.may_have_run.is_some());
        if effect == Idempotency::AtMostOnce && *end == Final::Declined && may_have_run {
            self.breaks(now, "2: at-most-once, declined though it may have run");
        }
        let Final::Answered { whole, held } = end else { return Some(0.0) };
        Some(self.answered(now, (shard_requests, least), *whole, held))
    }

    fn answered(
        &mut self,
        now: Tenths,
        (shard_requests, least): (std::ops::Range<usize>, f64),
        whole: bool,
        held: &[PartNo],
    ) -> f64 {
        let mut distinct: Vec<PartNo> = held.to_vec();
        distinct.sort();
        distinct.dedup();
        if distinct.len() < held.len() {
            self.breaks(now, "5: a part counted twice");
        }
        let mut sum = 0.0;
        for shard_request in distinct {
            match self.shard_requests.get(shard_request.0) {
                Some(told)
                    if shard_requests.contains(&shard_request.0)
                        && told.made.is_some_and(|made| made <= now) =>
                {
                    sum += told.weight
                }
                _ => self.breaks(now, "5: a part counted that no host made a value for"),
            }
        }
        let all: f64 =
            self.shard_requests[shard_requests].iter().map(|shard_request| shard_request.weight).sum();
        let share = if all > 0.0 { sum / all } else { 1.0 };
        self.nears(now, "5: the least share, of what an answer held", least / share.max(ROUNDING));
        if share + ROUNDING < least {
            self.breaks(now, "5: an answer under the least share");
        }
        if whole && share + ROUNDING < 1.0 {
            self.breaks(now, "5: an answer called whole that is not");
        }
        share.min(1.0)
    }

    /// Its client has left, or its broker was killed, which no longer owes it an answer; nothing may be sent
    /// of it by a broker that lives on.
    pub fn forgive(&mut self, now: Tenths, asked: usize) {
        if let Some(asked) = self.asked.get_mut(asked) {
            asked.ended.get_or_insert(now);
            asked.forgiven = true;
        }
    }

    pub fn is_forgiven(&self, asked: usize) -> bool {
        self.asked.get(asked).is_some_and(|asked| asked.forgiven)
    }

    /// Asked = answered + rejected + failed + left, in each day that was played to its end.
    pub fn conserve(&mut self, now: Tenths, outcome: &Outcome) {
        if outcome.queries != outcome.answered + outcome.declined + outcome.scrapped + outcome.left {
            self.breaks(now, "1: what was asked and what became of it are not the same number");
        }
    }

    /// The day is over: what has no final answer by now has none.
    pub fn close(&mut self, now: Tenths) {
        let lost = self.asked.iter().filter(|asked| asked.ended.is_none()).count();
        for _ in 0..lost {
            self.breaks(now, "1: no final answer");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const READY: (EndpointState, Tenths) = (EndpointState::Ready, Tenths(0));

    fn audit() -> Audit {
        let kind = |effect, least| Kind { deadline: Tenths(1000), least, effect, dedup_window: Tenths(500) };
        let kinds = vec![
            kind(Idempotency::Idempotent, 0.4),
            kind(Idempotency::IdempotencyKey, 1.0),
            kind(Idempotency::AtMostOnce, 1.0),
        ];
        let budget = Some(RetryBudget { floor: 1.0, share: 0.5, window: Tenths(100) });
        Audit::new(Bounds { kinds, budget, grace: Tenths(50), slack: Tenths(5) }, 1)
    }

    /// A day that lost count of a query says so.
    #[rstest]
    #[case(2, 0)]
    #[case(3, 1)]
    fn tells_what_was_not_conserved(#[case] queries: u64, #[case] breaks: usize) {
        let (mut audit, mut outcome) = (audit(), Outcome::new(Vec::new(), 1));
        (outcome.queries, outcome.declined, outcome.left) = (queries, 1, 1);
        audit.conserve(Tenths(0), &outcome);
        assert_eq!(audit.broken().len(), breaks);
    }

    #[rstest]
    fn tells_how_near_a_rule_came() {
        let mut audit = audit();
        audit.asked(Tenths(0), 0, 0, Tenths(1000), &[0.5, 0.5]);
        audit.arrived(Tenths(25), Tenths(25), PartNo(0), (EndpointState::Draining, Tenths(0)));
        audit.arrived(Tenths(30), Tenths(30), PartNo(0), (EndpointState::Draining, Tenths(10)));
        audit.strained(Tenths(40), 0.75);
        audit.strained(Tenths(50), 0.25);
        let told: Vec<(u8, f64, Tenths)> = audit
            .nearest()
            .iter()
            .map(|(rule, near)| (rule.as_bytes()[0] - b'0', near.ratio, near.at))
            .collect();
        assert_eq!(told, [(3, 0.5, Tenths(25)), (4, 0.75, Tenths(40)), (6, 0.4, Tenths(30))]);
    }

    /// What happens to one query of two even shard requests, a step a word: `a0` shard request 0 arrives, `t0` is taken,
    /// `m0` made;
    /// `d` arrives at a host told to drain; `A01` answered by 0 and 1, whole; `P0` partial; `D` rejected, `S`
    /// failed; a number moves the clock. Then the rule that is broken, if any.
    #[rstest]
    #[case(0, "a0 t0 m0 a1 t1 m1 A01", "")]
    #[case(0, "a0 t0 m0 P0 C", "")]
    #[case(0, "a0 t0 m0 a1 P0 C", "")]
    #[case(0, "C", "1: no final")]
    #[case(0, "S D", "1: a second")]
    #[case(0, "1006 S", "1: a final answer past")]
    #[case(0, "1005 S", "")]
    #[case(0, "S 6 a0", "1: a part sent after")]
    #[case(0, "S 5 a0", "")]
    #[case(0, "P", "5: an answer under")]
    #[case(0, "a0 t0 m0 a1 t1 P01", "5: a part counted that no host")]
    #[case(0, "a0 t0 m0 P00", "5: a part counted twice")]
    #[case(0, "a0 t0 m0 A0", "5: an answer called whole")]
    #[case(1, "a0 t0 505 a0", "")]
    #[case(1, "a0 t0 506 a0", "2: numbered")]
    #[case(2, "a0 a0 t0 D", "2: at-most-once, declined")]
    #[case(2, "a0 a0 t0 S", "")]
    #[case(2, "a0 t0 a0", "2: at-most-once, sent again")]
    #[case(0, "55 d0", "")]
    #[case(0, "56 d0", "3: sent past")]
    #[case(0, "F", "4: a cold")]
    #[case(0, "a0 a0 a0 S", "")]
    #[case(0, "a0 a0 a0 a0 S", "6: more")]
    #[case(0, "a0 a0 101 a0 200 a0 a0", "6: more")]
    #[case(0, "a0 a0 101 a0 S", "")]
    fn tells_each_break(#[case] kind: usize, #[case] steps: &str, #[case] rule: &str) {
        let mut audit = audit();
        audit.asked(Tenths(0), 0, kind, Tenths(1000), &[0.5, 0.5]);
        let mut now = Tenths(0);
        for step in steps.split(' ') {
            let (word, rest) = step.split_at(1);
            let shard_requests: Vec<PartNo> = rest.bytes().map(|b| PartNo(usize::from(b - b'0'))).collect();
            let shard_request = shard_requests.first().copied().unwrap_or(PartNo(0));
            let mut end = |end: Final| _ = audit.ends(now, 0, &end);
            match word {
                "a" => audit.arrived(now, now, shard_request, READY),
                "d" => audit.arrived(now, now, shard_request, (EndpointState::Draining, Tenths(0))),
                "t" => audit.taken(now, shard_request),
                "m" => audit.made(now, shard_request),
                "A" => end(Final::Answered { whole: true, held: shard_requests }),
                "P" => end(Final::Answered { whole: false, held: shard_requests }),
                "D" => end(Final::Declined),
                "S" => end(Final::Scrapped),
                "F" => audit.fell_over(now),
                "C" => audit.close(now),
                _ => now = Tenths(step.parse().unwrap()),
            }
        }
        let told: Vec<&str> = audit.broken().keys().copied().collect();
        match rule {
            "" => assert!(told.is_empty(), "{told:?}"),
            rule => assert!(told.len() == 1 && told[0].starts_with(rule), "{told:?}"),
        }
    }
}
