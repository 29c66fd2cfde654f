//! The leader's side of activation.

use std::collections::BTreeMap;

use super::{
    message::{Boot, Message},
    pace::Pace,
    settings::{Mode, Settings},
};
use crate::core::types::{NodeId, Now, Version};

/// Gives leases, asks for them back and says when a change may be activated.
///
/// One is made when a node has been elected and has applied the first entry of its own term, and
/// dropped when it leads no more. It is right to keep a deposed one for a while: without a
/// quorum's confirmation it grants nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    settings: Settings,
    elected: Now,
    committed: Version,
    in_force: Option<Version>,
    /// When a timed switch is due.
    due: Now,
    proposed: Pace,
    prepared: Pace,
    holders: BTreeMap<Holder, Record>,
}

/// A process of a node; of one node there may be two if an old one was taken for dead.
type Holder = (NodeId, Boot);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Record {
    floor: Version,
    lease: Option<Lease>,
    asked: Option<Asked>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    version: Version,
    until: Now,
}

/// A renewal that wasn't answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    sent: Now,
    received: Now,
    /// Whether a quorum has confirmed the leader since.
    confirmed: bool,
}

/// An event on the leader's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaderInput {
    /// Time passes; at least every 50 ms.
    Tick,
    /// What the leader's copy of the state says now.
    Configured {
        /// The newest committed configuration; zero before the first.
        committed: Version,
        /// The one in force; `None` while a change is being rolled out.
        in_force: Option<Version>,
    },
    /// A quorum has answered, in this leader's term, what it sent at this time of its own clock.
    Confirmed {
        /// When it was sent.
        at: Now,
    },
    /// A node sent a message.
    Receive {
        /// Which node.
        from: NodeId,
        /// What.
        message: Message,
    },
}

/// What the leader asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaderOutput {
    /// Send to a node.
    Send {
        /// Which.
        to: NodeId,
        /// What.
        message: Message,
    },
    /// Propose [`Event::Activated`](crate::core::state::Event::Activated); it is asked for again
    /// until it shows in the state.
    Activate {
        /// The configuration.
        version: Version,
    },
}

impl Leader {
    /// A leader elected at `now`.
    pub fn new(now: Now, settings: Settings) -> Self {
        Self {
            settings,
            elected: now,
            committed: 0,
            in_force: None,
            due: Now::ZERO,
            proposed: Pace::default(),
            prepared: Pace::default(),
            holders: BTreeMap::new(),
        }
    }

    /// Takes one event. `now` must be read after the event came.
    pub fn step(&mut self, now: Now, input: LeaderInput) -> Vec<LeaderOutput> {
        let mut outputs = Vec::new();
        match input {
            LeaderInput::Tick => {}
            LeaderInput::Configured {
                committed,
                in_force,
            } => self.configure(now, committed, in_force),
            LeaderInput::Confirmed { at } => self.confirm(at),
            LeaderInput::Receive { from, message } => self.receive(now, from, &message),
        }
        self.expire(now);
        if self.in_force == Some(self.committed) {
            self.grant(&mut outputs);
        } else if self.committed > 0 {
            self.prepare(now, &mut outputs);
            self.activate(now, &mut outputs);
        }
        outputs
    }

    /// The nodes that a roll-out still waits for, each with the end of its lease by this clock.
    /// Empty while nothing is being rolled out.
    pub fn waiting(&self, now: Now) -> Vec<(NodeId, Now)> {
        if self.in_force == Some(self.committed) {
            return Vec::new();
        }
        self.holders
            .iter()
            .filter_map(|((node, _), record)| Some((*node, record.blocks(self.committed, now)?)))
            .collect()
    }

    /// The nodes that hold a lease, each with the configuration that it is for.
    pub fn holders(&self, now: Now) -> impl Iterator<Item = (NodeId, Version)> {
        self.holders.iter().filter_map(move |((node, _), record)| {
            let lease = record.lease.as_ref().filter(|lease| lease.until > now)?;
            Some((*node, lease.version))
        })
    }

    /// When this leader may activate at the earliest, because of leases given before it led.
    pub fn inherited(&self) -> Now {
        if self.settings.protections.inherit {
            self.elected + self.settings.guard()
        } else {
            self.elected
        }
    }

    fn configure(&mut self, now: Now, committed: Version, in_force: Option<Version>) {
        if committed > self.committed {
            self.committed = committed;
            self.proposed.clear();
            self.prepared.clear();
            if let Mode::Timed(delay) = self.settings.mode {
                self.due = now + delay;
            }
        }
        if committed == self.committed {
            self.in_force = in_force;
        }
    }

    fn receive(&mut self, now: Now, from: NodeId, message: &Message) {
        let Message::Renew { boot, sent, floor } = *message else {
            return;
        };
        let record = self.holders.entry((from, boot)).or_default();
        record.floor = record.floor.max(floor);
        if let Some(lease) = &record.lease
            && lease.version < floor
        {
            record.lease = None;
        }
        if record.asked.as_ref().is_none_or(|asked| asked.sent < sent) {
            record.asked = Some(Asked {
                sent,
                received: now,
                confirmed: !self.settings.protections.confirm,
            });
        }
    }

    fn confirm(&mut self, at: Now) {
        let asked = self.holders.values_mut().filter_map(|r| r.asked.as_mut());
        for asked in asked.filter(|asked| asked.received <= at) {
            asked.confirmed = true;
        }
    }

    fn expire(&mut self, now: Now) {
        let lease = self.settings.lease;
        self.holders.retain(|_, record| {
            record.lease = record.lease.take().filter(|lease| lease.until > now);
            record.asked = record
                .asked
                .take()
                .filter(|asked| asked.received + lease > now);
            record.lease.is_some() || record.asked.is_some()
        });
    }

    /// Answers the renewals that came before a quorum's confirmation.
    fn grant(&mut self, outputs: &mut Vec<LeaderOutput>) {
        let guard = self.settings.guard();
        let version = self.committed;
        for ((node, boot), record) in &mut self.holders {
            let Some(asked) = &record.asked else {
                continue;
            };
            if !asked.confirmed || record.floor > version {
                continue;
            }
            let (sent, until) = (asked.sent, asked.received + guard);
            record.lease = Some(Lease { version, until });
            record.asked = None;
            outputs.push(LeaderOutput::Send {
                to: *node,
                message: Message::Grant {
                    boot: *boot,
                    sent,
                    version,
                },
            });
        }
    }

    fn prepare(&mut self, now: Now, outputs: &mut Vec<LeaderOutput>) {
        if !self.prepared.is_due(now, self.settings.retry) {
            return;
        }
        let version = self.committed;
        let mut last = None;
        for ((node, _), record) in &self.holders {
            if record.blocks(version, now).is_some() && last != Some(*node) {
                last = Some(*node);
                let message = Message::Prepare { version };
                outputs.push(LeaderOutput::Send { to: *node, message });
            }
        }
    }

    fn activate(&mut self, now: Now, outputs: &mut Vec<LeaderOutput>) {
        if !self.is_ready(now) || !self.proposed.is_due(now, self.settings.retry) {
            return;
        }
        let version = self.committed;
        outputs.push(LeaderOutput::Activate { version });
    }

    fn is_ready(&self, now: Now) -> bool {
        match self.settings.mode {
            Mode::OneStep => true,
            Mode::Timed(_) => now >= self.due,
            Mode::Leased => now >= self.inherited() && !self.is_blocked(now),
        }
    }

    fn is_blocked(&self, now: Now) -> bool {
        self.settings.protections.wait
            && self
                .holders
                .values()
                .any(|record| record.blocks(self.committed, now).is_some())
    }
}

impl Record {
    /// The end of a lease for something older than `version`, unless it is over.
    fn blocks(&self, version: Version, now: Now) -> Option<Now> {
        let lease = self.lease.as_ref()?;
        (lease.version < version && lease.until > now).then_some(lease.until)
    }
}
