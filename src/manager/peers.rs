//! How a control node treats its peers: it dials them, proposes changes of the voters and
//! broadcasts its view of the cluster.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;

use super::{
    control::{CHECK_INTERVAL, ControlTask, VIEW_INTERVALS},
    frame::{Frame, View},
    identity::address,
    membership::VoterStatus,
    ports::ControlStatus,
    proposals::ReplyTo,
};
use crate::core::{
    consensus::{self, TransferProgress},
    types::{NodeId, Now},
    workload::scheduler::Scheduler,
};

/// Leadership isn't handed to a voter that has been silent for this long. Three heartbeat
/// intervals.
const SUCCESSOR_SILENCE: Duration = Duration::from_millis(300);
/// How long after a log line on a snapshot under way the next one follows.
const TRANSFER_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl ControlTask {
    /// Dials the known control nodes and, as the leader, proposes changes of the voters.
    pub(super) fn maintain_peers(&mut self) {
        let now = self.now();
        if self.check_due.is_some_and(|due| now < due) {
            return;
        }
        self.check_due = Some(now + CHECK_INTERVAL);
        let me = self.node.id();
        let centre = self.data_centre.clone();
        self.members.record_contact(now, me, centre, self.leaving);
        for voter in self.node.voters().to_vec() {
            self.dial(voter);
        }
        self.log_voters(now);
        self.members.record_touch(now, me, self.node.voters());
        self.members.record_log_start(now, self.node.log_start());
        self.log_transfer(now);
        self.members.forget(now);
        self.update_relays(now);
        if self.save_state.is_due(now) {
            self.adopt_cluster();
        }
        if self.leaving && self.node.is_leader() {
            return self.hand_over(now);
        }
        // A join that isn't in the log yet may give way to a better one.
        let joining = self.node.joining();
        let changing = self.node.is_changing_voters() && joining.is_none();
        if self.scheduler.is_none() || !self.holds_lease() || changing {
            return;
        }
        if joining.is_none() {
            self.propose_cluster(now);
        }
        let silent = self
            .members
            .silent_voters(now, &self.node, self.silence_limit);
        let status = VoterStatus {
            leader: me,
            voters: self.node.voters(),
            silent: &silent,
            target: self.target_voters,
            joining,
            repair_time: self.repair_time,
        };
        let wanted = self.members.next_change(now, &status);
        if let Some(voters) = wanted {
            let mut added = voters.iter().copied();
            let added = added.find(|v| !self.node.voters().contains(v));
            self.log_change(now, &voters, added);
            let reply_to = ReplyTo::Membership {
                added,
                proposed_at: now,
            };
            let proposal = self.proposals.propose(reply_to, None);
            self.consensus(consensus::Input::Reconfigure { proposal, voters });
        }
    }

    /// Logs a change of the voters, and what the added node lacks as far as it has said.
    fn log_change(&self, now: Now, voters: &[NodeId], added: Option<NodeId>) {
        let end = self.node.last().index;
        let last = added.and_then(|node| self.members.last_index(node));
        let lacks = last.map(|last| end.saturating_sub(last));
        let snapshot = added.is_some_and(|node| self.members.needs_snapshot(now, node));
        let replaces = self.node.joining();
        log::info!(voters:?, now:? = self.node.voters(), added, lacks, snapshot, replaces; "proposing a change of the voters");
    }

    /// Updates the nodes that can execute orders as relays.
    fn update_relays(&mut self, now: Now) {
        let mut others = self.members.fresh_peers(now, self.node.id());
        others.retain(|(node, _)| self.relay_capable.contains(node));
        self.relays.set_nodes(others);
    }

    /// Hands leadership over before this process ends. Called again until another node has it.
    fn hand_over(&mut self, now: Now) {
        let status = VoterStatus {
            leader: self.node.id(),
            voters: self.node.voters(),
            silent: &self.node.silent_voters(SUCCESSOR_SILENCE),
            target: self.target_voters,
            joining: None,
            repair_time: self.repair_time,
        };
        let to = self.members.successor(now, &status);
        if to.is_some() && !self.node.is_handing_over() {
            self.consensus(consensus::Input::HandOver { to });
        }
    }

    /// Logs the voters and those of them that this node hears when either changes. Without a
    /// leader, only this line distinguishes too few alive voters from alive voters that can't
    /// agree.
    fn log_voters(&mut self, now: Now) {
        let voters = self.node.voters().to_vec();
        let heard = self.members.alive(now, &voters);
        if (&voters, &heard) == (&self.logged_voters.0, &self.logged_voters.1) {
            return;
        }
        let (term, index) = (self.node.term(), self.node.last().index);
        log::info!(term, index, voters:?, heard:?; "the voters or the reachable ones among them changed");
        self.logged_voters = (voters, heard);
    }

    /// Logs how far the oldest of the snapshots is that this node is sending, and when one that was
    /// logged ends. Shorter ones than a check's interval may not be seen here.
    fn log_transfer(&mut self, now: Now) {
        let transfers = self.node.transfers();
        if let Some((last, _)) = self.logged_transfer {
            let same = |t: &TransferProgress| (t.node, t.index) == (last.node, last.index);
            if !transfers.iter().any(same) {
                let TransferProgress { node, index, .. } = last;
                let elapsed = now - last.since;
                log::info!(node, index, elapsed:?; "a node is no longer being sent a snapshot");
                self.logged_transfer = None;
            }
        }
        let due = self
            .logged_transfer
            .map(|(_, at)| at + TRANSFER_LOG_INTERVAL);
        let Some(oldest) = transfers.into_iter().min_by_key(|t| t.since) else {
            return;
        };
        if due.is_some_and(|due| now < due) {
            return;
        }
        let TransferProgress {
            node,
            index,
            held,
            total,
            since,
        } = oldest;
        let elapsed = now - since;
        log::info!(node, index, held, total, elapsed:?; "a node is being sent a snapshot");
        self.logged_transfer = Some((oldest, now));
    }

    /// Publishes this node's status in the cluster when it changes.
    fn publish_status(&mut self, now: Now) {
        let status = ControlStatus {
            leader: self.node.leader(),
            votes: self.node.is_committed_voter(),
            leaving: self.leaving,
            replaceable: self.leaving && self.has_substitute(now),
        };
        self.ports.status.send_if_modified(|shown| {
            let changed = *shown != status;
            *shown = status;
            changed
        });
    }

    /// Whether another node can take this node's vote, or the voter list is longer than it should
    /// be. In that case another node votes already, but a majority of the longer list still counts
    /// this node in.
    fn has_substitute(&self, now: Now) -> bool {
        let voters = self.node.voters();
        voters.len() > self.target_voters || self.members.has_candidate(now, voters)
    }

    /// Updates the gauges.
    fn update_gauges(&self) {
        let metrics = &self.ports.metrics;
        let scheduler = self.scheduler.as_ref();
        metrics.leading.set(i64::from(scheduler.is_some()));
        metrics.term.set(count(self.node.term()));
        metrics.applied.set(count(self.ledger.applied()));
        metrics.votes.set(i64::from(self.node.is_voter()));
        metrics.voters.set(size(self.logged_voters.0.len()));
        metrics.voters_heard.set(size(self.logged_voters.1.len()));
        let known = self.ports.mesh.claim().cluster.is_some();
        metrics.joined.set(i64::from(known));
        metrics.agents.set(size(self.ledger.agents().count()));
        metrics
            .waiting
            .set(size(scheduler.map_or(0, Scheduler::waiting)));
        metrics
            .placed
            .set(size(scheduler.map_or(0, Scheduler::placed)));
        metrics
            .under_way
            .set(size(scheduler.map_or(0, Scheduler::under_way)));
        let now = self.now();
        let renewal_age = scheduler.map_or(Duration::ZERO, |scheduler| scheduler.renewal_age(now));
        metrics.renewal_age.set(renewal_age.as_secs_f64());
        metrics
            .suspected
            .set(size(scheduler.map_or(0, Scheduler::suspected)));
        metrics
            .missing_hosts
            .set(size(scheduler.map_or(0, Scheduler::missing_hosts)));
        let held = self.ledger.footprint();
        metrics
            .state_bytes
            .set(i64::try_from(held.total()).unwrap_or(i64::MAX));
        metrics
            .state_tasks
            .set(i64::try_from(held.tasks).unwrap_or(i64::MAX));
        metrics
            .reservations
            .set(size(scheduler.map_or(0, Scheduler::reservations)));
    }

    fn dial(&self, node: NodeId) {
        if node != self.node.id() {
            self.ports.mesh.dial(self.address(node));
        }
    }

    fn address(&self, node: NodeId) -> SocketAddr {
        address(node, self.mesh_port)
    }

    pub(super) fn handle_view(&mut self, from: NodeId, view: View) {
        let now = self.now();
        let mut new = self
            .members
            .record_contact(now, from, view.data_centre, view.leaving);
        if let Some(last) = view.last_index {
            self.members.record_progress(now, from, last, view.received);
        }
        if view.relays {
            self.relay_capable.insert(from);
        }
        for (node, centre) in view.controls {
            new |= self.members.record_mention(now, node, centre);
            self.dial(node);
        }
        if new {
            // All nodes must be able to reach a new node before the next node is lost.
            self.view_due = None;
        }
    }

    /// Broadcasts this node's view to every linked node, at intervals and when it changes.
    pub(super) fn broadcast_view(&mut self) {
        let now = self.now();
        let leader = self.node.leader();
        let limits = self.catalog.as_ref().map(|catalog| catalog.limits);
        let known = self.last_view.as_ref().is_some_and(|v| v.leader == leader);
        let same = known && self.last_view.as_ref().is_some_and(|v| v.limits == limits);
        let pause = if self.scheduler.is_some() {
            VIEW_INTERVALS.0
        } else {
            VIEW_INTERVALS.1
        };
        self.publish_status(now);
        if same && self.view_due.is_some_and(|due| now < due) {
            return;
        }
        self.view_due = Some(now + pause);
        self.update_gauges();
        let controls = self.members.announced(now);
        let view = View {
            data_centre: self.data_centre.clone(),
            term: self.node.term(),
            leader,
            leaving: self.leaving,
            controls: controls.clone(),
            limits,
            relays: true,
            last_index: Some(self.node.last().index),
            received: self.node.received(),
        };
        if self
            .last_view
            .as_ref()
            .is_none_or(|v| v.controls != view.controls)
        {
            let place = |(node, data_centre)| consensus::interface::Location { node, data_centre };
            let places = controls.into_iter().map(place).collect();
            self.consensus(consensus::Input::Nodes(places));
        }
        if !known {
            log::info!(term = view.term, leader; "the leader changed");
        }
        let frame: Bytes = Frame::View(view.clone()).encode();
        for peer in self.ports.mesh.peers() {
            self.ports.mesh.send(peer, frame.clone());
        }
        self.last_view = Some(view);
    }
}

fn count(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn size(value: usize) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
