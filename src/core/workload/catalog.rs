//! The queues and pools that operators declare.
//!
//! ```
//! use egretpin::core::workload::catalog::{Catalog, Place, QueueSpec};
//!
//! let queue = |name: &str, prefix: &str| QueueSpec {
//!     name: name.into(),
//!     host: "a.example".into(),
//!     prefix: prefix.into(),
//!     ..QueueSpec::default()
//! };
//! let catalog = Catalog::new(1, vec![queue("all", "/"), queue("night", "/night/")], Vec::new());
//! let Some((found, Place::Job(id))) = catalog.find("a.example", "/night/00000000000000ff") else {
//!     panic!("the longest prefix wins");
//! };
//! assert_eq!((&*found.name, id), ("night", 255));
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::core::types::{Map, Name, PoolId, Set};

/// Grows with each change of the catalog; operators choose it.
pub type CatalogVersion = u64;
/// A job, under the number that its submitter chose.
pub type JobId = u64;

/// What operators declare.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Its version.
    pub version: CatalogVersion,
    /// The queues.
    pub queues: Vec<QueueSpec>,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// What callers may send.
    pub limits: CallLimits,
    /// The queues of each virtual host, longest prefix first.
    by_host: Map<Name, Vec<usize>>,
    by_name: Map<Name, usize>,
}

/// Where jobs are submitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueSpec {
    /// Its name.
    pub name: Name,
    /// The virtual host that it is reached under.
    pub host: Name,
    /// What the paths of its jobs begin with.
    pub prefix: Name,
    /// How long a call may take.
    pub timeout: Duration,
    /// What is added to the stretched chain of a job for its objective.
    pub target: Duration,
    /// By which a job's longest chain is multiplied for its objective.
    pub stretch: f64,
    /// 0 goes first.
    pub priority: u32,
    /// The pool whose hosts run its tasks.
    pub pool: PoolId,
    /// How often a task may fail before its job has.
    pub attempts: u32,
    /// What asking where a step may run costs, if it must be asked.
    pub eligibility: Option<Eligibility>,
}

/// What it takes to ask which agents may run a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Eligibility {
    /// For each question.
    pub decision: Duration,
    /// For each agent asked about.
    pub each: Duration,
    /// How long an answer holds.
    pub valid: Duration,
}

/// Hosts that run the tasks of some queues.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolSpec {
    /// Its name.
    pub name: PoolId,
    /// Whether its hosts are switched off, as spares for other pools.
    pub spare: bool,
    /// Whether its agents refuse what doesn't fit.
    pub guarded: bool,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CallLimits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of its body.
    pub body: usize,
    /// How long its head may take.
    pub head_time: Duration,
    /// How long a connection may be idle.
    pub idle: Duration,
}

impl Default for CallLimits {
    /// What holds until a catalog says otherwise: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 256 * 1024,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// Why a catalog can't be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum CatalogError {
    /// Two queues share a place.
    #[snafu(display("queues {first} and {second} share host {host} and prefix {prefix}"))]
    SamePlace {
        /// One.
        first: Name,
        /// The other.
        second: Name,
        /// Their host.
        host: Name,
        /// Their prefix.
        prefix: Name,
    },
    /// Two queues or pools share a name.
    #[snafu(display("the name {name} is given twice"))]
    SameName {
        /// The name.
        name: Name,
    },
    /// A queue names a pool that isn't there.
    #[snafu(display("queue {queue} names pool {pool}, which isn't declared"))]
    UnknownPool {
        /// Which queue.
        queue: Name,
        /// The pool.
        pool: PoolId,
    },
    /// A queue allows calls no time.
    #[snafu(display("queue {queue} has a timeout of 0; give it at least a millisecond"))]
    NoTimeout {
        /// Which queue.
        queue: Name,
    },
}

/// What a path names under its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// The queue itself.
    Queue,
    /// One of its jobs.
    Job(JobId),
    /// Neither.
    Nothing,
}

impl Catalog {
    /// A catalog with default limits. It may be invalid: see [`Catalog::check`].
    pub fn new(version: CatalogVersion, queues: Vec<QueueSpec>, pools: Vec<PoolSpec>) -> Self {
        let mut by_host: Map<Name, Vec<usize>> = Map::default();
        let mut by_name = Map::default();
        for (ix, queue) in queues.iter().enumerate() {
            by_host.entry(queue.host.clone()).or_default().push(ix);
            by_name.insert(queue.name.clone(), ix);
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|ix| std::cmp::Reverse(queues[*ix].prefix.len()));
        }
        Self {
            version,
            queues,
            pools,
            limits: CallLimits::default(),
            by_host,
            by_name,
        }
    }

    /// Whether it can be put in force.
    ///
    /// # Errors
    ///
    /// Names the queue or pool that is wrong.
    pub fn check(&self) -> Result<(), CatalogError> {
        let mut pools: Set<&Name> = Set::default();
        for pool in &self.pools {
            let name = &pool.name;
            ensure!(pools.insert(name), SameNameSnafu { name: name.clone() });
        }
        let mut names: Set<&Name> = Set::default();
        let mut places: Map<(&Name, &Name), &QueueSpec> = Map::default();
        for queue in &self.queues {
            let name = queue.name.clone();
            ensure!(names.insert(&queue.name), SameNameSnafu { name });
            ensure!(
                pools.contains(&queue.pool),
                UnknownPoolSnafu {
                    queue: queue.name.clone(),
                    pool: queue.pool.clone(),
                }
            );
            ensure!(
                !queue.timeout.is_zero(),
                NoTimeoutSnafu {
                    queue: queue.name.clone()
                }
            );
            if let Some(first) = places.insert((&queue.host, &queue.prefix), queue) {
                return Err(CatalogError::SamePlace {
                    first: first.name.clone(),
                    second: queue.name.clone(),
                    host: queue.host.clone(),
                    prefix: queue.prefix.clone(),
                });
            }
        }
        Ok(())
    }

    /// The queue that a path belongs to, and what it names there.
    pub fn find(&self, host: &str, path: &str) -> Option<(&QueueSpec, Place)> {
        let queues = self.by_host.get(host)?.iter().map(|ix| &self.queues[*ix]);
        let queue = queues
            .into_iter()
            .find(|queue| path.starts_with(&*queue.prefix))?;
        Some((queue, place(&path[queue.prefix.len()..])))
    }

    /// A queue by its name.
    pub fn queue(&self, name: &str) -> Option<&QueueSpec> {
        self.by_name.get(name).map(|ix| &self.queues[*ix])
    }

    /// Whether it has a pool of that name.
    pub fn has_pool(&self, name: &str) -> bool {
        self.pools.iter().any(|pool| &*pool.name == name)
    }
}

/// What the rest of a path names: nothing but hexadecimal digits, 16 of them, is a job.
fn place(rest: &str) -> Place {
    /// Digits of a job's number.
    const DIGITS: usize = 16;
    if rest.is_empty() {
        return Place::Queue;
    }
    let hex = rest.len() == DIGITS && rest.bytes().all(|b| b.is_ascii_hexdigit());
    match JobId::from_str_radix(rest, 16) {
        Ok(id) if hex => Place::Job(id),
        _ => Place::Nothing,
    }
}
