//! Learned sizes and run times.
//!
//! Declared sizes are far from the truth, but they scale with it: of two jobs of one kind, the
//! one declared larger is mostly the larger. So what is learned for each kind (a service's jobs
//! of one team) is the *ratio* of the observed peak to the declared value, as a histogram with
//! geometric buckets whose old weight fades. An estimate is the declared value times a high
//! quantile of the ratio. The declared value is the prior: a few observations of ratio 1 stand
//! in every new histogram, and real ones soon outweigh them.
//!
//! A mean was rejected, since half of the jobs would outgrow it; a maximum, since one odd job
//! would keep room idle for all others.
//!
//! ```
//! use egretpin::core::{fleet::jobs::Learner, types::Resources};
//!
//! let mut learner = Learner::default();
//! let declared = Resources { millicores: 4000, memory: 8 << 30, accelerators: 0 };
//! let used = Resources { millicores: 1000, memory: 2 << 30, accelerators: 0 };
//! for _ in 0..100 {
//!     learner.observe_size(7, &declared, &used);
//! }
//! let need = learner.estimate(7, &declared, Default::default()).need;
//! assert!(need.millicores < 2000 && need.millicores >= 1000);
//! ```

use std::time::Duration;

use crate::core::types::{Map, Resources};

/// Buckets for each doubling of a ratio.
const STEPS: i32 = 4;
/// The ratios run from 1/16 to 16.
const DOUBLINGS: i32 = 4;
/// Buckets of one histogram.
const BUCKETS: usize = (2 * DOUBLINGS * STEPS) as usize + 1;
/// The bucket of ratio 1.
const UNIT: usize = (DOUBLINGS * STEPS) as usize;
/// Observations that the declared value counts for.
const PRIOR: f32 = 3.0;
/// Observations after which older ones weigh half.
const HALF_LIFE: u16 = 64;
/// Of the observed jobs, the part that stays within the estimate of its size.
const SIZE_QUANTILE: f32 = 0.95;
/// Of the observed jobs, the part that ends within the estimate of its run time.
const TIME_QUANTILE: f32 = 0.9;
/// Kinds remembered; past it, the least recently seen half is forgotten.
const KINDS: usize = 4096;

/// What a job is expected to need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Its peak use. Accelerators are whole devices and always as declared.
    pub need: Resources,
    /// How long it runs.
    pub run_time: Duration,
}

/// Ratios of observed to declared, for each kind of job.
///
/// Kinds are numbered by the caller. Memory is bounded, however many kinds appear.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    kinds: Map<u32, Kind>,
    clock: u64,
}

#[derive(Clone, Debug)]
struct Kind {
    cores: Ratios,
    memory: Ratios,
    time: Ratios,
    seen: u64,
}

#[derive(Clone, Debug)]
struct Ratios {
    weights: [f32; BUCKETS],
    total: f32,
    fresh: u16,
}

impl Learner {
    /// What a job of this kind is expected to need.
    pub fn estimate(&self, kind: u32, declared: &Resources, run_time: Duration) -> Estimate {
        let Some(known) = self.kinds.get(&kind) else {
            return Estimate {
                need: *declared,
                run_time,
            };
        };
        Estimate {
            need: Resources {
                millicores: scale(declared.millicores, known.cores.quantile(SIZE_QUANTILE)),
                memory: scale(declared.memory, known.memory.quantile(SIZE_QUANTILE)),
                accelerators: declared.accelerators,
            },
            run_time: run_time.mul_f32(known.time.quantile(TIME_QUANTILE)),
        }
    }

    /// Takes in the peak use of a job that ended.
    pub fn observe_size(&mut self, kind: u32, declared: &Resources, peak: &Resources) {
        let known = self.kind(kind);
        known.cores.observe(declared.millicores, peak.millicores);
        known.memory.observe(declared.memory, peak.memory);
    }

    /// Takes in the run time of a job that ended with success.
    pub fn observe_time(&mut self, kind: u32, declared: Duration, took: Duration) {
        let known = self.kind(kind);
        known.time.observe(millis(declared), millis(took));
    }

    /// How many kinds are remembered.
    pub fn kinds(&self) -> usize {
        self.kinds.len()
    }

    fn kind(&mut self, kind: u32) -> &mut Kind {
        self.clock += 1;
        if self.kinds.len() >= KINDS && !self.kinds.contains_key(&kind) {
            self.forget();
        }
        let known = self.kinds.entry(kind).or_insert_with(Kind::new);
        known.seen = self.clock;
        known
    }

    /// Forgets the half that was seen longest ago; rare, so its cost spreads over many events.
    fn forget(&mut self) {
        let mut seen: Vec<u64> = self.kinds.values().map(|known| known.seen).collect();
        seen.sort_unstable();
        let middle = seen[seen.len() / 2];
        self.kinds.retain(|_, known| known.seen >= middle);
    }
}

impl Kind {
    const fn new() -> Self {
        Self {
            cores: Ratios::new(),
            memory: Ratios::new(),
            time: Ratios::new(),
            seen: 0,
        }
    }
}

impl Ratios {
    const fn new() -> Self {
        let mut weights = [0.0; BUCKETS];
        weights[UNIT] = PRIOR;
        Self {
            weights,
            total: PRIOR,
            fresh: 0,
        }
    }

    fn observe(&mut self, declared: u64, observed: u64) {
        if declared == 0 {
            return;
        }
        self.fresh += 1;
        if self.fresh == HALF_LIFE {
            self.fade();
        }
        self.weights[bucket(observed as f64 / declared as f64)] += 1.0;
        self.total += 1.0;
    }

    fn fade(&mut self) {
        self.fresh = 0;
        for weight in &mut self.weights {
            *weight /= 2.0;
        }
        self.total = self.weights.iter().sum();
    }

    /// The upper border of the bucket in which the quantile lies.
    fn quantile(&self, part: f32) -> f32 {
        let goal = self.total * part;
        let mut sum = 0.0;
        let found = self.weights.iter().position(|weight| {
            sum += weight;
            sum >= goal
        });
        border(found.unwrap_or(BUCKETS - 1))
    }
}

/// The bucket whose upper border is the first not below the ratio.
fn bucket(ratio: f64) -> usize {
    let step = (ratio.max(1e-9).log2() * f64::from(STEPS)).ceil() as i32;
    (step + UNIT as i32).clamp(0, BUCKETS as i32 - 1) as usize
}

fn border(bucket: usize) -> f32 {
    let step = bucket as i32 - UNIT as i32;
    (step as f32 / STEPS as f32).exp2()
}

fn scale(declared: u64, ratio: f32) -> u64 {
    (declared as f64 * f64::from(ratio)).ceil() as u64
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
