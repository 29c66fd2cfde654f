//! The finished occurrences of a recurring job, in a size that hardly depends on how many there are.
//!
//! Occurrences finish nearly in order. So the set is kept as the number of the first one that isn't finished,
//! and the few beyond it that are, at a bit each.
//!
//! ```
//! use egretpin::core::workload::finished::FinishedRuns;
//!
//! let mut finished = FinishedRuns::default();
//! finished.insert(0);
//! finished.insert(2);
//! assert!(finished.contains(0) && !finished.contains(1) && finished.contains(2));
//! assert_eq!(finished.first_open(), 1);
//! finished.insert(1);
//! assert_eq!(finished.first_open(), 3);
//! ```

use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};

use super::spec::Occurrence;

/// The finished occurrences of a job.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FinishedRuns {
    /// All occurrences below this one are finished, and this one isn't.
    below: Occurrence,
    /// The finished occurrences beyond it.
    beyond: RoaringBitmap,
}

impl FinishedRuns {
    /// Whether an occurrence is finished.
    pub fn contains(&self, occurrence: Occurrence) -> bool {
        occurrence < self.below || self.beyond.contains(occurrence)
    }

    /// The first occurrence that isn't finished.
    pub fn first_open(&self) -> Occurrence {
        self.below
    }

    /// Whether no occurrence is finished.
    pub fn is_empty(&self) -> bool {
        self.below == 0 && self.beyond.is_empty()
    }

    /// Adds an occurrence. Returns whether it is new.
    pub fn insert(&mut self, occurrence: Occurrence) -> bool {
        if occurrence < self.below || !self.beyond.insert(occurrence) {
            return false;
        }
        while self.beyond.remove(self.below) {
            self.below += 1;
        }
        true
    }
}
