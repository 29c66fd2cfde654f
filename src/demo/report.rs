//! What the demonstration found, as text or JSON.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::{
    judge::{Verdict, judge},
    tally::{Measures, Tally},
};
use crate::api::Millis;

/// What the demonstration found.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Report {
    /// Whether all promises held.
    pub held: bool,
    /// How long the demonstration took.
    pub took: Millis,
    /// Each promise.
    pub promises: Vec<Verdict>,
    /// All that was counted, the measures included.
    pub tally: Tally,
}

impl Report {
    /// Judges what was counted.
    pub fn new(took: Millis, tally: Tally) -> Self {
        let promises = judge(&tally);
        Self {
            held: promises.iter().all(|verdict| verdict.held),
            took,
            promises,
            tally,
        }
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        measures(f, &self.tally.measures)?;
        writeln!(f, "\nPromises")?;
        let widest = self.promises.iter().map(|v| v.promise.len()).max();
        let width = widest.unwrap_or(0);
        for verdict in &self.promises {
            let Verdict {
                promise,
                held,
                count,
            } = verdict;
            let held = if *held { "held  " } else { "BROKEN" };
            writeln!(f, "  {held}  {promise:width$}  {count}")?;
        }
        let held = self.promises.iter().filter(|v| v.held).count();
        let (all, seconds) = (self.promises.len(), self.took / 1000);
        writeln!(f, "\n{held} of {all} promises held, in {seconds} s")
    }
}

fn measures(f: &mut Formatter<'_>, measures: &Measures) -> fmt::Result {
    let known = |n: Option<u64>| n.map_or_else(|| "not known".into(), |n| n.to_string());
    writeln!(f, "Measures")?;
    let buffer = known(measures.buffer.map(u64::from));
    writeln!(f, "  buffer cost    {buffer} hosts held idle")?;
    for rollout in &measures.rollouts {
        let preset = rollout.preset.as_deref().unwrap_or("?");
        let (took, nodes) = (rollout.took, rollout.nodes);
        writeln!(f, "  roll-out time  {took} ms to {nodes} nodes ({preset})")?;
    }
    writeln!(
        f,
        "  moves          {} jobs displaced",
        known(measures.moves)
    )
}
