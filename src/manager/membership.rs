//! Which control nodes should vote.
//!
//! A voter that is gone for good must be replaced before the next one goes: of three voters one is
//! no majority, and what was lost then can't be voted back in. Nobody tells a voter that comes back
//! from one that doesn't, so whoever is silent is replaced as soon as another node can take its
//! place. That costs two entries of the log if it comes back after all, and between the two the
//! newcomer is needed for a majority; the old voter then follows, and may be chosen again. Without
//! another node the silent voter stays.
//!
//! A node that lost its disk comes back under another id, so an id whose address another id lives
//! at is gone. A node that is about to end says so, and is replaced while it still votes, if another
//! node can take its place.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::manager::{
//!     identity::node_id,
//!     membership::{Members, Voting},
//! };
//!
//! let node = |host: u8| node_id([10, 0, 0, host].into(), 0);
//! let now = Duration::from_secs(9);
//! let mut members = Members::default();
//! for (host, data_centre) in [(1, "east"), (2, "west"), (4, "north")] {
//!     members.heard(now, node(host), data_centre.into(), false);
//! }
//! // The new one comes in before the lost one goes out.
//! let voters = [node(1), node(2), node(3)];
//! let silent = [node(3)];
//! let mut voting = Voting { leader: node(1), voters: &voters, silent: &silent, target: 3 };
//! let voters = members.wanted(now, &voting).expect("the third is lost");
//! assert_eq!(voters, [node(1), node(2), node(3), node(4)]);
//! voting.voters = &voters;
//! let voters = members.wanted(now, &voting).expect("it is still there");
//! assert_eq!(voters, [node(1), node(2), node(4)]);
//! ```

use std::{collections::BTreeMap, time::Duration};

use super::identity::ip;
use crate::core::types::{DataCentreId, NodeId, Now};

/// A node counts as alive if it was heard within this: two of its views, and some delay.
const ALIVE: Duration = Duration::from_millis(2500);
/// A node that came to nothing as a new voter is the last choice for so long. Another may be
/// reached where it can't, and it may be reached again soon.
const LAST_CHOICE: Duration = Duration::from_secs(5);
/// A living node that was heard within this, one of its views and some delay, is chosen before one
/// that was not: what takes a voter away may have taken its neighbours.
const FRESH: Duration = Duration::from_millis(1200);
/// Nodes that aren't heard for so long are forgotten, or those that were replaced would be told of
/// and dialled for ever. Longer than any cut that operators told us of.
const FORGET: Duration = Duration::from_secs(60);

/// What is known of a control node.
#[derive(Clone, Debug)]
struct Member {
    data_centre: DataCentreId,
    /// When it was last heard; never, if others told of it.
    heard: Option<Now>,
    /// When it was first told of or last heard.
    known: Now,
    /// Whether it is about to end.
    leaving: bool,
    /// When it last came to nothing as a new voter.
    failed: Option<Now>,
}

/// The control nodes that were heard of.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: BTreeMap<NodeId, Member>,
    /// The node that is to become a voter.
    joining: Option<NodeId>,
}

/// Who votes now, as the leader sees it.
#[derive(Clone, Copy, Debug)]
pub struct Voting<'a> {
    /// The leader.
    pub leader: NodeId,
    /// The voters.
    pub voters: &'a [NodeId],
    /// Those of them that haven't answered for too long.
    pub silent: &'a [NodeId],
    /// How many there should be.
    pub target: usize,
}

impl Members {
    /// A control node was heard, and whether it is about to end. Returns whether it is new.
    pub fn heard(
        &mut self,
        now: Now,
        node: NodeId,
        data_centre: DataCentreId,
        leaving: bool,
    ) -> bool {
        let before = self.members.remove(&node);
        let failed = before.as_ref().and_then(|member| member.failed);
        let new = before.is_none_or(|member| member.heard.is_none());
        let member = Member {
            data_centre,
            heard: Some(now),
            known: now,
            leaving,
            failed,
        };
        self.members.insert(node, member);
        new
    }

    /// A control node was heard of; it isn't known to live. Returns whether it is new.
    pub fn told(&mut self, now: Now, node: NodeId, data_centre: DataCentreId) -> bool {
        let new = !self.members.contains_key(&node);
        self.members.entry(node).or_insert(Member {
            data_centre,
            heard: None,
            known: now,
            leaving: false,
            failed: None,
        });
        new
    }

    /// Forgets nodes that weren't heard for long.
    pub fn forget(&mut self, now: Now) {
        self.members.retain(|_, member| now < member.known + FORGET);
    }

    /// All that were heard, but those whose address another id has. Who was merely told of isn't
    /// passed on, so that nobody is told of for ever.
    pub fn all(&self, now: Now) -> Vec<(NodeId, DataCentreId)> {
        let all = self.members.iter().filter(|(_, m)| m.heard.is_some());
        let all = all.filter(|(node, _)| !self.is_replaced(now, **node));
        all.map(|(node, member)| (*node, member.data_centre.clone()))
            .collect()
    }

    /// The nodes besides one that were heard of late enough to be relied on and go on, and where.
    pub fn others(&self, now: Now, me: NodeId) -> Vec<(NodeId, DataCentreId)> {
        let others = self.members.iter().filter(|(node, member)| {
            let fresh = member.heard.is_some_and(|heard| now < heard + FRESH);
            **node != me && fresh && !member.leaving && !self.is_replaced(now, **node)
        });
        others
            .map(|(node, member)| (*node, member.data_centre.clone()))
            .collect()
    }

    /// Those of some nodes that were heard lately.
    pub fn living(&self, now: Now, nodes: &[NodeId]) -> Vec<NodeId> {
        let living = |node: &NodeId| self.is_alive(now, *node);
        nodes.iter().copied().filter(living).collect()
    }

    /// The change of voters that is wanted most; `None` if all is well.
    pub fn wanted(&mut self, now: Now, voting: &Voting<'_>) -> Option<Vec<NodeId>> {
        let Voting { voters, target, .. } = *voting;
        let lost = self.lost(now, voting);
        if voters.len() > target {
            let out = lost.or_else(|| self.superfluous(now, voting))?;
            return Some(without(voters, out));
        }
        let staying = lost.map_or_else(|| voters.to_vec(), |lost| without(voters, lost));
        let added = self.candidate(now, voters, &staying)?;
        if lost.is_none() && voters.len() == target && !self.spreads(added, voters) {
            return None;
        }
        self.joining = Some(added);
        let mut changed = voters.to_vec();
        changed.push(added);
        changed.sort_unstable();
        Some(changed)
    }

    /// The change of voters that was wanted last was made.
    pub fn came_about(&mut self) {
        self.joining = None;
    }

    /// The change of voters that was wanted last came to nothing.
    pub fn came_to_nothing(&mut self, now: Now) {
        let joining = self.joining.take();
        if let Some(member) = joining.and_then(|node| self.members.get_mut(&node)) {
            member.failed = Some(now);
        }
    }

    /// Whether a node that lives could vote instead of one that does.
    pub fn has_spare(&self, now: Now, voters: &[NodeId]) -> bool {
        self.candidate(now, voters, &[]).is_some()
    }

    /// To whom a leader that is about to end should hand over: a voter that goes on and isn't
    /// silent.
    pub fn heir(&self, now: Now, voting: &Voting<'_>) -> Option<NodeId> {
        let voters = voting.voters.iter().copied();
        let able = |v: &NodeId| {
            let leaving = self.members.get(v).is_some_and(|member| member.leaving);
            *v != voting.leader && !leaving && !voting.silent.contains(v) && self.is_alive(now, *v)
        };
        voters
            .filter(able)
            .max_by_key(|v| self.members.get(v).and_then(|m| m.heard))
    }

    /// The voter that most needs to be replaced.
    fn lost(&self, now: Now, voting: &Voting<'_>) -> Option<NodeId> {
        let voters = || voting.voters.iter().copied();
        let leaving = |v: &NodeId| self.members.get(v).is_some_and(|member| member.leaving);
        voters()
            .find(|v| self.is_replaced(now, *v))
            .or_else(|| voters().find(|v| voting.silent.contains(v)))
            .or_else(|| voters().find(|v| leaving(v) && *v != voting.leader))
    }

    /// Whether a node would leave fewer voters to be lost with one data centre, if it voted instead
    /// of one of those that are most.
    fn spreads(&self, node: NodeId, voters: &[NodeId]) -> bool {
        let most = voters.iter().map(|v| self.neighbours(*v, voters)).max();
        self.neighbours(node, voters) + 1 < most.unwrap_or_default()
    }

    /// A voter too many, once all live: one of the data centre that has the most, so that losing
    /// it costs the fewest.
    fn superfluous(&self, now: Now, voting: &Voting<'_>) -> Option<NodeId> {
        let voters = voting.voters.iter().copied();
        if voters.clone().any(|v| !self.is_alive(now, v)) {
            return None;
        }
        let others = voters.filter(|v| *v != voting.leader);
        others.max_by_key(|v| (self.neighbours(*v, voting.voters), *v))
    }

    /// A living node that isn't a voter, in a data centre with as few of those as can be.
    fn candidate(&self, now: Now, voters: &[NodeId], staying: &[NodeId]) -> Option<NodeId> {
        let able = self.members.iter().filter(|(node, member)| {
            !voters.contains(node)
                && !member.leaving
                && self.is_alive(now, **node)
                && !self.is_replaced(now, **node)
        });
        let failed = |member: &Member| member.failed.is_some_and(|at| now < at + LAST_CHOICE);
        let stale = |member: &Member| member.heard.is_none_or(|heard| now >= heard + FRESH);
        let rank = |node: NodeId, member: &Member| {
            let neighbours = self.neighbours(node, staying);
            (failed(member), stale(member), neighbours, node)
        };
        let best = able.min_by_key(|(node, member)| rank(**node, member));
        best.map(|(node, _)| *node)
    }

    /// How many of some nodes are in a node's data centre.
    fn neighbours(&self, node: NodeId, nodes: &[NodeId]) -> usize {
        let centre = |node: &NodeId| self.members.get(node).map(|m| &m.data_centre);
        nodes.iter().filter(|n| centre(n) == centre(&node)).count()
    }

    fn is_alive(&self, now: Now, node: NodeId) -> bool {
        let heard = self.members.get(&node).and_then(|member| member.heard);
        heard.is_some_and(|heard| now < heard + ALIVE)
    }

    /// Whether another id, heard later, lives at the address of this one.
    fn is_replaced(&self, now: Now, node: NodeId) -> bool {
        let heard = self.members.get(&node).and_then(|member| member.heard);
        self.members.iter().any(|(other, member)| {
            *other != node
                && ip(*other) == ip(node)
                && member.heard > heard
                && self.is_alive(now, *other)
        })
    }
}

fn without(voters: &[NodeId], lost: NodeId) -> Vec<NodeId> {
    voters.iter().copied().filter(|v| *v != lost).collect()
}
