//! The limits that admission keeps to.

use std::{collections::BTreeMap, time::Duration};

use crate::core::{
    declaration::{Declaration, GroupSpec, RequestSpec},
    types::GroupId,
};

/// The limits of one service's queue in one node.
///
/// ```
/// use std::time::Duration;
/// use egretpin::core::{admission::Policy, declaration::GroupSpec};
///
/// let spec = GroupSpec { weight: 3, rate: Some(100), ramp: Duration::ZERO };
/// let policy = Policy::new().queue(128).nodes(2).group("nurseries".into(), spec);
/// assert_eq!(policy.groups.len(), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Requests that may wait at once; at least 1.
    pub queue: u32,
    /// Live nodes of this data centre, this one included; at least 1. Each takes an equal part
    /// of every group's rate.
    pub nodes: u32,
    /// The declared groups.
    pub groups: BTreeMap<GroupId, Member>,
    /// Callers of no declared group share this one, so that invented names gain nothing.
    pub others: GroupSpec,
    /// What is protected; tests and baselines switch parts off.
    pub protections: Protections,
}

/// A declared group and how long it has been one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its declared limits.
    pub spec: GroupSpec,
    /// How long ago the group was declared, if the caller of this module knows.
    ///
    /// `None` lets the node judge by itself: groups of its first policy count as served already,
    /// so that a restart takes nothing from them; groups that a later policy adds start small.
    pub age: Option<Duration>,
}

/// What is protected.
///
/// Everything is, in production. Each switch exists for a test that shows what its protection is
/// for, and for the baselines of the bench.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protections {
    /// Groups share by weight; off, all callers share one first-in, first-out queue.
    pub fair: bool,
    /// A full queue makes room for a group within its share; off, the arrival is refused.
    pub yielding: bool,
    /// A hopeless request is refused at once; off, each waits until its deadline itself.
    pub deadlines: bool,
    /// Urgent requests go ahead only within their group's share; off, always.
    pub bounded: bool,
    /// New groups start small; off, at their full weight.
    pub ramp: bool,
}

impl Policy {
    /// The defaults of a preset, one node and no declared groups.
    pub fn new() -> Self {
        Self {
            queue: RequestSpec::default().queue,
            nodes: 1,
            groups: BTreeMap::new(),
            others: GroupSpec {
                weight: 1,
                rate: None,
                ramp: Duration::ZERO,
            },
            protections: Protections::default(),
        }
    }

    /// The groups of a declaration under the limits of a preset.
    pub fn declared(fleet: &Declaration, requests: &RequestSpec) -> Self {
        let start = Self::new().queue(requests.queue);
        fleet.groups.iter().fold(start, |policy, (id, spec)| {
            policy.group(id.clone(), spec.clone())
        })
    }

    /// Sets how many requests may wait.
    #[must_use]
    pub fn queue(mut self, queue: u32) -> Self {
        self.queue = queue;
        self
    }

    /// Sets how many nodes of the data centre share the rates.
    #[must_use]
    pub fn nodes(mut self, nodes: u32) -> Self {
        self.nodes = nodes;
        self
    }

    /// Adds a group of unknown age.
    #[must_use]
    pub fn group(mut self, id: GroupId, spec: GroupSpec) -> Self {
        self.groups.insert(id, Member { spec, age: None });
        self
    }

    /// Adds a group that was declared `age` ago.
    #[must_use]
    pub fn aged(mut self, id: GroupId, spec: GroupSpec, age: Duration) -> Self {
        let age = Some(age);
        self.groups.insert(id, Member { spec, age });
        self
    }

    /// Sets the limits of callers that belong to no declared group.
    #[must_use]
    pub fn others(mut self, spec: GroupSpec) -> Self {
        self.others = spec;
        self
    }

    /// Sets what is protected, for tests and baselines.
    #[must_use]
    pub fn protections(mut self, protections: Protections) -> Self {
        self.protections = protections;
        self
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::new()
    }
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            fair: true,
            yielding: true,
            deadlines: true,
            bounded: true,
            ramp: true,
        }
    }
}
