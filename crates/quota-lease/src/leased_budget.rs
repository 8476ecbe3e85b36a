//! One broker's share of a budget, what it lent and what it borrowed.

use crate::lease_state::{LeaseEvent, LeaseState, next_state};
use crate::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeaseMessage, LeaseNumber, Message};
use routing::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Of its share a broker lends one part in so many at the most, and has the rest whatever happened to it.
const LENDABLE_DIVISOR: u32 = 2;

/// The units of a lease and the time of its end, by the own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Lease {
    state: LeaseState,
    units: u32,
    until: Timestamp,
}

/// What a lender knows a lease by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LentLeaseId {
    borrower: InstanceId,
    number: LeaseNumber,
}

/// A lease at its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct BorrowedLease {
    lender: BrokerId,
    /// Which of the lender's processes, once it granted.
    lender_incarnation: Option<Incarnation>,
    lease: Lease,
}

impl BorrowedLease {
    /// Whether its units may be spent. A lease counts by its end at the moment of spending: a process that
    /// was stopped for a while spends nothing of an old one.
    fn is_held(&self, now: Timestamp) -> bool {
        self.lease.state == LeaseState::Held && self.lease.until > now
    }
}

/// Units that were spent at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Spending {
    at: Timestamp,
    units: u32,
}

/// A broker's part of one budget.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeasedBudget {
    config: LeaseConfig,
    instance: InstanceId,
    started_at: Timestamp,
    lent: BTreeMap<LentLeaseId, Lease>,
    borrowed: BTreeMap<LeaseNumber, BorrowedLease>,
    /// The number of the lease requested last.
    last_requested: LeaseNumber,
    /// What was spent within a window, oldest first.
    spent: VecDeque<Spending>,
}

impl LeasedBudget {
    /// The budget of a process that starts now.
    pub fn start(config: LeaseConfig, instance: InstanceId, now: Timestamp) -> LeasedBudget {
        LeasedBudget {
            config,
            instance,
            started_at: now,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            last_requested: LeaseNumber(0),
            spent: VecDeque::new(),
        }
    }

    /// A duration by one clock, lengthened by what another clock may differ over it.
    fn with_drift(&self, duration: TimeSpan) -> TimeSpan {
        duration + TimeSpan(3 * duration.0 / i64::from(self.config.drift_divisor.max(3)) + 1)
    }

    /// For so long what was spent by another process at some moment still counts.
    fn cool_down(&self) -> TimeSpan {
        self.with_drift(self.config.window)
    }

    /// For how long a lender sets units aside: longer than its borrower may spend them, and for the window in
    /// which that still counts.
    fn lending_duration(&self) -> TimeSpan {
        self.with_drift(self.config.lease_duration) + self.cool_down()
    }

    fn share(&self) -> u32 {
        self.config.total_units / self.config.brokers.max(1)
    }

    /// How much of its share is its own now. Guards against a process that does not know what the one before
    /// it, as the same broker, has spent and lent: for a window it has nothing, and then the half that is
    /// never lent, until all that may have been lent is over.
    fn own_units(&self, now: Timestamp) -> u32 {
        let never_lent = self.share() - self.share() / LENDABLE_DIVISOR;
        match now - self.started_at {
            age if age <= self.cool_down() => 0,
            age if age <= self.lending_duration() => never_lent,
            _ => self.share(),
        }
    }

    fn lent_units(&self, now: Timestamp) -> u32 {
        self.lent.values().filter(|lease| lease.until > now).map(|lease| lease.units).sum()
    }

    fn borrowed_units(&self, now: Timestamp) -> u32 {
        let held = self.borrowed.values().filter(|borrowed| borrowed.is_held(now));
        held.map(|borrowed| borrowed.lease.units).sum()
    }

    fn recently_spent_units(&self, now: Timestamp) -> u32 {
        let recent = self.spent.iter().rev().take_while(|spending| now - spending.at <= self.config.window);
        recent.map(|spending| spending.units).sum()
    }

    /// Units that may be spent now.
    pub fn available_units(&self, now: Timestamp) -> u32 {
        let budget = self.own_units(now).saturating_sub(self.lent_units(now)) + self.borrowed_units(now);
        budget.saturating_sub(self.recently_spent_units(now))
    }

    /// Spends so many units, if they are available; whether they were.
    pub fn try_spend(&mut self, now: Timestamp, units: u32) -> bool {
        self.remove_expired(now);
        let is_available = units <= self.available_units(now);
        if is_available && units > 0 {
            self.spent.push_back(Spending { at: now, units });
        }
        is_available
    }

    /// Requests units of another broker's share; none where as many leases are open as may be.
    pub fn request_lease(&mut self, now: Timestamp, lender: BrokerId, units: u32) -> Option<Message> {
        self.remove_expired(now);
        if units == 0 || lender == self.instance.broker || self.borrowed.len() >= self.config.max_leases {
            return None;
        }
        self.last_requested.0 += 1;
        // Counted from before the lender can have set the units aside.
        let until = now + self.config.lease_duration;
        let lease = Lease { state: LeaseState::Requested, units, until };
        self.borrowed.insert(self.last_requested, BorrowedLease { lender, lender_incarnation: None, lease });
        Some(self.message(lender, None, self.last_requested, LeaseMessage::Request(units)))
    }

    /// Leases that may be spent or given back now.
    pub fn held_leases(&self, now: Timestamp) -> impl Iterator<Item = LeaseNumber> + '_ {
        let held = self.borrowed.iter().filter(move |(_, borrowed)| borrowed.is_held(now));
        held.map(|(number, _)| *number)
    }

    /// Gives a lease back before its end. It is removed first, so that nothing more is spent of it.
    pub fn release_lease(&mut self, number: LeaseNumber) -> Option<Message> {
        let borrowed = self.borrowed.get(&number).copied()?;
        if next_state(Some(borrowed.lease.state), LeaseEvent::NotNeeded)?.is_none() {
            self.borrowed.remove(&number);
        }
        let incarnation = borrowed.lender_incarnation?;
        Some(self.message(borrowed.lender, Some(incarnation), number, LeaseMessage::Release))
    }

    /// Handles a message, late or duplicated as it may be; the answer to it, if there is one.
    pub fn handle_message(&mut self, now: Timestamp, message: &Message) -> Option<Message> {
        self.remove_expired(now);
        if !self.is_addressed_by(message) {
            return None;
        }
        match message.content {
            LeaseMessage::Request(units) => self.handle_request(now, message, units),
            LeaseMessage::Grant(units) => self.handle_grant(message, units),
            LeaseMessage::Release => self.handle_release(now, message),
        }
    }

    fn is_addressed_by(&self, message: &Message) -> bool {
        let is_this_process = message.to_incarnation.is_none_or(|to| to == self.instance.incarnation);
        message.to == self.instance.broker && is_this_process && message.from != self.instance
    }

    fn handle_request(&mut self, now: Timestamp, message: &Message, units: u32) -> Option<Message> {
        let id = LentLeaseId { borrower: message.from, number: message.lease };
        let known = self.lent.get(&id).copied();
        let state = next_state(known.map(|lease| lease.state), LeaseEvent::RequestReceived)??;
        let until = now + self.lending_duration();
        let lease = known.unwrap_or(Lease { state, units: units.min(self.lendable_units(now)), until });
        if lease.units == 0 || known.is_none() && self.lent.len() >= self.config.max_leases {
            return None;
        }
        self.lent.insert(id, lease);
        let InstanceId { broker, incarnation } = message.from;
        Some(self.message(broker, Some(incarnation), message.lease, LeaseMessage::Grant(lease.units)))
    }

    /// Units that may be lent now: of the own share, not of a borrowed one; only what was not spent within a
    /// window, and never the half that is kept.
    fn lendable_units(&self, now: Timestamp) -> u32 {
        if self.own_units(now) != self.share() {
            return 0;
        }
        let lent = self.lent_units(now);
        let unspent = self.share().saturating_sub(lent + self.recently_spent_units(now));
        unspent.min((self.share() / LENDABLE_DIVISOR).saturating_sub(lent))
    }

    fn handle_grant(&mut self, message: &Message, units: u32) -> Option<Message> {
        let borrowed = self.borrowed.get_mut(&message.lease)?;
        if borrowed.lender == message.from.broker && units <= borrowed.lease.units {
            borrowed.lease.state = next_state(Some(borrowed.lease.state), LeaseEvent::GrantReceived)??;
            borrowed.lease.units = units;
            borrowed.lender_incarnation = Some(message.from.incarnation);
        }
        None
    }

    fn handle_release(&mut self, now: Timestamp, message: &Message) -> Option<Message> {
        let cool_down = self.cool_down();
        let lease = self.lent.get_mut(&LentLeaseId { borrower: message.from, number: message.lease })?;
        lease.state = next_state(Some(lease.state), LeaseEvent::ReleaseReceived)??;
        lease.until = lease.until.min(now + cool_down);
        None
    }

    fn message(
        &self,
        to: BrokerId,
        to_incarnation: Option<Incarnation>,
        lease: LeaseNumber,
        content: LeaseMessage,
    ) -> Message {
        Message { from: self.instance, to, to_incarnation, lease, content }
    }

    /// Removes leases past their end, and what was spent longer than a window ago.
    fn remove_expired(&mut self, now: Timestamp) {
        self.lent.retain(|_, lease| lease.until > now);
        self.borrowed.retain(|_, borrowed| borrowed.lease.until > now);
        let window = self.config.window;
        while self.spent.pop_front_if(|spending| now - spending.at > window).is_some() {}
    }
}
