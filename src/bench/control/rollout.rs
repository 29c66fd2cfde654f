//! Roll-out times of many runs.

use serde::Serialize;

use super::cluster::{self, Faults};
use crate::{
    bench::report::millis,
    core::{
        activation::Mode,
        types::{NodeId, Now},
    },
};

/// How long a change took to be in force, over many runs. Times are in milliseconds.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Rollout {
    /// How changes came into force.
    pub mode: String,
    /// Slow nodes of eight.
    pub slow: NodeId,
    /// Cut nodes of eight.
    pub cut: NodeId,
    /// Time until the next leader, if the leader's host died.
    pub election: Option<f64>,
    /// Runs.
    pub runs: u64,
    /// The median; `None` if not in force before the end.
    pub p50: Option<f64>,
    /// The 99th percentile; `None` if not in force before the end.
    pub p99: Option<f64>,
    /// The longest time in a run for which two nodes acted under different versions.
    pub both: f64,
}

impl Rollout {
    /// Measures so many runs, each with its own seed.
    pub fn measure(mode: Mode, faults: Faults, runs: u64) -> Self {
        let shown: Vec<_> = (0..runs)
            .map(|seed| cluster::run(mode, faults, seed))
            .collect();
        let mut times: Vec<_> = shown
            .iter()
            .map(|run| run.rollout.unwrap_or(Now::MAX))
            .collect();
        times.sort_unstable();
        let both = shown.iter().map(|run| run.both).max().unwrap_or_default();
        Self {
            mode: format!("{mode:?}"),
            slow: faults.slow,
            cut: faults.cut,
            election: faults.election.map(millis),
            runs,
            p50: percentile(&times, 50),
            p99: percentile(&times, 99),
            both: millis(both),
        }
    }
}

fn percentile(sorted: &[Now], percent: usize) -> Option<f64> {
    let time = *sorted.get(sorted.len() * percent / 100)?;
    (time < Now::MAX).then(|| millis(time))
}
