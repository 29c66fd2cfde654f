//! Times and modes of activation.

use std::time::Duration;

use crate::core::types::Now;

/// Of two clocks, one may count this many parts while the other counts one part more.
///
/// A hundred allows a rate difference of 1 %, about a hundred times what crystals show and more
/// than time daemons slew.
pub const DRIFT: u32 = 100;

/// Times and mode; the same on every node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How a change comes into force.
    pub mode: Mode,
    /// How long a node may act after it sent the renewal that was granted.
    pub lease: Duration,
    /// How often a node with a lease renews it.
    pub renew: Duration,
    /// How often what seems lost is sent again.
    pub retry: Duration,
    /// What is on; for tests alone.
    pub protections: Protections,
}

/// How a change comes into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mode {
    /// Prepare, then activate. The one that keeps the promise.
    Leased,
    /// Each node acts under a change as soon as it learns of it. A baseline: two nodes act under
    /// different configurations for as long as one of them hasn't learned.
    OneStep,
    /// Each node acts under a change this long after it was committed, by its wall clock. A
    /// baseline: a node that hasn't learned in time goes on under the old one.
    Timed(Duration),
}

/// Which protections are on. For tests alone, which switch one off to prove that its absence is
/// found; the default has all of them on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Protections {
    /// The leader waits for leases to run out that weren't given back.
    pub wait: bool,
    /// A new leader waits out the leases of the one before.
    pub inherit: bool,
    /// A lease is granted only when a quorum has confirmed the leader since it was asked for.
    pub confirm: bool,
    /// A node compares its lease with the clock each time before it acts, not only in a step.
    pub fence: bool,
    /// A lease counts from when the node asked, not from when it was answered.
    pub sent: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            mode: Mode::Leased,
            lease: Duration::from_secs(2),
            renew: Duration::from_millis(500),
            retry: Duration::from_millis(100),
            protections: Protections::default(),
        }
    }
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            wait: true,
            inherit: true,
            confirm: true,
            fence: true,
            sent: true,
        }
    }
}

impl Settings {
    /// Sets the mode.
    #[must_use]
    pub fn mode(mut self, mode: Mode) -> Self {
        self.mode = mode;
        self
    }

    /// Sets the lease, and the times that follow from it: three renewals may be lost.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self.renew = lease / 4;
        self
    }

    /// Switches protections off; for tests alone.
    #[must_use]
    pub fn protections(mut self, protections: Protections) -> Self {
        self.protections = protections;
        self
    }

    /// How long a leader takes a lease for held, from when it received the renewal.
    pub fn guard(&self) -> Now {
        self.lease + self.lease / DRIFT
    }
}
