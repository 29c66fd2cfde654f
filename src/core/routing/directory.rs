//! Which minions exist, from announcements that expire.
//!
//! A minion announces itself at least every second to one node of its data centre, which passes
//! the announcement on to the others. Each node keeps its own [`Directory`] and forgets a minion
//! that has been silent for [`SILENCE`], whoever failed: the minion, the node that heard it, or
//! the way between. So no node has to be told that another died.
//!
//! Announcements arrive late and out of order, since a node may be frozen with some in its
//! buffers. An older boot or sequence never counts. A boot that said it is leaving never comes
//! back. One that fell silent comes back by an announcement of its own, or by two that others
//! passed on and that arrive at least [`PROOF`] apart: what was held up in a buffer arrives at
//! once and can't be told from a living minion by its content.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::{
    dispatch::Announcement,
    types::{MinionId, Now},
};

/// A minion not heard for this long takes no new work.
pub const SILENCE: Duration = Duration::from_millis(2500);
/// Two announcements this far apart prove that a minion which fell silent lives.
pub const PROOF: Duration = Duration::from_millis(400);
/// How long the last boot and sequence of a vanished minion are remembered.
pub const MEMORY: Duration = Duration::from_secs(600);

/// How an announcement came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the minion itself, to a process that was awake all along.
    Direct,
    /// Through another node, or out of this node's own buffers after a freeze.
    Passed,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The minion takes work from now on.
    Joined,
    /// It is known and still lives; something other than the sequence may have changed.
    Refreshed,
    /// It takes no more work.
    Left,
    /// Nothing: late, reordered, repeated or not yet proven.
    Ignored,
}

/// Where a minion stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Heard lately.
    Live { heard: Now },
    /// Silent since; a first new announcement may have come.
    Silent { since: Now, proof: Option<Now> },
    /// This boot is leaving.
    Left { since: Now },
}

#[derive(Clone, Debug)]
struct Entry {
    last: Announcement,
    standing: Standing,
}

/// The minions known to one node.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<MinionId, Entry>,
    /// When to look at each entry next. An announcement doesn't move its entry here: the look
    /// finds out and sets the next, so hearing costs nothing and expiry no scan.
    looks: BTreeSet<(Now, MinionId)>,
}

impl Directory {
    /// Takes in an announcement that arrived now.
    pub fn announce(&mut self, now: Now, source: Source, news: &Announcement) -> Heard {
        let Some(entry) = self.entries.get_mut(&news.minion) else {
            let standing = if news.leaving {
                Standing::Left { since: now }
            } else {
                Standing::Live { heard: now }
            };
            let entry = Entry {
                last: news.clone(),
                standing,
            };
            self.entries.insert(news.minion.clone(), entry);
            self.looks.insert((now + SILENCE, news.minion.clone()));
            return if news.leaving {
                Heard::Left
            } else {
                Heard::Joined
            };
        };
        entry.hear(now, source, news)
    }

    /// Minions that fell silent. Forgets those gone for longer than [`MEMORY`].
    pub fn expire(&mut self, now: Now) -> Vec<MinionId> {
        let mut silent = Vec::new();
        while self.looks.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.looks.pop_first() else {
                break;
            };
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            let next = match entry.standing {
                Standing::Live { heard } if now < heard + SILENCE => heard + SILENCE,
                Standing::Live { .. } => {
                    let proof = None;
                    entry.standing = Standing::Silent { since: now, proof };
                    silent.push(id.clone());
                    now + SILENCE
                }
                Standing::Silent { since, .. } | Standing::Left { since }
                    if now < since + MEMORY =>
                {
                    now + SILENCE
                }
                Standing::Silent { .. } | Standing::Left { .. } => {
                    self.entries.remove(&id);
                    continue;
                }
            };
            self.looks.insert((next, id));
        }
        silent
    }

    /// The last announcement of a minion that takes work.
    pub fn live(&self, minion: &MinionId) -> Option<&Announcement> {
        let entry = self.entries.get(minion)?;
        matches!(entry.standing, Standing::Live { .. }).then_some(&entry.last)
    }

    /// The last announcements of all minions that take work, in order of id.
    pub fn iter(&self) -> impl Iterator<Item = &Announcement> {
        self.entries
            .values()
            .filter(|e| matches!(e.standing, Standing::Live { .. }))
            .map(|e| &e.last)
    }
}

impl Entry {
    fn hear(&mut self, now: Now, source: Source, news: &Announcement) -> Heard {
        if (news.boot, news.sequence) <= (self.last.boot, self.last.sequence) {
            return Heard::Ignored;
        }
        let reborn = news.boot > self.last.boot;
        self.last = news.clone();
        if news.leaving {
            self.standing = Standing::Left { since: now };
            return Heard::Left;
        }
        if reborn {
            self.standing = Standing::Live { heard: now };
            return Heard::Joined;
        }
        match self.standing {
            Standing::Live { .. } => {
                self.standing = Standing::Live { heard: now };
                Heard::Refreshed
            }
            Standing::Left { .. } => Heard::Ignored,
            Standing::Silent { .. } if source == Source::Direct => {
                self.standing = Standing::Live { heard: now };
                Heard::Joined
            }
            Standing::Silent { since, proof } => self.prove(now, since, proof),
        }
    }

    fn prove(&mut self, now: Now, since: Now, proof: Option<Now>) -> Heard {
        match proof {
            Some(first) if now.saturating_sub(first) >= PROOF => {
                self.standing = Standing::Live { heard: now };
                Heard::Joined
            }
            Some(_) => Heard::Ignored,
            None => {
                let proof = Some(now);
                self.standing = Standing::Silent { since, proof };
                Heard::Ignored
            }
        }
    }
}
