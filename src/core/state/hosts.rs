//! Hosts: the pool, the generation and the stage of each.
//!
//! A host has one pool by construction: its record holds one, and only a hand-over changes it. A
//! hand-over needs the host out of work with no live start right, and gives it a new generation,
//! as does coming back from maintenance or failure. A lease or decision of an older generation is
//! void, so nobody who still takes the host for what it was can start anything on it.
//!
//! What an operator wants of a host is its [`Intent`]; when it is carried out is decided by the
//! budgets, through stages.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::reply::{Refusal, Reply};
use crate::core::{
    declaration::Declaration,
    types::{Generation, HostId, PoolId, Wall},
};

/// The hosts by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Hosts {
    hosts: BTreeMap<HostId, Host>,
}

/// One host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Host {
    /// The one pool that it belongs to.
    pub pool: PoolId,
    /// The index of the command that last handed it over or brought it back. An index is never
    /// used twice, so a host that is removed and declared anew can't meet its old generations.
    pub generation: Generation,
    /// Where it is between work and maintenance.
    pub stage: Stage,
    /// When it entered the stage.
    pub since: Wall,
    /// What operators want of it.
    pub intent: Intent,
    /// When it was last maintained.
    pub maintained: Option<Wall>,
}

/// Where a host is between work and maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Takes work.
    InService,
    /// Takes no new work; what runs goes on.
    Cordoned,
    /// Takes no new work; what runs is being moved or awaited.
    Draining,
    /// Stopped on purpose.
    Down,
    /// Back, but not yet trusted to stay.
    Soaking,
    /// Lost without a plan.
    Failed,
}

/// What operators want of a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// To work where it is.
    #[default]
    Serve,
    /// To stop working.
    Drain,
    /// To change pools.
    Move {
        /// The next pool.
        pool: PoolId,
    },
}

impl Stage {
    /// Every stage.
    pub const ALL: [Self; 6] = [
        Self::InService,
        Self::Cordoned,
        Self::Draining,
        Self::Down,
        Self::Soaking,
        Self::Failed,
    ];

    /// Whether a host in this stage may be given start rights.
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::InService)
    }

    /// Whether a host may go from this stage to another.
    pub const fn leads_to(self, next: Self) -> bool {
        match self {
            Self::InService => matches!(next, Self::Cordoned | Self::Failed),
            Self::Cordoned => matches!(next, Self::Draining | Self::InService | Self::Failed),
            Self::Draining => matches!(next, Self::Down | Self::InService | Self::Failed),
            Self::Down => matches!(next, Self::Soaking | Self::Failed),
            Self::Soaking => matches!(next, Self::InService | Self::Cordoned | Self::Failed),
            Self::Failed => matches!(next, Self::Soaking | Self::Down),
        }
    }

    const fn comes_back(self, next: Self) -> bool {
        matches!(self, Self::Down | Self::Failed) && matches!(next, Self::Soaking)
    }

    /// Whether the host may be dropped from the declaration: its stop went through the budgets, or
    /// it stopped by itself. A cordoned one still serves requests.
    const fn may_go(self) -> bool {
        matches!(self, Self::Draining | Self::Down | Self::Failed)
    }

    const fn out_of_work(self) -> bool {
        matches!(self, Self::Cordoned | Self::Draining | Self::Down)
    }
}

impl Hosts {
    /// One host.
    pub fn get(&self, host: &HostId) -> Option<&Host> {
        self.hosts.get(host)
    }

    /// Every host in order of its id.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &Host)> {
        self.hosts.iter()
    }

    /// The hosts of a pool in order of their ids.
    pub fn of_pool<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = (&'a HostId, &'a Host)> {
        self.iter().filter(move |(_, host)| host.pool == *pool)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    pub(super) fn find(&self, host: &HostId) -> Result<&Host, Refusal> {
        self.hosts
            .get(host)
            .ok_or_else(|| Refusal::NoHost { host: host.clone() })
    }

    fn find_mut(&mut self, host: &HostId) -> Result<&mut Host, Refusal> {
        self.hosts
            .get_mut(host)
            .ok_or_else(|| Refusal::NoHost { host: host.clone() })
    }

    /// Refuses a declaration that drops a pool which has hosts, or is the next one of a host,
    /// among those that stay.
    pub(super) fn check_pools(&self, next: &Declaration) -> Result<(), Refusal> {
        for (id, host) in &self.hosts {
            if !next.hosts.contains_key(id) {
                continue;
            }
            let pool = match &host.intent {
                Intent::Move { pool } if !next.pools.contains_key(pool) => pool,
                _ if !next.pools.contains_key(&host.pool) => &host.pool,
                _ => continue,
            };
            let (pool, host) = (pool.clone(), id.clone());
            return Err(Refusal::PoolInUse { pool, host });
        }
        Ok(())
    }

    /// Refuses a declaration that drops a host which hasn't been taken out of work before.
    pub(super) fn check_dropped(&self, next: &Declaration) -> Result<(), Refusal> {
        let serving =
            |(id, host): &(&HostId, &Host)| !next.hosts.contains_key(*id) && !host.stage.may_go();
        match self.hosts.iter().find(serving) {
            Some((id, host)) => {
                let (host, stage) = (id.clone(), host.stage);
                Err(Refusal::HostInService { host, stage })
            }
            None => Ok(()),
        }
    }

    /// Takes over a declaration: new hosts join, missing ones go, and a host whose declared pool
    /// changed is meant to move there.
    pub(super) fn declare(
        &mut self,
        at: Wall,
        generation: Generation,
        old: &Declaration,
        next: &Declaration,
    ) {
        self.hosts.retain(|id, _| next.hosts.contains_key(id));
        for (id, spec) in &next.hosts {
            let Some(host) = self.hosts.get_mut(id) else {
                let host = Host::new(at, generation, spec.pool.clone());
                self.hosts.insert(id.clone(), host);
                continue;
            };
            let before = old.hosts.get(id).map(|spec| &spec.pool);
            if before != Some(&spec.pool) {
                host.aim(&spec.pool);
            }
        }
    }

    pub(super) fn set_intent(&mut self, host: &HostId, intent: Intent) -> Result<Reply, Refusal> {
        self.find_mut(host)?.intent = intent;
        Ok(Reply::Noted)
    }

    pub(super) fn move_to(&mut self, host: &HostId, pool: &PoolId) -> Result<Reply, Refusal> {
        self.find_mut(host)?.aim(pool);
        Ok(Reply::Noted)
    }

    /// Moves a host to a stage; coming back gives it the generation `next`.
    pub(super) fn enter(
        &mut self,
        at: Wall,
        next: Generation,
        host: &HostId,
        stage: Stage,
    ) -> Result<Reply, Refusal> {
        let host = self.find_mut(host)?;
        if host.stage == stage {
            return Ok(Reply::Noted);
        }
        if !host.stage.leads_to(stage) {
            let stage = host.stage;
            return Err(Refusal::WrongStage { stage });
        }
        let back = host.stage.comes_back(stage);
        host.stage = stage;
        host.since = at;
        if !back {
            return Ok(Reply::Noted);
        }
        host.generation = next;
        Ok(Reply::HostRenewed { generation: next })
    }

    /// Gives a host to the pool that it is meant to move to, and returns the pool that it left.
    pub(super) fn hand_over(
        &mut self,
        at: Wall,
        next: Generation,
        host: &HostId,
    ) -> Result<PoolId, Refusal> {
        let host = self.find_mut(host)?;
        let Intent::Move { pool } = &host.intent else {
            return Err(Refusal::NotMoving);
        };
        if !host.stage.out_of_work() {
            let stage = host.stage;
            return Err(Refusal::WrongStage { stage });
        }
        let left = std::mem::replace(&mut host.pool, pool.clone());
        host.generation = next;
        host.intent = Intent::Serve;
        host.since = at;
        if host.stage == Stage::Draining {
            host.stage = Stage::Cordoned;
        }
        Ok(left)
    }

    pub(super) fn set_maintained(&mut self, host: &HostId, at: Wall) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.maintained = Some(at);
        }
    }
}

impl Host {
    fn new(at: Wall, generation: Generation, pool: PoolId) -> Self {
        Self {
            pool,
            generation,
            stage: Stage::InService,
            since: at,
            intent: Intent::Serve,
            maintained: None,
        }
    }

    fn aim(&mut self, pool: &PoolId) {
        self.intent = if self.pool == *pool {
            Intent::Serve
        } else {
            Intent::Move { pool: pool.clone() }
        };
    }

    /// Refuses a decision that was made about an earlier generation.
    pub(super) fn expect(&self, generation: Generation) -> Result<(), Refusal> {
        if self.generation == generation {
            return Ok(());
        }
        let generation = self.generation;
        Err(Refusal::StaleGeneration { generation })
    }
}
