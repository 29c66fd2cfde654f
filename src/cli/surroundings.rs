//! What the tool takes from its environment.

use std::{env, path::PathBuf, time::Duration};

/// The environment, read once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Surroundings {
    /// `EGRETPIN_ADDRESS`: entry hosts, separated by commas.
    pub address: Option<String>,
    /// The folder of unanswered operations.
    pub folder: Option<PathBuf>,
    /// Time between two looks during a wait.
    pub pause: Duration,
}

impl Surroundings {
    /// Reads the environment. The folder is `EGRETPIN_STATE`, or `egretpin` in `XDG_STATE_HOME` or
    /// in `.local/state` at home.
    pub fn from_env() -> Self {
        let path = |name| {
            env::var_os(name)
                .filter(|v| !v.is_empty())
                .map(PathBuf::from)
        };
        let home = || path("HOME").map(|home| home.join(".local/state"));
        let base = path("XDG_STATE_HOME").or_else(home);
        Self {
            address: env::var("EGRETPIN_ADDRESS").ok().filter(|v| !v.is_empty()),
            folder: path("EGRETPIN_STATE").or_else(|| base.map(|base| base.join("egretpin"))),
            pause: Duration::from_millis(200),
        }
    }
}
