//! Slots lent among the nodes of a data centre, by demand.
//!
//! Each node has a home share of every minion's slots (see [`share`](super::share)). A node whose
//! requests wait sends a [`Want`] to its peers; a peer with a free slot and nobody waiting takes
//! the slot out of its own share and lends it; the borrower returns it as soon as it has no use
//! for it. The way between two nodes of a data centre takes a fraction of the time that a request
//! does, so the nodes come close to one queue over all slots.
//!
//! The sum over the nodes never passes a minion's slots, without any agreement:
//!
//! - A lender gives away only what it doesn't use, and counts it as used until it is returned or
//!   certainly over.
//! - A borrower begins nothing on a loan later than [`USE`] after the [`Want`] that it answers,
//!   by its own clock. What it has begun ends within the service's timeout, and a slot held for a
//!   request that may still run is held for as long again; the lender waits for all of that.
//!   So a borrower may be frozen and wake, or be cut off, or die.
//! - Loan numbers begin at a random place, so that a return to a lender that has restarted
//!   doesn't match a loan of its new life.
//!
//! Recalling a loan early was rejected: a lender can't tell a slow borrower from a frozen one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::types::{Map, MinionId, NodeId, Now, ServiceId};

/// How long after its [`Want`] a loan may be used to begin something.
pub const USE: Duration = Duration::from_secs(2);
/// What a lender adds before it counts a loan as over, for clocks that run unlike.
pub const MARGIN: Duration = Duration::from_secs(1);
/// How long a want stands at a lender that has nothing to lend yet.
pub const STANDING: Duration = Duration::from_millis(200);
/// How soon a borrower asks again.
pub const ASK_AGAIN: Duration = Duration::from_millis(100);

/// A loan's number, unique at its lender.
pub type LoanId = u64;

/// Asks peers for slots.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Want {
    /// For minions of this service.
    pub service: ServiceId,
    /// How many; replaces what was asked before.
    pub count: u32,
    /// The asker's time, given back with what is lent.
    pub stamp: Now,
}

/// Answers a [`Want`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Lend {
    /// The stamp of the want.
    pub stamp: Now,
    /// What is lent.
    pub loans: Vec<Loan>,
}

/// One slot of one minion.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Loan {
    /// Its number.
    pub id: LoanId,
    /// The minion.
    pub minion: MinionId,
}

/// What a node has lent.
#[derive(Clone, Debug)]
pub struct Lent {
    last: LoanId,
    loans: BTreeMap<LoanId, (MinionId, Now)>,
    ends: BTreeSet<(Now, LoanId)>,
    counts: Map<MinionId, u32>,
}

impl Lent {
    /// Nothing lent; loans are numbered from after `start`, which should be random.
    pub fn new(start: LoanId) -> Self {
        Self {
            last: start,
            loans: BTreeMap::new(),
            ends: BTreeSet::new(),
            counts: Map::default(),
        }
    }

    /// Lends a slot of a minion, counted until `end` unless it is returned before.
    pub fn lend(&mut self, minion: MinionId, end: Now) -> Loan {
        self.last = self.last.wrapping_add(1);
        let id = self.last;
        self.loans.insert(id, (minion.clone(), end));
        self.ends.insert((end, id));
        *self.counts.entry(minion.clone()).or_default() += 1;
        Loan { id, minion }
    }

    /// Takes a loan back; its minion if it was out.
    pub fn returned(&mut self, id: LoanId) -> Option<MinionId> {
        let (minion, end) = self.loans.remove(&id)?;
        self.ends.remove(&(end, id));
        if let Some(count) = self.counts.get_mut(&minion) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&minion);
            }
        }
        Some(minion)
    }

    /// Takes back what is certainly over; the minions concerned.
    pub fn expire(&mut self, now: Now) -> Vec<MinionId> {
        let mut over = Vec::new();
        while let Some(&(end, id)) = self.ends.first() {
            if end > now {
                break;
            }
            over.extend(self.returned(id));
        }
        over
    }

    /// How many slots of a minion are out.
    pub fn count(&self, minion: &MinionId) -> u32 {
        self.counts.get(minion).copied().unwrap_or(0)
    }
}

/// What a node has borrowed and may use.
#[derive(Clone, Debug, Default)]
pub struct Borrowed {
    loans: Map<MinionId, Vec<(LoanId, NodeId, Now)>>,
    /// Loans past their time, on which something begun earlier may still run.
    past: Map<MinionId, Vec<(NodeId, LoanId)>>,
    /// Loan numbers are unique at one lender only.
    ends: BTreeSet<(Now, NodeId, LoanId, MinionId)>,
}

impl Borrowed {
    /// Takes a loan that may be used until `end`.
    pub fn add(&mut self, from: NodeId, loan: Loan, end: Now) {
        self.ends.insert((end, from, loan.id, loan.minion.clone()));
        let loans = self.loans.entry(loan.minion).or_default();
        loans.push((loan.id, from, end));
    }

    /// Gives up one loan of a minion: its lender and number.
    pub fn give_up(&mut self, minion: &MinionId) -> Option<(NodeId, LoanId)> {
        let loans = self.loans.get_mut(minion)?;
        let (id, from, end) = loans.pop()?;
        if loans.is_empty() {
            self.loans.remove(minion);
        }
        self.ends.remove(&(end, from, id, minion.clone()));
        Some((from, id))
    }

    /// Ends the use of loans whose time is over; the minions concerned. They are not returned
    /// yet, since what was begun on them may still run; see [`Self::take_past`].
    pub fn expire(&mut self, now: Now) -> Vec<MinionId> {
        let mut over = Vec::new();
        while self.ends.first().is_some_and(|(end, ..)| *end <= now) {
            let Some((_, from, id, minion)) = self.ends.pop_first() else {
                break;
            };
            if let Some(loans) = self.loans.get_mut(&minion) {
                loans.retain(|(loan, lender, _)| (*loan, *lender) != (id, from));
                if loans.is_empty() {
                    self.loans.remove(&minion);
                }
            }
            self.past
                .entry(minion.clone())
                .or_default()
                .push((from, id));
            over.push(minion);
        }
        over
    }

    /// Loans past their time on which nothing can run any more, to be returned: all but as many
    /// as the minion has requests of this node above its quota, `excess`.
    pub fn take_past(&mut self, minion: &MinionId, excess: u32) -> Vec<(NodeId, LoanId)> {
        let Some(past) = self.past.get_mut(minion) else {
            return Vec::new();
        };
        let done = past.split_off(past.len().min(excess as usize));
        if past.is_empty() {
            self.past.remove(minion);
        }
        done
    }

    /// How many slots of a minion are borrowed.
    pub fn count(&self, minion: &MinionId) -> u32 {
        self.loans.get(minion).map_or(0, |l| l.len() as u32)
    }
}

/// What peers want of one service, in the order they asked.
#[derive(Clone, Debug, Default)]
pub struct Wants(Vec<(NodeId, Now, u32, Now)>);

impl Wants {
    /// A peer wants this many, instead of what it wanted before.
    pub fn set(&mut self, now: Now, from: NodeId, want: &Want) {
        self.0
            .retain(|(node, _, _, until)| *node != from && *until > now);
        if want.count > 0 {
            self.0.push((from, want.stamp, want.count, now + STANDING));
        }
    }

    /// Whether nobody wants anything.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The peer that has waited longest: its node, stamp and count.
    pub fn first(&mut self, now: Now) -> Option<(NodeId, Now, u32)> {
        self.0
            .retain(|(_, _, count, until)| *count > 0 && *until > now);
        let (node, stamp, count, _) = self.0.first()?;
        Some((*node, *stamp, *count))
    }

    /// The peer that has waited longest got this many.
    pub fn served(&mut self, count: u32) {
        if let Some(first) = self.0.first_mut() {
            first.2 -= count;
        }
    }
}
