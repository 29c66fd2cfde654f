//! Each node's side of activation.

use std::{collections::BTreeMap, time::Duration};

use super::{
    message::{Boot, Message},
    pace::Pace,
    settings::{Mode, Settings},
};
use crate::core::types::{NodeId, Now, PresetId, Version};

/// Knows under which configuration this node acts, if under any.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    settings: Settings,
    boot: Boot,
    leader: Option<NodeId>,
    renewed: Pace,
    floor: Version,
    known: BTreeMap<Version, Known>,
    lease: Option<Lease>,
}

/// A configuration that this node's copy of the state has.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Known {
    preset: PresetId,
    /// When a timed switch is due.
    due: Now,
}

/// Ordered by version, then by its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Lease {
    version: Version,
    until: Now,
}

/// Under what a node acts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Acting {
    /// Under this configuration and preset. What is decided now carries the version.
    Under {
        /// The configuration.
        version: Version,
        /// Its preset.
        preset: PresetId,
    },
    /// Under none: the `cut_off` section holds.
    CutOff(CutOff),
}

/// Why a node is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CutOff {
    /// It never had a lease, or it has run out.
    NoLease,
    /// It stopped for a change that isn't in force yet, or that its copy of the state lacks.
    Prepared,
}

/// An event on a node's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum NodeInput {
    /// Time passes; at least every 50 ms.
    Tick,
    /// Which node leads, as far as this one knows.
    Lead(Option<NodeId>),
    /// This node's copy of the state has a new configuration.
    Learned {
        /// Its version.
        version: Version,
        /// Its preset.
        preset: PresetId,
        /// How long ago it was committed, by the wall clock; only a timed switch reads it.
        age: Duration,
    },
    /// The leader, or one that was, sent a message.
    Receive {
        /// What.
        message: Message,
    },
}

/// What a node asks for: send a message to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Send {
    /// Which node leads.
    pub to: NodeId,
    /// What.
    pub message: Message,
}

impl CutOff {
    /// Every variant, in declaration order.
    pub const ALL: [Self; 2] = [Self::NoLease, Self::Prepared];

    /// The stable text of labels and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoLease => "no_lease",
            Self::Prepared => "prepared",
        }
    }
}

impl Node {
    /// A process that has just begun and never acted.
    pub fn new(boot: Boot, settings: Settings) -> Self {
        Self {
            settings,
            boot,
            leader: None,
            renewed: Pace::default(),
            floor: 0,
            known: BTreeMap::new(),
            lease: None,
        }
    }

    /// Under what this node acts. `now` must be read after the last wait: a process that was
    /// frozen wakes with a lease that is over and can't know it otherwise.
    pub fn acting(&self, now: Now) -> Acting {
        match self.settings.mode {
            Mode::Leased => self.leased(now),
            Mode::OneStep => self.newest(|_| true),
            Mode::Timed(_) => self.newest(|known| known.due <= now),
        }
    }

    /// Takes one event.
    pub fn step(&mut self, now: Now, input: NodeInput) -> Vec<Send> {
        self.lease = self.lease.take().filter(|lease| now < lease.until);
        match input {
            NodeInput::Tick => self.tick(now),
            NodeInput::Lead(leader) => {
                let changed = self.leader != leader;
                self.leader = leader;
                self.renew_if(changed, now)
            }
            NodeInput::Learned {
                version,
                preset,
                age,
            } => self.learn(now, version, preset, age),
            NodeInput::Receive { message } => self.receive(now, &message),
        }
    }

    fn leased(&self, now: Now) -> Acting {
        let fence = self.settings.protections.fence;
        let valid = |lease: &&Lease| now < lease.until || !fence;
        let Some(lease) = self.lease.as_ref().filter(valid) else {
            return Acting::CutOff(CutOff::NoLease);
        };
        match self.known.get(&lease.version) {
            Some(known) if lease.version >= self.floor => Acting::Under {
                version: lease.version,
                preset: known.preset.clone(),
            },
            _ => Acting::CutOff(CutOff::Prepared),
        }
    }

    fn newest(&self, due: impl Fn(&Known) -> bool) -> Acting {
        let newest = self.known.iter().rev().find(|(_, known)| due(known));
        match newest {
            Some((version, known)) => Acting::Under {
                version: *version,
                preset: known.preset.clone(),
            },
            None => Acting::CutOff(CutOff::NoLease),
        }
    }

    /// Renews in time, and more often while there is no lease.
    fn tick(&mut self, now: Now) -> Vec<Send> {
        let leased = self
            .lease
            .as_ref()
            .is_some_and(|lease| lease.version >= self.floor);
        let pause = if leased {
            self.settings.renew
        } else {
            self.settings.retry
        };
        let due = self.renewed.is_due(now, pause);
        self.renew_if(due, now)
    }

    fn learn(&mut self, now: Now, version: Version, preset: PresetId, age: Duration) -> Vec<Send> {
        let newest = self.known.last_key_value().map(|(version, _)| *version);
        if newest >= Some(version) {
            return Vec::new();
        }
        let delay = match self.settings.mode {
            Mode::Timed(delay) => delay.saturating_sub(age),
            Mode::Leased | Mode::OneStep => Duration::ZERO,
        };
        let due = now + delay;
        self.forget(now);
        self.known.insert(version, Known { preset, due });
        self.raise(version);
        self.renew_if(true, now)
    }

    fn receive(&mut self, now: Now, message: &Message) -> Vec<Send> {
        match *message {
            // It is acknowledged each time, since the acknowledgement may have been lost.
            Message::Prepare { version } => {
                self.raise(version);
                self.renew_if(true, now)
            }
            Message::Grant {
                boot,
                sent,
                version,
            } => {
                self.take(now, boot, sent, version);
                Vec::new()
            }
            Message::Renew { .. } => Vec::new(),
        }
    }

    /// Takes a lease, unless it is for another process, for something given up, or shorter.
    fn take(&mut self, now: Now, boot: Boot, sent: Now, version: Version) {
        if boot != self.boot || version < self.floor {
            return;
        }
        self.raise(version);
        let from = if self.settings.protections.sent {
            sent
        } else {
            now
        };
        let until = from + self.settings.lease;
        let lease = Some(Lease { version, until });
        self.lease = self.lease.take().max(lease);
    }

    /// Stops acting under anything older, for good.
    fn raise(&mut self, version: Version) {
        self.floor = self.floor.max(version);
    }

    fn renew_if(&mut self, due: bool, now: Now) -> Vec<Send> {
        let Some(to) = self.leader.filter(|_| due) else {
            return Vec::new();
        };
        self.renewed.reset(now, self.settings.retry);
        let message = Message::Renew {
            boot: self.boot,
            sent: now,
            floor: self.floor,
        };
        vec![Send { to, message }]
    }

    /// Drops what no mode will act under again.
    fn forget(&mut self, now: Now) {
        let due = self.known.iter().rev().find(|(_, known)| known.due <= now);
        if let Some(version) = due.map(|(version, _)| *version) {
            self.known = self.known.split_off(&version);
        }
    }
}
