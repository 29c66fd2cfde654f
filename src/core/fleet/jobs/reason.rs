//! Why a job isn't running, or was stopped.
//!
//! Each reason has one stable label, from which logs, metrics and the operators' tool all derive.

use serde::{Deserialize, Serialize};

/// Why a job can never run in the fleet as it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Impossible {
    /// Its pool isn't known or has no hosts.
    EmptyPool,
    /// Its team has no quota.
    UnknownTeam,
    /// It needs more than any host of its pool offers.
    LargerThanHosts,
    /// It needs more than its team's whole quota.
    LargerThanQuota,
}

/// Why a job that can run isn't running yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Waiting {
    /// No host of its pool takes work.
    NoOpenHost,
    /// No open host of its pool has room for it.
    NoRoom,
    /// Its team's running jobs use up the quota.
    TeamQuota,
    /// Room is being made for it: other jobs were told to stop.
    Displacing,
    /// It failed and pauses before its next attempt.
    Retry,
}

/// Why a running job was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Its owner cancelled it.
    Cancelled,
    /// Urgent work needs its room.
    Displaced,
    /// Its host drains.
    Drained,
    /// Its host's memory is used beyond what the host has.
    Overuse,
}

/// Why a job is neither finished nor started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unresolved {
    /// It isn't idempotent, and an attempt may have run.
    MayHaveRun,
    /// It failed on as many healthy workers as it may be tried on.
    FailsEverywhere,
}

impl Impossible {
    /// Every variant, in declaration order.
    pub const ALL: [Self; 4] = [
        Self::EmptyPool,
        Self::UnknownTeam,
        Self::LargerThanHosts,
        Self::LargerThanQuota,
    ];

    /// The stable text of labels and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::EmptyPool => "empty_pool",
            Self::UnknownTeam => "unknown_team",
            Self::LargerThanHosts => "larger_than_hosts",
            Self::LargerThanQuota => "larger_than_quota",
        }
    }
}

impl Waiting {
    /// Every variant, in declaration order.
    pub const ALL: [Self; 5] = [
        Self::NoOpenHost,
        Self::NoRoom,
        Self::TeamQuota,
        Self::Displacing,
        Self::Retry,
    ];

    /// The stable text of labels and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoOpenHost => "no_open_host",
            Self::NoRoom => "no_room",
            Self::TeamQuota => "team_quota",
            Self::Displacing => "displacing",
            Self::Retry => "retry",
        }
    }
}

impl StopReason {
    /// Every variant, in declaration order.
    pub const ALL: [Self; 4] = [
        Self::Cancelled,
        Self::Displaced,
        Self::Drained,
        Self::Overuse,
    ];

    /// The stable text of labels and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Displaced => "displaced",
            Self::Drained => "drained",
            Self::Overuse => "overuse",
        }
    }
}

impl Unresolved {
    /// Every variant, in declaration order.
    pub const ALL: [Self; 2] = [Self::MayHaveRun, Self::FailsEverywhere];

    /// The stable text of labels and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may_have_run",
            Self::FailsEverywhere => "fails_everywhere",
        }
    }
}
