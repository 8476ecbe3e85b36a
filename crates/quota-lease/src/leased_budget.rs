//! One broker's share of a budget, with the units that it has lent and borrowed.

use crate::lease_state::{LeaseEvent, LeaseState, next_state};
use crate::{BrokerId, Incarnation, InstanceId, LeaseConfig, LeaseMessage, LeaseNumber, Message};
use routing::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A broker lends at most `1 / LENDABLE_DIVISOR` of its share. The rest is available to it even if it does not know,
/// after a restart, how much was lent.
const LENDABLE_DIVISOR: u32 = 2;

/// The state, units and expiry of a lease, by the clock of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Lease {
    state: LeaseState,
    units: u32,
    expires_at: Timestamp,
}

/// The key by which a lender identifies a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LentLeaseId {
    borrower: InstanceId,
    number: LeaseNumber,
}

/// A lease as recorded by its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct BorrowedLease {
    lender: BrokerId,
    /// The process that granted the lease, or `None` until a grant is received.
    lender_incarnation: Option<Incarnation>,
    lease: Lease,
}

impl BorrowedLease {
    /// Returns whether the units may be spent. The expiry is compared with the time of spending, so that a process
    /// that was suspended for a while spends no units of an expired lease.
    fn is_held(&self, now: Timestamp) -> bool {
        self.lease.state == LeaseState::Held && self.lease.expires_at > now
    }
}

/// Units of the budget that were spent at the same instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Spending {
    at: Timestamp,
    units: u32,
}

/// One broker's part of a budget that a fleet of brokers shares by leases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeasedBudget {
    config: LeaseConfig,
    instance: InstanceId,
    started_at: Timestamp,
    lent: BTreeMap<LentLeaseId, Lease>,
    borrowed: BTreeMap<LeaseNumber, BorrowedLease>,
    /// The number of the lease that was requested last.
    last_requested: LeaseNumber,
    /// The units spent within the window, oldest first.
    spent: VecDeque<Spending>,
}

impl LeasedBudget {
    /// Creates the budget of a process that starts at `now`. It has no units until a window has passed, with a margin
    /// for clock drift, as an earlier process of the same broker may have spent them.
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

    /// Returns a duration extended by the drift that another clock may have over it.
    fn with_drift(&self, duration: TimeSpan) -> TimeSpan {
        duration + TimeSpan(3 * duration.0 / i64::from(self.config.drift_divisor.max(3)) + 1)
    }

    /// Returns the time for which units spent by another process may still count.
    fn cool_down(&self) -> TimeSpan {
        self.with_drift(self.config.window)
    }

    /// Returns the time for which a lender reserves the units of a lease: until its borrower can no longer spend
    /// them, and for the window in which spent units still count.
    fn lending_duration(&self) -> TimeSpan {
        self.with_drift(self.config.lease_duration) + self.cool_down()
    }

    fn share(&self) -> u32 {
        self.config.total_units / self.config.brokers.max(1)
    }

    /// Returns the units of its share that this process may use. A new process does not know which units an earlier
    /// process of the same broker spent and lent. It therefore has none for a window, and then only the half that
    /// is never lent, until all leases that may have been granted before it have expired.
    fn own_units(&self, now: Timestamp) -> u32 {
        let never_lent = self.share() - self.share() / LENDABLE_DIVISOR;
        match now - self.started_at {
            age if age <= self.cool_down() => 0,
            age if age <= self.lending_duration() => never_lent,
            _ => self.share(),
        }
    }

    fn lent_units(&self, now: Timestamp) -> u32 {
        self.lent.values().filter(|lease| lease.expires_at > now).map(|lease| lease.units).sum()
    }

    fn borrowed_units(&self, now: Timestamp) -> u32 {
        let held = self.borrowed.values().filter(|borrowed| borrowed.is_held(now));
        held.map(|borrowed| borrowed.lease.units).sum()
    }

    fn recently_spent_units(&self, now: Timestamp) -> u32 {
        let recent = self.spent.iter().rev().take_while(|spending| now - spending.at <= self.config.window);
        recent.map(|spending| spending.units).sum()
    }

    /// Returns the number of units that may be spent at `now`.
    pub fn available_units(&self, now: Timestamp) -> u32 {
        let budget = self.own_units(now).saturating_sub(self.lent_units(now)) + self.borrowed_units(now);
        budget.saturating_sub(self.recently_spent_units(now))
    }

    /// Spends `units` if that many are available, and returns whether they were.
    pub fn try_spend(&mut self, now: Timestamp, units: u32) -> bool {
        self.remove_expired(now);
        let is_available = units <= self.available_units(now);
        if is_available && units > 0 {
            self.spent.push_back(Spending { at: now, units });
        }
        is_available
    }

    /// Creates a lease for units of another broker's share and returns the request to send. Returns `None` if `units`
    /// is 0, if the lender is this broker, or if the maximum number of leases is already requested or held.
    pub fn request_lease(&mut self, now: Timestamp, lender: BrokerId, units: u32) -> Option<Message> {
        self.remove_expired(now);
        if units == 0
            || lender == self.instance.broker
            || self.borrowed.len() >= self.config.max_leases_per_role
        {
            return None;
        }
        self.last_requested.0 += 1;
        // The lease starts before the lender can have reserved the units, so it expires here first.
        let expires_at = now + self.config.lease_duration;
        let lease = Lease { state: LeaseState::Requested, units, expires_at };
        self.borrowed.insert(self.last_requested, BorrowedLease { lender, lender_incarnation: None, lease });
        Some(self.message(lender, None, self.last_requested, LeaseMessage::Request(units)))
    }

    /// Returns the leases whose units may be spent at `now`. They can be released.
    pub fn held_leases(&self, now: Timestamp) -> impl Iterator<Item = LeaseNumber> + '_ {
        let held = self.borrowed.iter().filter(move |(_, borrowed)| borrowed.is_held(now));
        held.map(|(number, _)| *number)
    }

    /// Releases a lease before it expires and returns the release to send, or `None` if the lease is unknown or was
    /// never granted. The lease is removed first, so that none of its units are spent after the release is sent.
    pub fn release_lease(&mut self, number: LeaseNumber) -> Option<Message> {
        let borrowed = self.borrowed.get(&number).copied()?;
        if next_state(Some(borrowed.lease.state), LeaseEvent::NotNeeded)?.is_none() {
            self.borrowed.remove(&number);
        }
        let incarnation = borrowed.lender_incarnation?;
        Some(self.message(borrowed.lender, Some(incarnation), number, LeaseMessage::Release))
    }

    /// Handles a message, which may be delayed or duplicated, and returns the reply to send, if any.
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
        let expires_at = now + self.lending_duration();
        let lease = known.unwrap_or(Lease { state, units: units.min(self.lendable_units(now)), expires_at });
        if lease.units == 0 || known.is_none() && self.lent.len() >= self.config.max_leases_per_role {
            return None;
        }
        self.lent.insert(id, lease);
        let InstanceId { broker, incarnation } = message.from;
        Some(self.message(broker, Some(incarnation), message.lease, LeaseMessage::Grant(lease.units)))
    }

    /// Returns the number of units that may be lent at `now`. Only units of the own share are lent, not borrowed
    /// ones, only if they were not spent within the window, and never the half of the share that is kept.
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
        lease.expires_at = lease.expires_at.min(now + cool_down);
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

    /// Removes expired leases, and units spent longer than a window ago.
    fn remove_expired(&mut self, now: Timestamp) {
        self.lent.retain(|_, lease| lease.expires_at > now);
        self.borrowed.retain(|_, borrowed| borrowed.lease.expires_at > now);
        let window = self.config.window;
        while self.spent.pop_front_if(|spending| now - spending.at > window).is_some() {}
    }
}
