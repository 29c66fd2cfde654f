//! The groups of one queue: the flow, the quota and the growth of each.

use std::time::Duration;

use crate::core::{
    declaration::GroupSpec,
    types::{GroupId, Map, Now},
};

use super::{
    bucket::Bucket,
    fair::{FairQueue, Flow},
    pace::Mean,
    policy::{Member, Policy},
    ramp::Ramp,
};

/// The flow of callers that belong to no declared group.
pub(super) const OTHERS: Flow = 0;

/// What is known of one group.
#[derive(Clone, Debug)]
pub(super) struct Group {
    weight: u32,
    /// Its weight by its ramp, in thousandths.
    current: u64,
    pub(super) bucket: Option<Bucket>,
    pub(super) ramp: Ramp,
    pub(super) cost: Mean,
    /// Until when refused callers have been given a place.
    pub(super) booked: Now,
}

/// All groups, by flow.
#[derive(Clone, Debug, Default)]
pub(super) struct Groups {
    all: Vec<Group>,
    flows: Map<GroupId, Flow>,
    /// Flows of groups that are declared no more but may still wait.
    retired: Vec<Flow>,
    /// Of all groups, in thousandths.
    weight: u64,
}

impl Groups {
    /// The group's flow; strangers share one.
    pub(super) fn flow(&self, group: &GroupId) -> Flow {
        self.flows.get(group).copied().unwrap_or(OTHERS)
    }

    pub(super) fn get(&self, flow: Flow) -> &Group {
        &self.all[flow]
    }

    pub(super) fn get_mut(&mut self, flow: Flow) -> &mut Group {
        &mut self.all[flow]
    }

    /// Brings all groups to a policy. Groups it doesn't tell the age of are `age` old if new.
    pub(super) fn adapt(
        &mut self,
        now: Now,
        policy: &Policy,
        age: Duration,
        queue: &mut FairQueue,
    ) {
        self.retire(policy);
        let others = Member {
            spec: policy.others.clone(),
            age: Some(Duration::MAX),
        };
        if self.all.is_empty() {
            self.adopt(now, &others, age, policy.nodes, queue);
        } else {
            self.reshape(OTHERS, now, &others.spec, policy.nodes, queue);
        }
        for (id, member) in &policy.groups {
            if let Some(&flow) = self.flows.get(id) {
                self.reshape(flow, now, &member.spec, policy.nodes, queue);
            } else {
                let flow = self.adopt(now, member, age, policy.nodes, queue);
                self.flows.insert(id.clone(), flow);
            }
        }
    }

    /// Lets growing shares grow, or shrink while established groups are harmed.
    pub(super) fn grow(&mut self, passed: Duration, harm: bool, queue: &mut FairQueue) {
        for flow in 0..self.all.len() {
            if self.all[flow].ramp.established() {
                continue;
            }
            self.all[flow].ramp.advance(passed, harm);
            self.weigh(flow, queue);
        }
    }

    /// How many of `room` places are the group's by its present weight; at least one.
    pub(super) fn part(&self, flow: Flow, room: u32) -> u64 {
        let room = u128::from(room) * u128::from(self.all[flow].current);
        let part = room / u128::from(self.weight.max(1));
        u64::try_from(part).unwrap_or(u64::MAX).max(1)
    }

    /// Gives a new group a flow.
    fn adopt(
        &mut self,
        now: Now,
        member: &Member,
        age: Duration,
        nodes: u32,
        queue: &mut FairQueue,
    ) -> Flow {
        let spec = &member.spec;
        let group = Group {
            weight: spec.weight,
            current: 0,
            bucket: spec.rate.map(|rate| Bucket::new(now, rate, nodes)),
            ramp: Ramp::new(spec.ramp, member.age.unwrap_or(age)),
            cost: Mean::default(),
            booked: now,
        };
        let flow = self.vacant(queue);
        if flow < self.all.len() {
            self.weight -= self.all[flow].current;
            self.all[flow] = group;
        } else {
            self.all.push(group);
        }
        self.weigh(flow, queue);
        flow
    }

    fn vacant(&mut self, queue: &mut FairQueue) -> Flow {
        let empty = |flow: &Flow| queue.length(*flow) == 0;
        match self.retired.iter().position(empty) {
            Some(position) => self.retired.swap_remove(position),
            None => queue.open(),
        }
    }

    /// Changes the limits of a group that has a flow.
    fn reshape(
        &mut self,
        flow: Flow,
        now: Now,
        spec: &GroupSpec,
        nodes: u32,
        queue: &mut FairQueue,
    ) {
        let group = &mut self.all[flow];
        group.weight = spec.weight;
        group.ramp.reshape(spec.ramp);
        group.bucket = match (group.bucket.take(), spec.rate) {
            (_, None) => None,
            (None, Some(rate)) => Some(Bucket::new(now, rate, nodes)),
            (Some(mut bucket), Some(rate)) => {
                bucket.reshape(now, rate, nodes);
                Some(bucket)
            }
        };
        self.weigh(flow, queue);
    }

    /// Lets go of groups that the policy no longer has. What they have waiting stays.
    fn retire(&mut self, policy: &Policy) {
        let mut gone = Vec::new();
        self.flows.retain(|id, flow| {
            let kept = policy.groups.contains_key(id);
            if !kept {
                gone.push(*flow);
            }
            kept
        });
        // The map's order must not decide which flow a later group gets.
        gone.sort_unstable();
        self.retired.append(&mut gone);
    }

    fn weigh(&mut self, flow: Flow, queue: &mut FairQueue) {
        let group = &mut self.all[flow];
        let weight = u64::from(group.weight) * group.ramp.share();
        self.weight = self.weight - group.current + weight;
        group.current = weight;
        queue.weigh(flow, weight);
    }
}
