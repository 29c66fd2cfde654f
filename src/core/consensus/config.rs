//! The settings of one node.

use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

use rand_pcg::Pcg64;

use super::interface::{Index, Location};
use crate::core::types::{DataCentreId, NodeId};

/// Test-only switches, each of which turns one protection off, so that a test can show that the
/// check of a property detects its absence. Leave all of them on in production.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Protections {
    /// Replies wait until what they promise is on disk.
    pub sync: bool,
    /// Votes and terms are written to disk.
    pub ballot: bool,
    /// A campaign starts with a pre-vote.
    pub pre_vote: bool,
    /// Voters that recently received from a leader refuse to vote, and a leader that no quorum
    /// answers steps down.
    pub lease: bool,
    /// Only entries of the leader's own term are committed by counting replicas.
    pub own_term: bool,
    /// A node that starts with an empty disk under the id of an existing voter never votes.
    pub eligibility: bool,
    /// Only one voter is added or removed at a time, and only after the previous change is
    /// committed.
    pub single_server: bool,
    /// A leader that hands over gives up its lease first.
    pub release_lease: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            sync: true,
            ballot: true,
            pre_vote: true,
            lease: true,
            own_term: true,
            eligibility: true,
            single_server: true,
            release_lease: true,
        }
    }
}

/// The settings of one [`Node`](super::Node).
///
/// ```
/// use std::time::Duration;
///
/// use egretpin::core::consensus::Config;
/// use rand::SeedableRng;
/// use rand_pcg::Pcg64;
///
/// let config = Config::new(1, Pcg64::seed_from_u64(7))
///     .bootstrap(vec![1, 2, 3])
///     .location(1, "north")
///     .location(2, "north")
///     .location(3, "south")
///     .election(Duration::from_millis(300), Duration::from_millis(600));
/// assert_eq!(config.id(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    pub(super) id: NodeId,
    pub(super) rng: Pcg64,
    pub(super) disk: bool,
    pub(super) bootstrap: Option<Vec<NodeId>>,
    pub(super) locations: Vec<Location>,
    pub(super) election_min: Duration,
    pub(super) election_max: Duration,
    pub(super) heartbeat: Duration,
    pub(super) lease: Duration,
    pub(super) feed_timeout: Duration,
    pub(super) batch_entries: usize,
    pub(super) batch_bytes: usize,
    pub(super) pipeline: usize,
    pub(super) backlog: Index,
    pub(super) chunk: usize,
    pub(super) apply_batch: Index,
    pub(super) protections: Protections,
}

impl Config {
    /// A node with a disk that joins as a learner and may become a voter later.
    pub fn new(id: NodeId, rng: Pcg64) -> Self {
        Self {
            id,
            rng,
            disk: true,
            bootstrap: None,
            locations: Vec::new(),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_millis(1000),
            heartbeat: Duration::from_millis(100),
            lease: Duration::from_millis(450),
            feed_timeout: Duration::from_millis(600),
            batch_entries: 256,
            batch_bytes: 256 * 1024,
            pipeline: 8,
            backlog: 10_000,
            chunk: 64 * 1024,
            apply_batch: 64,
            protections: Protections::default(),
        }
    }

    /// The node's id.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Sets the first voters of a new cluster. This takes effect on an empty disk only. Set it on
    /// the first start of a first voter and never again: a node that starts with an empty disk and
    /// without it can't vote under an id that was a voter before.
    #[must_use]
    pub fn bootstrap(mut self, voters: Vec<NodeId>) -> Self {
        self.bootstrap = Some(voters);
        self
    }

    /// Sets whether the node has a disk that keeps what it writes. A node without a disk never
    /// votes.
    #[must_use]
    pub fn disk(mut self, disk: bool) -> Self {
        self.disk = disk;
        self
    }

    /// Adds a node to the directory from which learners choose their relay.
    #[must_use]
    pub fn location(mut self, node: NodeId, data_centre: impl Into<DataCentreId>) -> Self {
        let data_centre = data_centre.into();
        self.locations.push(Location { node, data_centre });
        self
    }

    /// Sets the range from which a voter draws, each time anew, how long it waits for a leader
    /// before it campaigns. The lower end must exceed the lease by more than clocks can drift apart
    /// in that time.
    #[must_use]
    pub fn election(mut self, min: Duration, max: Duration) -> Self {
        self.election_min = min;
        self.election_max = max;
        self
    }

    /// Sets how often a leader sends a message when it has no entries to send.
    #[must_use]
    pub fn heartbeat(mut self, heartbeat: Duration) -> Self {
        self.heartbeat = heartbeat;
        self
    }

    /// Sets how long a leader relies on a quorum's answer, counted from when the leader sent what
    /// was answered. The maximum is nine tenths of the shortest election timeout; a longer lease is
    /// cut to that.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets how long a learner waits for its relay before it switches to the next one. A learner
    /// renews its subscription four times in this time, which makes up most of its traffic while
    /// idle.
    #[must_use]
    pub fn feed_timeout(mut self, timeout: Duration) -> Self {
        self.feed_timeout = timeout;
        self
    }

    /// Sets the most entries and bytes of one message or one write. One entry is always sent,
    /// whatever its size.
    #[must_use]
    pub fn batch(mut self, entries: usize, bytes: usize) -> Self {
        self.batch_entries = entries;
        self.batch_bytes = bytes;
        self
    }

    /// Sets how many messages with entries may be in flight to one node.
    #[must_use]
    pub fn pipeline(mut self, messages: usize) -> Self {
        self.pipeline = messages;
        self
    }

    /// Sets how many entries may wait to be committed before a leader rejects more, naming itself
    /// as the leader.
    #[must_use]
    pub fn backlog(mut self, entries: u64) -> Self {
        self.backlog = entries;
        self
    }

    /// Sets the most bytes of a snapshot in one message.
    #[must_use]
    pub fn chunk(mut self, bytes: usize) -> Self {
        self.chunk = bytes;
        self
    }

    /// Sets how many committed entries are applied in one step. More than these, as after a restart,
    /// are applied in several steps, between which the node sends and answers heartbeats. The
    /// maximum must take much less time than a lease lasts.
    #[must_use]
    pub fn apply_batch(mut self, entries: Index) -> Self {
        self.apply_batch = entries.max(1);
        self
    }

    /// Test-only: sets which protections are on.
    #[must_use]
    pub fn protections(mut self, protections: Protections) -> Self {
        self.protections = protections;
        self
    }
}

/// Compares the settings in which two nodes of one model can differ: the id, the generator, and the
/// directory, which [`Input::Nodes`](super::Input::Nodes) replaces. A generator's state follows
/// from how often it was drawn from.
impl PartialEq for Config {
    fn eq(&self, other: &Self) -> bool {
        self.id == other.id && self.rng == other.rng && self.locations == other.locations
    }
}

impl Eq for Config {}

impl Hash for Config {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.id.hash(state);
    }
}
