//! Exhaustive checks of the guarantees. Each is repeated with one protection off and must then
//! fail.

use std::time::Instant;

use egretpin::core::{
    cluster::{Claim, Cluster, Founder},
    consensus::Protections,
    types::NodeId,
};

use crate::model::{Appends, Bounds, Model, State};

const TWO_LEADERS: &str = "two leaders in a term";
const MISSING_ENTRY: &str = "a leader lacks a committed entry";
const TWO_LEASES: &str = "two leases at once";
const LEADER_DEPOSED: &str = "a leader with a quorum was deposed";

/// A search with a name for the printed report.
struct Check {
    name: &'static str,
    model: Model,
    start: fn(&Model) -> State,
}

impl Check {
    fn search(&self, model: &Model, name: &str) -> Option<&'static str> {
        let clock = Instant::now();
        let report = model.search((self.start)(model));
        let (states, depth, found) = (report.states, report.depth, report.violation);
        let time = clock.elapsed();
        println!("{name}: {states} states, depth {depth}, found {found:?}, {time:?}");
        found
    }

    /// Asserts that the search finds no violation.
    fn holds(self) -> Self {
        assert_eq!(self.search(&self.model, self.name), None);
        self
    }

    /// Asserts that the search, within the same bounds, finds `violation` with one protection off.
    fn fails(self, without: &str, violation: &str, switch: fn(&mut Protections)) -> Self {
        let mut weak = self.model.clone();
        switch(&mut weak.protections);
        let name = format!("{} without {without}", self.name);
        assert_eq!(self.search(&weak, &name), Some(violation), "{name}");
        self
    }
}

fn check(name: &'static str, model: Model, start: fn(&Model) -> State) -> Check {
    Check { name, model, start }
}

#[test]
fn at_most_one_leader_per_term() {
    let bounds = Bounds {
        timeouts: 2,
        restarts: 1,
        late_syncs: 1,
        redeliveries: 1,
        ..Bounds::default()
    };
    let mut model = Model::new(bounds).safety_only().restrict(&[1, 2, 3], &[3]);
    model.appends = Appends::None;
    check("one leader", model, Model::start)
        .holds()
        .fails("sync", TWO_LEADERS, |p| p.sync = false)
        .fails("ballots", TWO_LEADERS, |p| p.ballot = false);
}

#[test]
fn an_acknowledged_change_survives_a_crash() {
    let bounds = Bounds {
        timeouts: 1,
        proposals: 2,
        restarts: 1,
        late_syncs: 1,
        ..Bounds::default()
    };
    let model = Model::new(bounds).safety_only().restrict(&[3], &[2]);
    check("durability", model, Model::elected)
        .holds()
        .fails("sync", MISSING_ENTRY, |p| p.sync = false);
}

#[test]
fn an_old_terms_entry_is_not_committed_by_counting() {
    let bounds = Bounds {
        timeouts: 2,

        ..Bounds::default()
    };
    let model = Model::new(bounds).safety_only().restrict(&[1, 3], &[]);
    check("own term", model, Model::split)
        .holds()
        .fails("own term", MISSING_ENTRY, |p| p.own_term = false);
}

#[test]
fn a_lost_disk_loses_no_committed_entry() {
    let bounds = Bounds {
        timeouts: 1,
        proposals: 2,
        disk_losses: 1,
        ..Bounds::default()
    };
    let model = Model::new(bounds).safety_only().restrict(&[3], &[2]);
    check("lost disk", model, Model::elected)
        .holds()
        .fails("eligibility", MISSING_ENTRY, |p| p.eligibility = false);
}

#[test]
fn at_most_one_lease_at_a_time() {
    let bounds = Bounds {
        clock_steps: 2,
        restarts: 1,
        ..Bounds::default()
    };
    let mut model = Model::new(bounds).restrict(&[1, 2], &[3]);
    model.appends = Appends::All;
    model.max_depth = 15;
    check("lease", model, Model::elected)
        .holds()
        .fails("lease", TWO_LEASES, |p| p.lease = false);
}

#[test]
fn a_hand_over_ends_the_lease_first() {
    let bounds = Bounds {
        clock_steps: 1,
        handovers: 1,
        ..Bounds::default()
    };
    let mut model = Model::new(bounds).restrict(&[1, 2], &[]);
    model.appends = Appends::All;
    model.max_depth = 10;
    check("hand-over", model, Model::elected)
        .holds()
        .fails("lease release", TWO_LEASES, |p| p.release_lease = false);
}

#[test]
fn a_returning_host_deposes_no_leader() {
    let bounds = Bounds {
        timeouts: 3,
        proposals: 2,
        ..Bounds::default()
    };
    let mut model = Model::new(bounds).restrict(&[3], &[]);
    model.keeps_leader = true;
    check("returning host", model, Model::elected)
        .holds()
        .fails("pre-vote", LEADER_DEPOSED, |p| p.pre_vote = false)
        .fails("lease", LEADER_DEPOSED, |p| p.lease = false);
}

#[test]
fn voters_change_one_at_a_time() {
    let bounds = Bounds {
        timeouts: 1,
        changes: 1,
        proposals: 1,
        ..Bounds::default()
    };
    let mut model = Model::new(bounds).safety_only().restrict(&[2, 3], &[]);
    model.joiners = vec![4, 5];
    model.voter_lists = vec![vec![1, 4, 5]];
    check("one change of voters", model, Model::elected)
        .holds()
        .fails("single server", MISSING_ENTRY, |p| p.single_server = false);
}

#[test]
fn a_snapshot_holds_what_was_applied() {
    let bounds = Bounds {
        timeouts: 1,
        proposals: 1,
        compactions: 1,
        restarts: 1,
        ..Bounds::default()
    };
    let model = Model::new(bounds).safety_only().restrict(&[2], &[3]);
    check("snapshots", model, Model::elected).holds();
}

#[test]
fn all_protections_together_hold() {
    let bounds = Bounds {
        timeouts: 2,
        proposals: 1,
        restarts: 1,
        ..Bounds::default()
    };
    let model = Model::new(bounds).restrict(&[2, 3], &[3]);
    check("all protections", model, Model::elected).holds();
}

/// A cluster with the given id, founded by three nodes that have a folder each.
fn cluster(id: u64) -> Cluster {
    let founder = |node| Founder {
        node,
        folder: id * 10 + node,
    };
    let founders = [1, 2, 3].map(founder).to_vec();
    Cluster { id, founders }
}

/// What a node of the cluster `of` says of itself; `knows` is whether it knows its cluster.
fn claim(node: NodeId, of: u64, knows: bool) -> Claim {
    Claim {
        node,
        folder: Some(of * 10 + node),
        cluster: knows.then(|| cluster(of)),
    }
}

/// Guards against a node of another cluster that has the id of a voter: one was elected, and
/// everything that had been committed was lost.
#[test]
fn a_voter_of_another_cluster_is_not_counted() {
    let bounds = Bounds {
        timeouts: 2,
        proposals: 1,
        ..Bounds::default()
    };
    let knowing = [claim(1, 7, true), claim(2, 7, true)];
    let late = [claim(1, 7, true), claim(2, 7, false)];
    for (ours, foreign) in [
        (knowing.clone(), claim(3, 8, true)),
        (knowing, claim(3, 8, false)),
        (late, claim(3, 8, true)),
    ] {
        let mut model = Model::new(bounds).safety_only().restrict(&[2, 3], &[]);
        model.claims = ours.into_iter().chain([foreign]).collect();
        let check = check("foreign voter", model, Model::with_foreign_voter).holds();
        let mut weak = check.model.clone();
        weak.claims.clear();
        let found = check.search(&weak, "foreign voter without the check");
        assert_eq!(found, Some(MISSING_ENTRY));
    }
}

#[test]
fn two_changes_of_voters_in_a_row_hold() {
    let bounds = Bounds {
        timeouts: 1,
        changes: 2,
        proposals: 1,
        ..Bounds::default()
    };
    let mut model = Model::new(bounds).safety_only().restrict(&[2], &[]);
    model.joiners = vec![4];
    model.voter_lists = vec![vec![1, 2, 4], vec![1, 2, 3, 4]];
    model.max_depth = 22;
    check("two changes", model, Model::elected).holds().fails(
        "single server",
        MISSING_ENTRY,
        |p| p.single_server = false,
    );
}

/// Guards against a join that gives way to another and still counts anywhere.
#[test]
fn a_join_that_gives_way_to_another_holds() {
    let bounds = Bounds {
        timeouts: 1,
        changes: 2,
        proposals: 1,
        ..Bounds::default()
    };
    let mut model = Model::new(bounds).safety_only().restrict(&[2], &[]);
    model.joiners = vec![4, 5];
    model.voter_lists = vec![vec![1, 2, 3, 5], vec![1, 2, 3, 4]];
    model.max_depth = 14;
    check("a join gives way", model, Model::elected).holds();
}
