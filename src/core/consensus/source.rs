//! The choice of the node that feeds a learner.
//!
//! Every node ranks sources alike: first the voters of its own data centre, then the learners with
//! a lower id there, then the other voters, and last all other nodes. So in a data centre without
//! voters the reachable learner with the lowest id asks a node in another data centre, and the rest
//! ask that learner. A source that is silent, or that has itself had no contact with a leader, is
//! skipped for a while.

use super::{message::Message, node::Node};
use crate::core::types::{DataCentreId, NodeId, Now};

/// For how many feed timeouts a silent source is skipped the first time. The time doubles whenever
/// the source is silent again.
const SKIP_FEED_TIMEOUTS: u32 = 8;
/// How many times it doubles at most.
const MAX_SKIP_DOUBLINGS: u32 = 6;
/// How many sources may be asked at once while none feeds this node. They are added one by one, so
/// that the first to answer is the only one to do so.
const MAX_TRIALS: usize = 4;

/// A source that doesn't answer, or that isn't in touch with a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Skip {
    /// Until when it is skipped.
    until: Now,
    /// How many times in a row it was silent.
    times: u32,
}

impl Node {
    pub(super) fn expire_sources(&mut self) {
        let timeout = self.config.feed_timeout;
        let now = self.now;
        let source = self
            .feed
            .source
            .filter(|_| now >= self.feed.source_seen + timeout);
        if source.is_some() {
            self.feed.source = None;
        }
        let trials = self.feed.trials.iter();
        let late = trials
            .filter(|(_, since)| now >= **since + timeout)
            .map(|(&n, _)| n);
        let silent: Vec<_> = source.into_iter().chain(late).collect();
        for node in silent {
            self.skip_source(node);
        }
    }

    /// Skips a source for a while, and lets another be asked at once.
    fn skip_source(&mut self, node: NodeId) {
        self.feed.trials.remove(&node);
        self.feed.subscribed_at = None;
        let times = self.feed.skipped.get(&node).map_or(0, |s| s.times);
        let wait = self.config.feed_timeout
            * SKIP_FEED_TIMEOUTS
            * 2_u32.pow(times.min(MAX_SKIP_DOUBLINGS));
        let skip = Skip {
            until: self.now + wait,
            times: times + 1,
        };
        self.feed.skipped.insert(node, skip);
    }

    /// Asks the source, and one node that ranks before it. The old source stays until the better
    /// one has answered, so that trying a dead node causes no gap. Without a source a few nodes are
    /// asked.
    pub(super) fn subscribe_to_sources(&mut self) {
        let now = self.now;
        self.feed.subscribed_at = Some(now);
        let source = self.feed.source;
        let limit = if source.is_some() { 1 } else { MAX_TRIALS };
        if self.feed.trials.len() < limit
            && let Some(node) = self.next_source()
        {
            self.feed.trials.insert(node, now);
        }
        let trials = self.feed.trials.keys().copied();
        let asked: Vec<_> = source.into_iter().chain(trials).collect();
        for node in asked {
            let (last, sent) = (self.committed, now);
            self.outbox.send(node, Message::Subscribe { last, sent });
        }
    }

    /// The best source that ranks before the present one and is neither being asked nor skipped.
    fn next_source(&self) -> Option<NodeId> {
        let sources = self.ranked_sources();
        let better = sources.iter().take_while(|&&n| self.feed.source != Some(n));
        let is_skipped = |n: &NodeId| {
            let skip = self.feed.skipped.get(n);
            skip.is_some_and(|skip| self.now < skip.until)
        };
        // Two nodes that fed each other would both become stale before they noticed.
        let is_fed = |n: &NodeId| self.feed.subscribers.contains_key(n);
        let is_asked = |n: &NodeId| self.feed.trials.contains_key(n);
        let mut open = better.filter(|n| !is_asked(n) && !is_skipped(n) && !is_fed(n));
        let idle = self.feed.source.is_none() && self.feed.trials.is_empty();
        // When all are skipped, the first is as good as any, and one must be asked.
        open.next().or(sources.first().filter(|_| idle)).copied()
    }

    /// All nodes that could feed this one, best first.
    fn ranked_sources(&self) -> Vec<NodeId> {
        let id = self.config.id;
        let voters = self.known_voters();
        let home = self.data_centre(id);
        let near = |n: &NodeId| self.data_centre(*n) == home;
        let is_voter = |n: &NodeId| voters.contains(n);
        // Before it knows the voters, a learner may ask any node.
        let may_relay = |n: &NodeId| *n < id || voters.is_empty();
        let mut nodes: Vec<_> = self.config.locations.iter().map(|p| p.node).collect();
        nodes.extend(voters);
        nodes.retain(|&n| n != id);
        nodes.sort_unstable();
        nodes.dedup();
        let rank = |n: &NodeId| match (near(n), is_voter(n)) {
            (true, true) => 0,
            (true, false) if may_relay(n) => 1,
            (false, true) => 2,
            // The voters may all have been replaced since this node last learned of them. Two nodes
            // that feed each other soon detect that neither has news.
            _ => 3,
        };
        // Relays start at different voters of other data centres, so that these share the load.
        let turn = |n: &NodeId| match voters.iter().position(|v| v == n) {
            Some(at) if !near(n) => (at + id as usize) % voters.len(),
            _ => 0,
        };
        let ranked = nodes.iter().map(|n| (rank(n), turn(n), *n));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, n)| n).collect()
    }

    pub(super) fn known_voters(&self) -> &[NodeId] {
        if self.feed.voters.is_empty() {
            self.voters()
        } else {
            &self.feed.voters
        }
    }

    fn data_centre(&self, node: NodeId) -> Option<&DataCentreId> {
        let mut locations = self.config.locations.iter();
        locations.find(|p| p.node == node).map(|p| &p.data_centre)
    }

    /// Adopts a node as the source if it is in touch with a leader and ranks before the present
    /// one.
    pub(super) fn adopt_source(&mut self, from: NodeId, sent: Now, lag: Now) {
        if lag >= self.config.feed_timeout {
            return;
        }
        self.feed.skipped.remove(&from);
        let asked = self.feed.trials.remove(&from).is_some();
        let sources = if asked {
            self.ranked_sources()
        } else {
            Vec::new()
        };
        let rank = |node| sources.iter().position(|&n| Some(n) == node);
        let before = rank(self.feed.source).is_none_or(|s| rank(Some(from)) < Some(s));
        if asked && before {
            self.feed.source = Some(from);
        }
        if self.feed.source == Some(from) {
            self.feed.source_seen = self.now;
            let contact = sent.saturating_sub(lag);
            self.feed.last_contact = self.feed.last_contact.max(Some(contact));
        }
    }

    /// Records that a chunk of a snapshot came from a node; if that node is the source, it is
    /// alive.
    pub(super) fn refresh_source(&mut self, from: NodeId) {
        if self.feed.source == Some(from) {
            self.feed.source_seen = self.now;
        }
    }
}
