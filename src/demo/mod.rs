//! A demonstration of the whole product in one process.
//!
//! [`run`] starts six nodes in three data centres on loopback addresses of its own, a stand-in
//! platform, and stand-in minions on the hosts of a small declaration. Under load from stand-in
//! callers it then does what operators do and what fails: jobs, a preset change, a maintenance
//! wave, a killed minion, one that leaves, a planned stop of an entry host, and a data centre cut
//! off while the preset changes again.
//!
//! The promises are judged by [`judge`], a pure function of a [`Tally`]. What is counted comes
//! from the stand-ins wherever they can know it: callers count outcomes and wrong answers, minions
//! count runs, the platform counts starts and restarts. What nodes say of themselves is used for
//! the measures and for the preset that each acts under, which nobody else can know.
//!
//! ```
//! use egretpin::demo::{Tally, judge};
//!
//! // Nothing was seen, so nothing is proved.
//! let verdicts = judge(&Tally::default());
//! assert!(verdicts.iter().any(|verdict| !verdict.held));
//! ```

mod callers;
mod cluster;
mod error;
mod judge;
mod minions;
mod operators;
mod report;
mod script;
mod tally;
mod watch;

pub use self::{
    error::DemoError,
    judge::{Verdict, judge},
    report::Report,
    tally::{Jobs, Keys, Measures, Presets, Requests, Rollout, Step, Tally, Unkeyed, Wave},
    watch::{Sample, clashes, reversions},
};

use std::time::Duration;

use snafu::ResultExt;

use self::{
    cluster::Folder,
    error::{FolderSnafu, RuntimeSnafu},
};

/// How long threads of the demonstration may take to end after it.
const ENDING: Duration = Duration::from_millis(500);

/// Runs the demonstration, for `longest` at most. `note` takes progress, line by line.
///
/// # Errors
///
/// Fails if the cluster can't be started. A step that doesn't end in time is no error: the report
/// says so, and doesn't hold.
pub fn run(longest: Duration, note: &mut dyn FnMut(&str)) -> Result<Report, DemoError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    // Outlives the nodes, which would else write into it while it is removed.
    let folder = Folder::new().context(FolderSnafu)?;
    let report = runtime.block_on(script::play(&folder, longest, note));
    runtime.shutdown_timeout(ENDING);
    report
}
