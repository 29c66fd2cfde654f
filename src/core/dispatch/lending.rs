//! Slots lent to peers and borrowed from them.

use std::time::Duration;

use super::{
    engine::Dispatch,
    request::{Seat, ServiceIx},
    seam::{Mesh, Output},
};
use crate::core::{
    routing::{
        loans::{ASK_AGAIN, Lend, Loan, LoanId, MARGIN, USE, Want},
        minions::{Avoid, Minion},
        share::Sharing,
    },
    types::{MinionId, NodeId, Now},
};

/// Loans asked for or made at once.
const BATCH: u32 = 16;

impl Dispatch {
    /// The slots of a minion that this node may use now.
    pub(super) fn quota(&self, minion: &MinionId, slots: u32) -> u32 {
        let node = self.settings.node;
        let share = |nodes: &[NodeId]| self.settings.sharing.home(slots, minion, node, nodes);
        // After a change of nodes a share grows only once nobody acts on the older list.
        let former = self.former.iter().map(|(_, nodes)| share(nodes));
        let home = former.fold(share(&self.peers), u32::min);
        home.saturating_sub(self.lent.count(minion)) + self.borrowed.count(minion)
    }

    /// Ends the loans whose time is over.
    pub(super) fn expire_loans(&mut self, now: Now) {
        let mut changed = self.lent.expire(now);
        if self.settings.protections.fence {
            changed.extend(self.borrowed.expire(now));
        }
        for minion in changed {
            self.requota(now, &minion);
            self.return_past(&minion);
            if let Some(seat) = self.seat(&minion) {
                self.pump(now, seat.service);
            }
        }
    }

    /// Returns loans past their time as soon as nothing runs on them, so that their lender need
    /// not wait for what might.
    fn return_past(&mut self, minion: &MinionId) {
        let held = |s: Seat| self.services[s.service].minions.get(s.ix);
        let excess = self
            .seat(minion)
            .and_then(held)
            .map_or(0, |m| m.in_flight.saturating_sub(m.quota));
        for (lender, loan) in self.borrowed.take_past(minion, excess) {
            self.send_back(lender, vec![loan]);
        }
    }

    /// Asks peers for slots if requests wait, but not again for what was just asked.
    pub(super) fn borrow(&mut self, now: Now, ix: ServiceIx) {
        if self.settings.sharing != Sharing::Loans || self.peers.len() < 2 {
            return;
        }
        let service = &mut self.services[ix];
        let count = service.waiting().min(BATCH);
        if count == 0 {
            service.asked = None;
            return;
        }
        let recent = |(at, asked): (Now, u32)| now < at + ASK_AGAIN && count < asked * 2;
        if service.asked.is_some_and(recent) {
            return;
        }
        service.asked = Some((now, count));
        let want = Want {
            service: service.id.clone(),
            count,
            stamp: now,
        };
        let neighbours: Vec<NodeId> = self.neighbours().collect();
        for to in neighbours {
            let message = Mesh::Want(want.clone());
            self.out.push(Output::Mesh { to, message });
        }
    }

    /// A peer wants slots.
    pub(super) fn wanted(&mut self, now: Now, from: NodeId, want: &Want) {
        let Some(&ix) = self.by_name.get(&want.service) else {
            return;
        };
        if self.peers.contains(&from) {
            self.services[ix].wants.set(now, from, want);
            self.lend(now, ix);
        }
    }

    /// Lends free slots to peers that want some, while nobody waits here.
    pub(super) fn lend(&mut self, now: Now, ix: ServiceIx) {
        while !self.services[ix].wants.is_empty() {
            let service = &mut self.services[ix];
            if service.waiting() > 0 || !service.minions.has_free() {
                return;
            }
            let Some((to, stamp, count)) = service.wants.first(now) else {
                return;
            };
            let end = now + USE + service.timeout * 2 + MARGIN;
            let loans: Vec<Loan> = (0..count).map_while(|_| self.spare(now, ix, end)).collect();
            if loans.is_empty() {
                return;
            }
            self.services[ix].wants.served(loans.len() as u32);
            let message = Mesh::Lend(Lend { stamp, loans });
            self.out.push(Output::Mesh { to, message });
        }
    }

    /// A peer lends slots.
    pub(super) fn lent_to(&mut self, now: Now, from: NodeId, lend: Lend) {
        let end = lend.stamp + USE;
        let late = now >= end && self.settings.protections.fence;
        let (mut touched, mut useless) = (Vec::new(), Vec::new());
        for loan in lend.loans {
            if late || !self.is_open(&loan.minion) {
                useless.push(loan.id);
                continue;
            }
            let minion = loan.minion.clone();
            self.borrowed.add(from, loan, end);
            self.requota(now, &minion);
            touched.push(minion);
        }
        self.send_back(from, useless);
        for minion in &touched {
            if let Some(seat) = self.seat(minion) {
                self.services[seat.service].asked = None;
                self.pump(now, seat.service);
            }
        }
        for minion in &touched {
            self.return_surplus(now, minion);
        }
    }

    /// A peer returns loans.
    pub(super) fn returned(&mut self, now: Now, loans: &[LoanId]) {
        for loan in loans {
            let Some(minion) = self.lent.returned(*loan) else {
                continue;
            };
            self.requota(now, &minion);
            if let Some(seat) = self.seat(&minion) {
                self.pump(now, seat.service);
            }
        }
    }

    /// Returns the loans of a minion that this node has no use for now.
    pub(super) fn return_surplus(&mut self, now: Now, minion: &MinionId) {
        self.return_past(minion);
        while self.borrowed.count(minion) > 0 && self.surplus(minion) {
            let Some((lender, loan)) = self.borrowed.give_up(minion) else {
                return;
            };
            self.requota(now, minion);
            self.send_back(lender, vec![loan]);
        }
    }

    /// Takes one free slot out of this node's share.
    fn spare(&mut self, now: Now, ix: ServiceIx, end: Duration) -> Option<Loan> {
        let minions = &self.services[ix].minions;
        let chosen = minions.choose(&Avoid::default(), &mut self.rng)?;
        let minion = minions.get(chosen)?;
        // What is borrowed can't be lent on: its lender would not wait for the third node.
        if self.borrowed.count(&minion.id) > 0 {
            return None;
        }
        let loan = self.lent.lend(minion.id.clone(), end);
        self.requota(now, &loan.minion);
        Some(loan)
    }

    fn is_open(&self, minion: &MinionId) -> bool {
        let open = |s: Seat| self.services[s.service].minions.get(s.ix).map(|m| m.open);
        self.seat(minion).and_then(open) == Some(true)
    }

    fn surplus(&self, minion: &MinionId) -> bool {
        let Some(seat) = self.seat(minion) else {
            return false;
        };
        let service = &self.services[seat.service];
        let free = |m: &Minion| m.in_flight < m.quota;
        service.waiting() == 0 && service.minions.get(seat.ix).is_some_and(free)
    }

    fn send_back(&mut self, to: NodeId, loans: Vec<LoanId>) {
        if !loans.is_empty() {
            let message = Mesh::Return(loans);
            self.out.push(Output::Mesh { to, message });
        }
    }

    fn requota(&mut self, now: Now, minion: &MinionId) {
        let Some(Seat { service, ix, .. }) = self.seat(minion) else {
            return;
        };
        let minions = &self.services[service].minions;
        let Some(slots) = minions.get(ix).map(|m| m.slots) else {
            return;
        };
        let quota = self.quota(minion, slots);
        self.services[service].minions.set_quota(now, ix, quota);
    }
}
