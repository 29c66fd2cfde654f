//! Decides which control nodes should vote, from the nodes' last contacts, announced ends and data
//! centres. It proposes nothing itself.
//!
//! A voter that is gone for good must be replaced before the next one is lost: one of three voters
//! is no majority, and without a majority no new voter can be added. Nothing tells a voter that
//! will come back from one that won't, so any silent voter is replaced as soon as another node can
//! take its place. If it does come back, that has cost two log entries. Between the two, the new
//! voter is needed for a majority. The old voter is a learner then and may be chosen again. If
//! there is no other node, the silent voter stays.
//!
//! A leader counts a voter's silence by its own heartbeats, and so from its election. Before that it
//! may have missed the voter's views for a while. That time counts, too, if this node was in touch
//! with most of the voters all the while. Otherwise each election would add to the time until a lost
//! voter is replaced. Silence in views counts from when the next one was due.
//!
//! A new voter helps only once it has the log. A node that the leader's log reaches has it within
//! milliseconds; one that lacks more needs a whole snapshot first. So of the nodes that don't vote,
//! these count in turn:
//!
//! - that it didn't fail to join a moment ago: such a node may be as full as it will, the leader
//!   doesn't reach it, or its disk hangs;
//! - that the leader's log reaches it. This stands before its last contact: a node that died
//!   unseen is noticed by its silence within the longest election timeout, whereas a snapshot may
//!   take many times that. It stands before the spread over the data centres, too, because that can
//!   be mended by another change later, and a lost majority can't;
//! - that it was heard from just now, then few voters in its data centre, then the end of its log.
//!
//! How far a node is, it says in its view, once a second. A view is older than it looks, so for a
//! while after the leader dropped entries from its log, nodes are judged by the log's earlier
//! start. A node of an earlier release says nothing, and is chosen after those that do.
//!
//! A node that needs a snapshot is fed as a learner by a voter that has less to do than the leader.
//! So the leader doesn't begin a join with it while its views show progress, and no longer than the
//! time that is promised between two losses. If nobody feeds it, the leader begins: a slow join is
//! better than none. While a join is under way no other change can begin. So it gives way to a node
//! that the log reaches, at once if the joining node needs a snapshot, and else after a part of the
//! promised time. A node that ever failed to join takes no other's place, and one that was given up
//! counts as failed, so that the choice doesn't turn between two nodes. A join for which there is no
//! better node has no limit of time as long as the node answers: its transfer would only begin
//! again.
//!
//! A node that lost its disk comes back with a different id. So an id is gone for good once another
//! id is alive at its address. A node that is about to end announces it, and is replaced while it
//! still votes if another node can take its place.
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::manager::{
//!     identity::node_id,
//!     membership::{Members, VoterStatus},
//! };
//!
//! let node = |host: u8| node_id([10, 0, 0, host].into(), 0);
//! let now = Duration::from_secs(9);
//! let mut members = Members::default();
//! for (host, data_centre) in [(1, "east"), (2, "west"), (4, "north")] {
//!     members.record_contact(now, node(host), data_centre.into(), false);
//! }
//! // The new voter is added before the lost one is removed.
//! let voters = [node(1), node(2), node(3)];
//! let silent = [node(3)];
//! let mut status = VoterStatus {
//!     leader: node(1),
//!     voters: &voters,
//!     silent: &silent,
//!     target: 3,
//!     joining: None,
//!     repair_time: Duration::from_secs(4),
//! };
//! let voters = members.next_change(now, &status).expect("the third is lost");
//! assert_eq!(voters, [node(1), node(2), node(3), node(4)]);
//! status.voters = &voters;
//! let voters = members.next_change(now, &status).expect("it is still there");
//! assert_eq!(voters, [node(1), node(2), node(4)]);
//! ```

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use super::{
    control::{CHECK_INTERVAL, VIEW_INTERVALS},
    identity::ip,
};
use crate::core::{
    consensus::{Index, Node},
    types::{DataCentreId, NodeId, Now},
};

/// A node counts as alive if it was heard from within this time. Covers two intervals of its views
/// and some delay.
const ALIVE_WITHIN: Duration = Duration::from_millis(2500);
/// How long a node that couldn't be made a voter is chosen only as the last resort, as a share of
/// the time between two losses. Another node may be reachable where this one isn't, and this one
/// may be reachable again soon.
const FAILED_SHARE: f64 = 0.5;
/// How long a join may last before it gives way to another node that the log reaches, as a share of
/// the time between two losses. What is left of that time is for the silence before the join and
/// for the other node's changes.
const JOIN_SHARE: f64 = 0.2;
/// An alive node that was heard from within this time is chosen before others. Covers one interval
/// of its views and some delay. A failure that takes a voter away may have taken nodes next to it.
const FRESH_WITHIN: Duration = Duration::from_millis(1200);
/// A look at the voters is late after three of its intervals. Views may wait to be read then.
const LATE_LOOK: Duration = CHECK_INTERVAL.saturating_mul(3);
/// Nodes that haven't been heard from for this long are forgotten. Otherwise replaced nodes would
/// be announced and dialled for ever. Longer than any network partition that operators reported.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What is known about a control node.
#[derive(Clone, Debug)]
struct Member {
    data_centre: DataCentreId,
    /// When this node last heard from it; `None` if only other nodes mentioned it.
    last_seen: Option<Now>,
    /// When this node last heard from it, or else when another node first mentioned it.
    known_at: Now,
    /// Whether it has announced that it is about to end.
    leaving: bool,
    /// When it last couldn't be made a voter.
    failed_at: Option<Now>,
    /// How far it is, if it says so.
    progress: Option<Progress>,
}

/// How far a node is, as it said last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Progress {
    /// The end of its log.
    last: Index,
    /// How many bytes it holds of a snapshot that it is being sent.
    received: u64,
    /// When one of these last differed from before.
    moved_at: Now,
}

/// Where the log of this node starts.
#[derive(Clone, Copy, Debug, Default)]
struct LogStart {
    /// The last entry that the log has dropped.
    index: Index,
    /// The same before it last changed.
    before: Index,
    /// When it last changed.
    since: Now,
}

/// Whether the leader's log reaches a node, in the order in which nodes are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reach {
    Log,
    Unknown,
    Snapshot,
}

/// The known control nodes.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: BTreeMap<NodeId, Member>,
    /// The node that was last asked to be added as a voter, and when.
    asked: Option<(NodeId, Now)>,
    /// The node that is left to be fed before it is added as a voter, and since when.
    awaited: Option<(NodeId, Now)>,
    log_start: LogStart,
    /// When this node last looked at the voters.
    looked_at: Option<Now>,
    /// When this node last wasn't in touch with most of the voters, or had stood still.
    cut_off_at: Option<Now>,
}

/// The current voters as the leader sees them.
#[derive(Clone, Copy, Debug)]
pub struct VoterStatus<'a> {
    /// The leader.
    pub leader: NodeId,
    /// The voters.
    pub voters: &'a [NodeId],
    /// The voters that haven't answered the leader for too long.
    pub silent: &'a [NodeId],
    /// How many voters there should be.
    pub target: usize,
    /// The node that is being added, while it isn't in the log as a voter.
    pub joining: Option<NodeId>,
    /// The time that is promised between two losses of control nodes.
    pub repair_time: Duration,
}

impl Members {
    /// Records that a control node was heard from and whether it is about to end. Returns whether
    /// it was never heard from before.
    pub fn record_contact(
        &mut self,
        now: Now,
        node: NodeId,
        data_centre: DataCentreId,
        leaving: bool,
    ) -> bool {
        let before = self.members.remove(&node);
        let failed_at = before.as_ref().and_then(|member| member.failed_at);
        let progress = before.as_ref().and_then(|member| member.progress);
        let new = before.is_none_or(|member| member.last_seen.is_none());
        let member = Member {
            data_centre,
            last_seen: Some(now),
            known_at: now,
            leaving,
            failed_at,
            progress,
        };
        self.members.insert(node, member);
        new
    }

    /// Records that another node mentioned a control node, which may not be alive. Returns whether
    /// it is new.
    pub fn record_mention(&mut self, now: Now, node: NodeId, data_centre: DataCentreId) -> bool {
        let new = !self.members.contains_key(&node);
        self.members.entry(node).or_insert(Member {
            data_centre,
            last_seen: None,
            known_at: now,
            leaving: false,
            failed_at: None,
            progress: None,
        });
        new
    }

    /// Records how far a known node says that it is: the end of its log, and how many bytes it holds
    /// of a snapshot that it is being sent.
    pub fn record_progress(&mut self, now: Now, node: NodeId, last: Index, received: u64) {
        let Some(member) = self.members.get_mut(&node) else {
            return;
        };
        let same = member
            .progress
            .filter(|p| (p.last, p.received) == (last, received));
        member.progress = Some(Progress {
            last,
            received,
            moved_at: same.map_or(now, |p| p.moved_at),
        });
    }

    /// Records the last entry that this node's log has dropped.
    pub fn record_log_start(&mut self, now: Now, index: Index) {
        if index != self.log_start.index {
            self.log_start = LogStart {
                index,
                before: self.log_start.index,
                since: now,
            };
        }
    }

    /// The end of a node's log as it said last.
    pub fn last_index(&self, node: NodeId) -> Option<Index> {
        Some(self.members.get(&node)?.progress?.last)
    }

    /// Whether a node lacks entries that this node's log has dropped.
    pub fn needs_snapshot(&self, now: Now, node: NodeId) -> bool {
        self.reach(now, node) == Reach::Snapshot
    }

    /// Records whether this node is in touch with most of the voters. Called at each look at the
    /// voters, on every node.
    pub fn record_touch(&mut self, now: Now, me: NodeId, voters: &[NodeId]) {
        let heard = |v: &&NodeId| **v == me || self.is_fresh(now, **v);
        let touch = voters.iter().filter(heard).count() > voters.len() / 2;
        let late = self.looked_at.is_none_or(|at| now >= at + LATE_LOOK);
        self.looked_at = Some(now);
        if late || !touch {
            self.cut_off_at = Some(now);
        }
    }

    /// The voters that count as lost at a leader after `limit` of silence. If this node has heard
    /// nothing from a voter since before its election, that time counts, too, once the voter hasn't
    /// answered a few heartbeats.
    pub fn silent_voters(&self, now: Now, node: &Node, limit: Duration) -> Vec<NodeId> {
        let silent = node.silent_voters(limit);
        let mut unanswered = node.silent_voters(limit.min(node.answer_grace()));
        unanswered.retain(|v| silent.contains(v) || self.is_unheard(now, *v, limit));
        unanswered
    }

    /// Whether a node's view has been due for `limit`, and this node was in touch with most of the
    /// voters meanwhile: a node that was cut off mustn't take its own silence for theirs.
    pub fn is_unheard(&self, now: Now, node: NodeId, limit: Duration) -> bool {
        let due = self.last_seen(node).map(|seen| seen + VIEW_INTERVALS.1);
        due.is_some_and(|due| now >= due.max(self.cut_off_at.unwrap_or(now)) + limit)
    }

    /// Forgets nodes that haven't been heard from for a long time.
    pub fn forget(&mut self, now: Now) {
        self.members
            .retain(|_, member| now < member.known_at + FORGET_AFTER);
    }

    /// All nodes that were heard from, except those whose address another id has taken. Nodes that
    /// were only mentioned aren't announced; otherwise nodes would go on announcing a dead node to
    /// each other for ever.
    pub fn announced(&self, now: Now) -> Vec<(NodeId, DataCentreId)> {
        let all = self.members.iter().filter(|(_, m)| m.last_seen.is_some());
        let all = all.filter(|(node, _)| !self.is_superseded(now, **node));
        all.map(|(node, member)| (*node, member.data_centre.clone()))
            .collect()
    }

    /// The nodes other than `me` that were heard from recently, aren't about to end and aren't
    /// superseded, with their data centres.
    pub fn fresh_peers(&self, now: Now, me: NodeId) -> Vec<(NodeId, DataCentreId)> {
        let others = self.members.iter().filter(|(node, _)| {
            **node != me && self.is_fresh(now, **node) && self.is_able(now, **node)
        });
        others
            .map(|(node, member)| (*node, member.data_centre.clone()))
            .collect()
    }

    /// Those of `nodes` that are alive.
    pub fn alive(&self, now: Now, nodes: &[NodeId]) -> Vec<NodeId> {
        let living = |node: &NodeId| self.is_alive(now, *node);
        nodes.iter().copied().filter(living).collect()
    }

    /// Returns the voters after the most urgent change; `None` if no change is needed or possible.
    pub fn next_change(&mut self, now: Now, status: &VoterStatus<'_>) -> Option<Vec<NodeId>> {
        let VoterStatus { voters, target, .. } = *status;
        let lost = self.voter_to_replace(now, status);
        if voters.len() > target {
            let out = lost.or_else(|| self.surplus_voter(now, status))?;
            return Some(without(voters, out));
        }
        let staying = lost.map_or_else(|| voters.to_vec(), |lost| without(voters, lost));
        let added = self.candidate(now, status, &staying)?;
        if lost.is_none() && voters.len() == target && !self.improves_spread(added, voters) {
            self.awaited = None;
            return None;
        }
        if let Some(joining) = status.joining {
            if !self.gives_way(now, status, joining, added) {
                return None;
            }
        } else if self.is_awaited(now, status, added) {
            return None;
        }
        self.awaited = None;
        self.asked = Some((added, now));
        let mut changed = voters.to_vec();
        changed.push(added);
        changed.sort_unstable();
        Some(changed)
    }

    /// A change that added a node was applied.
    pub fn change_applied(&mut self, added: NodeId) {
        if let Some(member) = self.members.get_mut(&added) {
            member.failed_at = None;
        }
    }

    /// A change that would have added a node failed.
    pub fn change_failed(&mut self, now: Now, added: NodeId) {
        if let Some(member) = self.members.get_mut(&added) {
            member.failed_at = Some(now);
        }
    }

    /// Whether the join of one node gives way to another. If it lasted too long, the joining node
    /// counts as failed.
    fn gives_way(
        &mut self,
        now: Now,
        status: &VoterStatus<'_>,
        joining: NodeId,
        other: NodeId,
    ) -> bool {
        if self.is_leaving(joining) || self.is_superseded(now, joining) {
            return true;
        }
        let failed = |member: &Member| member.failed_at.is_some();
        let fit = self.is_fresh(now, other) && !self.members.get(&other).is_some_and(failed);
        if !fit || self.reach(now, other) == Reach::Snapshot {
            return false;
        }
        if self.needs_snapshot(now, joining) && self.reach(now, other) == Reach::Log {
            return true;
        }
        let limit = status.repair_time.mul_f64(JOIN_SHARE);
        let asked = self.asked.filter(|(node, _)| *node == joining);
        let slow = asked.is_some_and(|(_, at)| now >= at + limit);
        if slow {
            self.change_failed(now, joining);
        }
        slow
    }

    /// Whether to wait until a node that needs a snapshot has been fed, instead of adding it now.
    fn is_awaited(&mut self, now: Now, status: &VoterStatus<'_>, node: NodeId) -> bool {
        if !self.needs_snapshot(now, node) {
            return false;
        }
        let since = match self.awaited {
            Some((awaited, since)) if awaited == node => since,
            _ => now,
        };
        self.awaited = Some((node, since));
        let progress = self.members.get(&node).and_then(|member| member.progress);
        // Two views without progress tell that nobody feeds it.
        let moves = progress.is_some_and(|p| now < p.moved_at + ALIVE_WITHIN);
        moves && now < since + status.repair_time
    }

    /// Whether an alive node that isn't a voter could become one.
    pub fn has_candidate(&self, now: Now, voters: &[NodeId]) -> bool {
        let mut nodes = self.members.keys();
        nodes.any(|node| !voters.contains(node) && self.is_able(now, *node))
    }

    /// The voter that a leader should hand over to before it ends. It must be alive, not silent and
    /// not about to end. Of these it is the most advanced: no proposal is accepted until it has all
    /// entries.
    pub fn successor(&self, now: Now, status: &VoterStatus<'_>) -> Option<NodeId> {
        let voters = status.voters.iter().copied();
        let able = |v: &NodeId| {
            let there = !self.is_leaving(*v) && self.is_alive(now, *v);
            *v != status.leader && there && !status.silent.contains(v)
        };
        voters
            .filter(able)
            .max_by_key(|v| (self.last_index(*v), self.last_seen(*v)))
    }

    /// The voter that most needs to be replaced.
    fn voter_to_replace(&self, now: Now, status: &VoterStatus<'_>) -> Option<NodeId> {
        let voters = || status.voters.iter().copied();
        voters()
            .find(|v| self.is_superseded(now, *v))
            .or_else(|| voters().find(|v| status.silent.contains(v)))
            .or_else(|| voters().find(|v| self.is_leaving(*v) && *v != status.leader))
    }

    /// Whether the loss of one data centre would take fewer voters if `node` replaced a voter in
    /// the data centre that has the most.
    fn improves_spread(&self, node: NodeId, voters: &[NodeId]) -> bool {
        let most = voters
            .iter()
            .map(|v| self.count_in_centre(*v, voters))
            .max();
        self.count_in_centre(node, voters) + 1 < most.unwrap_or_default()
    }

    /// The voter to remove from a list that is too long, once all voters are alive. It is in the
    /// data centre that has the most voters, so that the loss of a data centre takes as few voters
    /// as possible.
    fn surplus_voter(&self, now: Now, status: &VoterStatus<'_>) -> Option<NodeId> {
        let voters = status.voters.iter().copied();
        if voters.clone().any(|v| !self.is_alive(now, v)) {
            return None;
        }
        let others = voters.filter(|v| *v != status.leader);
        others.max_by_key(|v| (self.count_in_centre(*v, status.voters), *v))
    }

    /// The best alive node that neither votes nor joins; the module documentation says in which
    /// order.
    fn candidate(&self, now: Now, status: &VoterStatus<'_>, staying: &[NodeId]) -> Option<NodeId> {
        let backoff = status.repair_time.mul_f64(FAILED_SHARE);
        let failed = |member: &Member| member.failed_at.is_some_and(|at| now < at + backoff);
        let rank = |node: NodeId, member: &Member| {
            (
                failed(member),
                self.reach(now, node),
                !self.is_fresh(now, node),
                self.count_in_centre(node, staying),
                Reverse(self.last_index(node)),
                node,
            )
        };
        let others = self.members.iter();
        let able = others.filter(|(node, _)| {
            let taken = status.voters.contains(node) || status.joining == Some(**node);
            !taken && self.is_able(now, **node)
        });
        let best = able.min_by_key(|(node, member)| rank(**node, member));
        best.map(|(node, _)| *node)
    }

    /// Whether a node could vote: it is alive, not about to end and not superseded.
    fn is_able(&self, now: Now, node: NodeId) -> bool {
        !self.is_leaving(node) && self.is_alive(now, node) && !self.is_superseded(now, node)
    }

    /// Whether a node has announced that it is about to end.
    fn is_leaving(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(|member| member.leaving)
    }

    /// Whether this node's log reaches a node. While views may be older than the log's start, the
    /// earlier start counts.
    fn reach(&self, now: Now, node: NodeId) -> Reach {
        let LogStart {
            index,
            before,
            since,
        } = self.log_start;
        let start = if now < since + FRESH_WITHIN {
            before.min(index)
        } else {
            index
        };
        match self.last_index(node) {
            None => Reach::Unknown,
            Some(last) if last >= start => Reach::Log,
            Some(_) => Reach::Snapshot,
        }
    }

    /// How many of `nodes` are in the same data centre as `node`.
    fn count_in_centre(&self, node: NodeId, nodes: &[NodeId]) -> usize {
        let centre = |node: &NodeId| self.members.get(node).map(|m| &m.data_centre);
        nodes.iter().filter(|n| centre(n) == centre(&node)).count()
    }

    /// When this node last heard from a node.
    fn last_seen(&self, node: NodeId) -> Option<Now> {
        self.members.get(&node)?.last_seen
    }

    /// Whether a node was heard from just now, so that it is hardly lost.
    fn is_fresh(&self, now: Now, node: NodeId) -> bool {
        let last_seen = self.last_seen(node);
        last_seen.is_some_and(|last_seen| now < last_seen + FRESH_WITHIN)
    }

    fn is_alive(&self, now: Now, node: NodeId) -> bool {
        let last_seen = self.last_seen(node);
        last_seen.is_some_and(|last_seen| now < last_seen + ALIVE_WITHIN)
    }

    /// Whether another id is alive at this node's address and was heard from later.
    fn is_superseded(&self, now: Now, node: NodeId) -> bool {
        let last_seen = self.last_seen(node);
        self.members.iter().any(|(other, member)| {
            *other != node
                && ip(*other) == ip(node)
                && member.last_seen > last_seen
                && self.is_alive(now, *other)
        })
    }
}

fn without(voters: &[NodeId], lost: NodeId) -> Vec<NodeId> {
    voters.iter().copied().filter(|v| *v != lost).collect()
}
