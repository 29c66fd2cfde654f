//! The catalog that operators declare: queues, pools, workspaces and limits on calls.
//!
//! From the host, path and key of a call, it finds the queue, the job and the workspace that the call is
//! about, and decides whether the caller has access. It checks that its declarations don't contradict each
//! other. It never holds a key itself, only the [`KeyDigest`]s.
//!
//! ```
//! use egretpin::core::workload::catalog::{Catalog, PathTarget, QueueSpec};
//!
//! let queue = |name: &str, prefix: &str| QueueSpec {
//!     name: name.into(),
//!     host: "a.example".into(),
//!     prefix: prefix.into(),
//!     ..QueueSpec::default()
//! };
//! let catalog = Catalog::new(1, vec![queue("all", "/"), queue("night", "/night/")], Vec::new());
//! let Some((found, PathTarget::Job(id))) = catalog.find("a.example", "/night/00000000000000ff") else {
//!     panic!("the longest prefix wins");
//! };
//! assert_eq!((&*found.name, id), ("night", 255));
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::{
    job::Job,
    spec::MAX_SPAN,
    workspace::{Cap, KeyDigest, WorkspaceSpec},
};
use crate::core::types::{Map, Name, PoolId, Set, WorkspaceId};

/// The version of a catalog. Operators choose it, and raise it with each change.
pub type CatalogVersion = u64;
/// The number of a job, chosen by its submitter.
pub type JobId = u64;

/// The largest stretch of a queue. The longest estimate of a job's steps, multiplied by it, can be represented.
pub const MAX_STRETCH: f64 = 1e6;

/// A catalog with indexes for its lookups.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Its version.
    pub version: CatalogVersion,
    /// The queues.
    pub queues: Vec<QueueSpec>,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// The workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
    /// The limits on calls.
    pub limits: CallLimits,
    /// The indexes of each virtual host's queues, longest prefix first.
    by_host: Map<Name, Vec<usize>>,
    by_name: Map<Name, usize>,
    by_key: Map<KeyDigest, usize>,
    by_workspace: Map<WorkspaceId, usize>,
}

/// A queue as operators declare it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueSpec {
    /// Its name.
    pub name: Name,
    /// The virtual host under which it is reached.
    pub host: Name,
    /// The prefix of its own path and of its jobs' paths.
    pub prefix: Name,
    /// How long a call may take.
    pub timeout: Duration,
    /// Added to the stretched critical path of a job to get its objective, the time that the job should take.
    pub objective_offset: Duration,
    /// The factor by which the critical path of a job is multiplied to get its objective.
    pub stretch: f64,
    /// The priority of its jobs; 0 is the highest.
    pub priority: u32,
    /// The pool whose hosts run its tasks.
    pub pool: PoolId,
    /// Whether its callers must present a key of a workspace.
    pub requires_key: bool,
    /// The number of failed attempts of one task after which its job fails.
    pub max_attempts: u32,
    /// What a query for the agents that may run a step costs; `None` if no query is needed.
    pub eligibility: Option<Eligibility>,
}

/// What the jobs of a queue keep of it once the catalog doesn't declare it any more.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QueueTerms {
    /// See [`QueueSpec::max_attempts`].
    pub max_attempts: u32,
    /// See [`QueueSpec::priority`].
    pub priority: u32,
    /// See [`QueueSpec::stretch`].
    pub stretch: f64,
    /// See [`QueueSpec::objective_offset`].
    pub objective_offset: Duration,
    /// See [`QueueSpec::eligibility`].
    pub eligibility: Option<Eligibility>,
}

impl Default for QueueTerms {
    /// The terms of jobs whose submissions don't hold any, as those of earlier releases.
    fn default() -> Self {
        Self {
            max_attempts: 3,
            priority: 0,
            stretch: 1.0,
            objective_offset: Duration::ZERO,
            eligibility: None,
        }
    }
}

/// The cost of a query for the agents that may run a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Eligibility {
    /// The time that each query takes.
    pub per_query: Duration,
    /// The additional time for each agent in a query.
    pub per_agent: Duration,
    /// How long an answer stays valid.
    pub valid_for: Duration,
}

/// A pool as operators declare it: the hosts that run the tasks of some queues.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolSpec {
    /// Its name.
    pub name: PoolId,
    /// Whether it holds spare hosts for other pools, which are switched off until needed.
    pub spare: bool,
    /// Whether its agents refuse tasks that don't fit into their free capacity.
    pub admission_control: bool,
}

/// The limits on calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct CallLimits {
    /// The largest header section of a request, in bytes.
    #[serde(rename = "head")]
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    #[serde(rename = "body")]
    pub body_bytes: usize,
    /// How long a request's header section may take to arrive.
    #[serde(rename = "head_time")]
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

impl Default for CallLimits {
    /// The limits of a catalog that declares none: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a catalog was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum CatalogError {
    /// Two queues share a virtual host and a prefix.
    #[snafu(display("queues {first} and {second} share host {host} and prefix {prefix}"))]
    DuplicateRoute {
        /// The queue that is declared first.
        first: Name,
        /// The other queue.
        second: Name,
        /// Their virtual host.
        host: Name,
        /// Their prefix.
        prefix: Name,
    },
    /// Two queues or pools share a name.
    #[snafu(display("the name {name} is given twice"))]
    DuplicateName {
        /// The name.
        name: Name,
    },
    /// A queue names a pool that isn't declared.
    #[snafu(display("queue {queue} names pool {pool}, which isn't declared"))]
    UnknownPool {
        /// The queue.
        queue: Name,
        /// The pool.
        pool: PoolId,
    },
    /// A time of a queue is too long.
    #[snafu(display("{field} of queue {queue} is too long; at most {} s are taken", MAX_SPAN.as_secs()))]
    TooLong {
        /// The queue.
        queue: Name,
        /// Which of its times.
        field: &'static str,
    },
    /// A time of the limits on calls is too long.
    #[snafu(display("{field} is too long; at most {} s are taken", MAX_SPAN.as_secs()))]
    LongLimit {
        /// Which of the times.
        field: &'static str,
    },
    /// The stretch of a queue isn't a number that a time can be multiplied by.
    #[snafu(display("the stretch of queue {queue} is too large; at most {MAX_STRETCH} is taken"))]
    Stretch {
        /// The queue.
        queue: Name,
    },
    /// The timeout of a queue is 0.
    #[snafu(display("queue {queue} has a timeout of 0; give it at least a millisecond"))]
    NoTimeout {
        /// The queue.
        queue: Name,
    },
    /// Two workspaces have a key in common, so that the key doesn't identify the calling workspace.
    #[snafu(display("workspaces {first} and {second} share a key; give each its own"))]
    SharedKey {
        /// The workspace that is declared first.
        first: WorkspaceId,
        /// The other workspace.
        second: WorkspaceId,
    },
    /// A workspace is declared twice.
    #[snafu(display("workspace {workspace} is given twice"))]
    DuplicateWorkspace {
        /// The workspace.
        workspace: WorkspaceId,
    },
    /// A workspace has a key twice.
    #[snafu(display("workspace {workspace} has a key twice; give each once"))]
    DuplicateKey {
        /// The workspace.
        workspace: WorkspaceId,
    },
}

impl CatalogError {
    /// The part of the catalog that is wrong.
    pub fn part(&self) -> CatalogPart {
        match self {
            Self::SharedKey { .. } | Self::DuplicateKey { .. } => CatalogPart::Keys,
            Self::DuplicateWorkspace { .. } => CatalogPart::Workspaces,
            Self::LongLimit { .. } => CatalogPart::Limits,
            _ => CatalogPart::Queues,
        }
    }
}

/// A part of a catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatalogPart {
    /// Its queues and the pools that they name.
    Queues,
    /// Its workspaces.
    Workspaces,
    /// The keys of its workspaces.
    Keys,
    /// The limits on calls.
    Limits,
}

/// A call on a queue that requires a key presented none, or one that no workspace has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("the queue asks for a key of a workspace"))]
pub struct Denied;

/// What the rest of a path, after the prefix of its queue, refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathTarget {
    /// The queue itself.
    Queue,
    /// One of its jobs.
    Job(JobId),
    /// Neither the queue nor the path of a job.
    Nothing,
}

impl QueueSpec {
    /// What its jobs keep of it.
    pub fn terms(&self) -> QueueTerms {
        QueueTerms {
            max_attempts: self.max_attempts.max(1),
            priority: self.priority,
            stretch: self.stretch,
            objective_offset: self.objective_offset,
            eligibility: self.eligibility,
        }
    }

    /// Checks that no sum or product of its numbers with those of a job exceeds what can be represented.
    fn check_numbers(&self) -> Result<(), CatalogError> {
        let eligibility = self.eligibility.unwrap_or_default();
        let times = [
            ("the timeout", self.timeout),
            ("the target", self.objective_offset),
            ("the time of a query", eligibility.per_query),
            ("the time per agent of a query", eligibility.per_agent),
            ("the validity of an answer", eligibility.valid_for),
        ];
        let queue = &self.name;
        for (field, time) in times {
            ensure!(
                time <= MAX_SPAN,
                TooLongSnafu {
                    queue: queue.clone(),
                    field
                }
            );
        }
        let is_usable = self.stretch.is_finite() && self.stretch <= MAX_STRETCH;
        ensure!(
            is_usable,
            StretchSnafu {
                queue: queue.clone()
            }
        );
        Ok(())
    }

    fn clamp_numbers(&mut self) {
        self.timeout = self.timeout.min(MAX_SPAN);
        self.objective_offset = self.objective_offset.min(MAX_SPAN);
        if let Some(eligibility) = &mut self.eligibility {
            eligibility.per_query = eligibility.per_query.min(MAX_SPAN);
            eligibility.per_agent = eligibility.per_agent.min(MAX_SPAN);
            eligibility.valid_for = eligibility.valid_for.min(MAX_SPAN);
        }
        // `min` takes the other value for one that isn't a number.
        self.stretch = self.stretch.min(MAX_STRETCH);
    }
}

impl CallLimits {
    fn check(&self) -> Result<(), CatalogError> {
        let times = [
            ("the time limit of a header section", self.header_timeout),
            ("the idle time of a connection", self.idle_timeout),
        ];
        for (field, time) in times {
            ensure!(time <= MAX_SPAN, LongLimitSnafu { field });
        }
        Ok(())
    }
}

impl Catalog {
    /// Creates a catalog with default limits and no workspaces. It may be invalid: see [`Catalog::check`].
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
            workspaces: Vec::new(),
            limits: CallLimits::default(),
            by_host,
            by_name,
            by_key: Map::default(),
            by_workspace: Map::default(),
        }
    }

    /// Sets the workspaces.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: Vec<WorkspaceSpec>) -> Self {
        for (ix, workspace) in workspaces.iter().enumerate() {
            let keys = workspace.keys.iter().map(|key| (*key, ix));
            self.by_key.extend(keys);
            self.by_workspace.insert(workspace.name.clone(), ix);
        }
        self.workspaces = workspaces;
        self
    }

    /// Checks that the catalog is consistent and can take effect.
    ///
    /// # Errors
    ///
    /// The error names the queue, pool or workspace that is wrong, and never a key.
    pub fn check(&self) -> Result<(), CatalogError> {
        self.check_workspaces()?;
        self.limits.check()?;
        let mut pools: Set<&Name> = Set::default();
        for pool in &self.pools {
            let name = &pool.name;
            ensure!(
                pools.insert(name),
                DuplicateNameSnafu { name: name.clone() }
            );
        }
        let mut names: Set<&Name> = Set::default();
        let mut places: Map<(&Name, &Name), &QueueSpec> = Map::default();
        for queue in &self.queues {
            let name = queue.name.clone();
            ensure!(names.insert(&queue.name), DuplicateNameSnafu { name });
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
            queue.check_numbers()?;
            if let Some(first) = places.insert((&queue.host, &queue.prefix), queue) {
                return Err(CatalogError::DuplicateRoute {
                    first: first.name.clone(),
                    second: queue.name.clone(),
                    host: queue.host.clone(),
                    prefix: queue.prefix.clone(),
                });
            }
        }
        Ok(())
    }

    /// The same with the numbers that [`Catalog::check`] would reject as too large lowered to what is taken. An
    /// earlier release may have put a catalog with such numbers in force, and it still is.
    #[must_use]
    pub fn clamped(mut self) -> Self {
        for queue in &mut self.queues {
            queue.clamp_numbers();
        }
        self.limits.header_timeout = self.limits.header_timeout.min(MAX_SPAN);
        self.limits.idle_timeout = self.limits.idle_timeout.min(MAX_SPAN);
        self
    }

    fn check_workspaces(&self) -> Result<(), CatalogError> {
        let mut names: Set<&WorkspaceId> = Set::default();
        let mut keys: Map<KeyDigest, &WorkspaceId> = Map::default();
        for WorkspaceSpec {
            name, keys: own, ..
        } in &self.workspaces
        {
            let workspace = name.clone();
            ensure!(names.insert(name), DuplicateWorkspaceSnafu { workspace });
            for key in own {
                let Some(first) = keys.insert(*key, name) else {
                    continue;
                };
                let (first, second) = (first.clone(), name.clone());
                ensure!(first != second, DuplicateKeySnafu { workspace: second });
                return SharedKeySnafu { first, second }.fail();
            }
        }
        Ok(())
    }

    /// The workspace that has a key.
    pub fn workspace_for_key(&self, key: KeyDigest) -> Option<&WorkspaceSpec> {
        self.by_key.get(&key).map(|ix| &self.workspaces[*ix])
    }

    /// The workspace of a call on a queue, given the key that the call presents; `None` if the queue requires
    /// no key.
    ///
    /// # Errors
    ///
    /// The queue requires a key, and the call presents none or one that no workspace has.
    pub fn caller(
        &self,
        queue: &QueueSpec,
        key: Option<KeyDigest>,
    ) -> Result<Option<&WorkspaceSpec>, Denied> {
        if !queue.requires_key {
            return Ok(None);
        }
        let holder = key.and_then(|key| self.workspace_for_key(key));
        holder.map(Some).ok_or(Denied)
    }

    /// Whether a caller, of a workspace or of none, may see and cancel a job. That holds for jobs of its own
    /// workspace, for jobs without a workspace and for jobs of queues that require no key.
    pub fn may_see(&self, caller: Option<&WorkspaceSpec>, job: &Job) -> bool {
        let open = self
            .queue(&job.queue)
            .is_some_and(|queue| !queue.requires_key);
        let owner = job.workspace.as_ref();
        open || owner.is_none_or(|owner| caller.is_some_and(|caller| caller.name == *owner))
    }

    /// The cap of a workspace; no limit if the workspace isn't declared any more.
    pub fn cap(&self, workspace: &str) -> Cap {
        let found = self.by_workspace.get(workspace);
        found.map_or_else(Cap::default, |ix| self.workspaces[*ix].cap)
    }

    /// The weight of a workspace. It is 1 for jobs without a workspace, for a workspace that isn't declared any
    /// more, and if the declared weight isn't positive and finite.
    pub fn weight(&self, workspace: Option<&WorkspaceId>) -> f64 {
        let found = workspace.and_then(|workspace| self.by_workspace.get(workspace));
        let weight = found.map(|ix| self.workspaces[*ix].weight);
        weight
            .filter(|weight| weight.is_finite() && *weight > 0.0)
            .unwrap_or(1.0)
    }

    /// The queue with the longest prefix of a path, and what the rest of the path refers to.
    pub fn find(&self, host: &str, path: &str) -> Option<(&QueueSpec, PathTarget)> {
        let queues = self.by_host.get(host)?.iter().map(|ix| &self.queues[*ix]);
        let queue = queues
            .into_iter()
            .find(|queue| path.starts_with(&*queue.prefix))?;
        Some((queue, parse_target(&path[queue.prefix.len()..])))
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

/// Parses the part of a path after the prefix of its queue. A job is exactly 16 hexadecimal digits.
fn parse_target(rest: &str) -> PathTarget {
    /// The number of hexadecimal digits of a job's number.
    const DIGITS: usize = 16;
    if rest.is_empty() {
        return PathTarget::Queue;
    }
    let hex = rest.len() == DIGITS && rest.bytes().all(|b| b.is_ascii_hexdigit());
    match JobId::from_str_radix(rest, 16) {
        Ok(id) if hex => PathTarget::Job(id),
        _ => PathTarget::Nothing,
    }
}
