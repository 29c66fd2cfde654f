//! The capacity of a pool over time, and how long work has to wait for it.
//!
//! A pool has hosts now and others from later times on: hosts on their way, and hosts that it would be given.
//! Work *begins* as capacity gets free. Each core holds one task at a time, so that as much work as the cores
//! hold has begun already, and the wait of a task is the time until all work before it has begun.
//!
//! ```
//! use std::time::Duration;
//! use egretpin::core::workload::admission::{
//!     capacity::{Capacity, Load},
//!     outstanding::Total,
//! };
//!
//! let now = Duration::from_secs(5);
//! let later = now + Duration::from_millis(1500);
//! let capacity = Capacity::new(8000, vec![(now, 80_000), (later, 40_000)]);
//! // Tasks of one core and one second, which occupy their cores for a tenth longer.
//! let load = |tasks| {
//!     let total = Total { tasks, millicores: tasks * 1000, work: tasks * 1_000_000 };
//!     Load::new(total, Duration::from_millis(100))
//! };
//! assert_eq!(capacity.wait(now, load(80)), Some(Duration::ZERO));
//! // Sixteen more, which begin as one after the other of the 80 tasks ends.
//! let wait = capacity.wait(now, load(96)).unwrap().as_secs_f64();
//! assert!((wait - 16.0 * 1.1 / 80.0).abs() < 0.001);
//! // Without hosts there is nothing to judge by.
//! assert_eq!(Capacity::default().wait(now, load(80)), None);
//! ```

use std::time::Duration;

use super::outstanding::Total;
use crate::core::types::Now;

/// Work that is judged.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// How long all of it occupies one thousandth of a core, in milliseconds.
    work: f64,
    /// The same without the overhead of its tasks.
    net: f64,
    /// How long a task occupies its cores on average, in milliseconds.
    span: f64,
    /// Thousandths of a core of a task on average.
    size: f64,
}

impl Load {
    /// The load of tasks that each occupy their cores for `overhead` longer than they run: until the leader
    /// knows of their ends and has decided what runs there next.
    pub fn new(total: Total, overhead: Duration) -> Self {
        let millicores = total.millicores as f64;
        let work = total.work as f64 + millicores * overhead.as_secs_f64() * 1000.0;
        Self {
            work,
            net: total.work as f64,
            span: work / millicores.max(1.0),
            size: millicores / (total.tasks as f64).max(1.0),
        }
    }

    /// How long a task occupies its cores on average.
    pub fn span(&self) -> Duration {
        millis(self.span)
    }

    /// How long a part of it, given as work without overhead, waits on a number of thousandths of a core.
    pub fn time_of(&self, work: u64, millicores: u64) -> Duration {
        let part = work as f64 * self.work / self.net.max(1.0);
        millis(part / (millicores as f64).max(1.0) - self.span)
    }

    /// How long all of it takes on a number of thousandths of a core, in milliseconds.
    pub fn time_on(&self, millicores: f64) -> Duration {
        millis(self.work / millicores.max(1.0))
    }
}

/// The thousandths of a core that a pool has from each time on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Thousandths of a core of a host.
    host: u64,
    /// In the order of the times.
    parts: Vec<(Now, u64)>,
}

impl Capacity {
    /// Creates a capacity from its parts, each with the time from which on it is there. `host` is the size of
    /// a host, which bounds how many tasks it holds at once.
    pub fn new(host: u64, mut parts: Vec<(Now, u64)>) -> Self {
        parts.retain(|(_, millicores)| *millicores > 0);
        parts.sort_unstable();
        Self { host, parts }
    }

    /// The capacity of a pool that is given all hosts that it needs.
    pub fn unlimited(now: Now) -> Self {
        let millicores = u64::from(u32::MAX) << 16;
        Self::new(millicores, vec![(now, millicores)])
    }

    /// Thousandths of a core of all its parts.
    pub fn total(&self) -> u64 {
        self.parts.iter().map(|(_, millicores)| millicores).sum()
    }

    /// The time until all of this work has begun; `None` if no capacity is known.
    pub fn wait(&self, now: Now, load: Load) -> Option<Duration> {
        let usable = usable_part(self.host, load.size);
        let (mut begun, mut rate, mut time) = (0.0, 0.0, 0.0);
        for (at, millicores) in &self.parts {
            let start = at.saturating_sub(now).as_secs_f64() * 1000.0;
            let ahead = begun + rate * (start - time);
            if rate > 0.0 && ahead >= load.work {
                break;
            }
            let part = *millicores as f64 * usable;
            (begun, rate, time) = (ahead + part * load.span, rate + part, start);
            if begun >= load.work {
                return Some(millis(start));
            }
        }
        (rate > 0.0).then(|| millis(time + (load.work - begun) / rate))
    }
}

/// The part of a host that tasks of a size can use, as a host holds a whole number of them.
fn usable_part(host: u64, size: f64) -> f64 {
    let host = host as f64;
    let count = (host / size.max(1.0)).floor();
    if count < 1.0 {
        return 1.0;
    }
    (count * size.max(1.0) / host).min(1.0)
}

fn millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).unwrap_or(Duration::MAX)
}
