//! One broker's share of a budget, what it lent and what it borrowed.

use crate::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeaseMessage, LeaseNo, Message};
use routing::Tenths;
use std::collections::{BTreeMap, VecDeque};

/// Of its share a broker lends half at the most, and has the other half whatever happened to it.
const LENDS: u32 = 2;

/// How a lease stands with its lender or its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum LeaseState {
    Lent,
    /// Given back: what the borrower spent of it still counts for a window.
    Resting,
    Asked,
    Held,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    AskHeard,
    GrantHeard,
    BackHeard,
    Unneeded,
}

/// In a stage (none: no such lease), on an event: the next stage. What is not here changes nothing. An end is no
/// event: a lease past it is as none, wherever it is looked at.
#[rustfmt::skip]
const TABLE: &[(Option<LeaseState>, Event, Option<LeaseState>)] = &[
    (None,               Event::AskHeard,   Some(LeaseState::Lent)),
    (Some(LeaseState::Lent),  Event::AskHeard,   Some(LeaseState::Lent)),
    (Some(LeaseState::Lent),  Event::BackHeard,  Some(LeaseState::Resting)),
    (Some(LeaseState::Asked), Event::GrantHeard, Some(LeaseState::Held)),
    (Some(LeaseState::Asked), Event::Unneeded,   None),
    (Some(LeaseState::Held),  Event::Unneeded,   None),
];

fn next(stage: Option<LeaseState>, event: Event) -> Option<Option<LeaseState>> {
    TABLE.iter().find(|row| row.0 == stage && row.1 == event).map(|row| row.2)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Lease {
    stage: LeaseState,
    units: u32,
    until: Tenths,
}

/// A broker's part of one budget.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeasedBudget {
    config: LeaseConfig,
    me: InstanceId,
    began: Tenths,
    /// By borrower and its number.
    lent: BTreeMap<(InstanceId, LeaseNo), Lease>,
    /// By own number, with the lender; which of its processes, once it granted.
    borrowed: BTreeMap<LeaseNo, (BrokerId, Option<Incarnation>, Lease)>,
    asked: LeaseNo,
    /// What was spent within a window.
    spent: VecDeque<(Tenths, u32)>,
}

impl LeasedBudget {
    pub fn start(config: LeaseConfig, me: InstanceId, now: Tenths) -> LeasedBudget {
        LeasedBudget {
            config,
            me,
            began: now,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            asked: LeaseNo(0),
            spent: VecDeque::new(),
        }
    }

    /// A span of one clock, and by what another may differ over it.
    fn safely(&self, span: Tenths) -> Tenths {
        span + Tenths(3 * span.0 / i64::from(self.config.drift.max(3)) + 1)
    }

    /// For so long what was spent elsewhere at some moment still counts.
    fn rests(&self) -> Tenths {
        self.safely(self.config.window)
    }

    /// A lender waits for longer than its borrower spends, and for the window in which that still counts.
    fn lender_waits(&self) -> Tenths {
        self.safely(self.config.lease) + self.rests()
    }

    fn share(&self) -> u32 {
        self.config.whole / self.config.brokers.max(1)
    }

    /// What of its share is its own at this moment. Guards against a process that does not know what the one before
    /// it, under its name, has spent and lent: for a window it has nothing, and the half that it never lends
    /// until all that may have been lent is over.
    fn own(&self, now: Tenths) -> u32 {
        let kept = self.share() - self.share() / LENDS;
        match now - self.began {
            age if age <= self.rests() => 0,
            age if age <= self.lender_waits() => kept,
            _ => self.share(),
        }
    }

    fn set_aside(&self, now: Tenths) -> u32 {
        self.lent.values().filter(|lease| lease.until > now).map(|lease| lease.units).sum()
    }

    /// Held leases count at the moment of spending: one who stood still spends nothing of an old one.
    fn held(&self, now: Tenths) -> u32 {
        let held =
            self.borrowed.values().filter(|(.., lease)| lease.stage == LeaseState::Held && lease.until > now);
        held.map(|(.., lease)| lease.units).sum()
    }

    fn spent_lately(&self, now: Tenths) -> u32 {
        let window = self.config.window;
        self.spent.iter().rev().take_while(|(at, _)| now - *at <= window).map(|(_, units)| units).sum()
    }

    /// Units that may be spent now.
    pub fn left(&self, now: Tenths) -> u32 {
        (self.own(now).saturating_sub(self.set_aside(now)) + self.held(now))
            .saturating_sub(self.spent_lately(now))
    }

    /// Spends them, if they are there.
    pub fn spend(&mut self, now: Tenths, units: u32) -> bool {
        self.forget(now);
        let may = units <= self.left(now);
        if may && units > 0 {
            self.spent.push_back((now, units));
        }
        may
    }

    /// Asks another broker for some of its share; none where as many leases are open as may be.
    pub fn ask(&mut self, now: Tenths, of: BrokerId, units: u32) -> Option<Message> {
        self.forget(now);
        if units == 0 || of == self.me.0 || self.borrowed.len() >= self.config.most_leases {
            return None;
        }
        self.asked.0 += 1;
        // Counted from before the lender can have set it aside.
        let lease = Lease { stage: LeaseState::Asked, units, until: now + self.config.lease };
        self.borrowed.insert(self.asked, (of, None, lease));
        Some(self.message(of, None, self.asked, LeaseMessage::Ask(units)))
    }

    /// Leases that may be spent or given back now.
    pub fn held_leases(&self, now: Tenths) -> impl Iterator<Item = LeaseNo> + '_ {
        let held =
            self.borrowed.iter().filter(move |(_, (.., l))| l.stage == LeaseState::Held && l.until > now);
        held.map(|(no, _)| *no)
    }

    /// Gives a lease back before its end; struck first, so that nothing more is spent of it.
    pub fn give_back(&mut self, no: LeaseNo) -> Option<Message> {
        let (lender, process, lease) = self.borrowed.get(&no).copied()?;
        if next(Some(lease.stage), Event::Unneeded)?.is_none() {
            self.borrowed.remove(&no);
        }
        process.map(|process| self.message(lender, Some(process), no, LeaseMessage::GiveBack))
    }

    /// Takes in a message, late or doubled as it may be; the answer to it, if there is one.
    pub fn hear(&mut self, now: Tenths, message: &Message) -> Option<Message> {
        self.forget(now);
        let mine = message.to == self.me.0 && message.process.is_none_or(|process| process == self.me.1);
        match message.word {
            _ if !mine || message.from == self.me => None,
            LeaseMessage::Ask(units) => self.asked_for(now, message, units),
            LeaseMessage::Grant(units) => self.granted(message, units),
            LeaseMessage::GiveBack => self.given_back(now, message),
        }
    }

    fn asked_for(&mut self, now: Tenths, message: &Message, units: u32) -> Option<Message> {
        let key = (message.from, message.lease);
        let known = self.lent.get(&key).copied();
        let stage = next(known.map(|lease| lease.stage), Event::AskHeard)??;
        let until = now + self.lender_waits();
        // Of the own share, not of another's; only what was not spent within a window, never the half that is kept.
        let aside = self.set_aside(now);
        let idle = self.own(now).saturating_sub(aside + self.spent_lately(now));
        let whole_share = self.own(now) == self.share();
        let free = if whole_share { idle.min((self.share() / LENDS).saturating_sub(aside)) } else { 0 };
        let lease = known.unwrap_or(Lease { stage, units: units.min(free), until });
        if lease.units == 0 || known.is_none() && self.lent.len() >= self.config.most_leases {
            return None;
        }
        self.lent.insert(key, lease);
        Some(self.message(
            message.from.0,
            Some(message.from.1),
            message.lease,
            LeaseMessage::Grant(lease.units),
        ))
    }

    fn granted(&mut self, message: &Message, units: u32) -> Option<Message> {
        let (lender, process, lease) = self.borrowed.get_mut(&message.lease)?;
        if *lender == message.from.0 && units <= lease.units {
            lease.stage = next(Some(lease.stage), Event::GrantHeard)??;
            (lease.units, *process) = (units, Some(message.from.1));
        }
        None
    }

    fn given_back(&mut self, now: Tenths, message: &Message) -> Option<Message> {
        let rests = self.rests();
        let lease = self.lent.get_mut(&(message.from, message.lease))?;
        lease.stage = next(Some(lease.stage), Event::BackHeard)??;
        lease.until = lease.until.min(now + rests);
        None
    }

    fn message(
        &self,
        to: BrokerId,
        process: Option<Incarnation>,
        lease: LeaseNo,
        word: LeaseMessage,
    ) -> Message {
        Message { from: self.me, to, process, lease, word }
    }

    /// Strikes what is over.
    fn forget(&mut self, now: Tenths) {
        self.lent.retain(|_, lease| lease.until > now);
        self.borrowed.retain(|_, (.., lease)| lease.until > now);
        let window = self.config.window;
        while self.spent.pop_front_if(|(at, _)| now - *at > window).is_some() {}
    }
}
