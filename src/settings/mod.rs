//! What operators write in YAML: the settings of a daemon and the declaration of a fleet.
//!
//! [`Settings`] say who one process is: its node id, data centre, addresses and peers, and whether
//! it has a data folder. What the fleet should be is in the declaration, which operators `apply`
//! and every node shares; [`fleet`] reads it.
//!
//! Both are read strictly. A field that isn't known, a number without its unit, a name that
//! nothing declares or a budget that can't be met is refused, and all problems of a file are
//! reported together. A [`Problem`] names the line, the path of the field, what is wrong there and
//! what would be right.
//!
//! The text is first read into a tree with line numbers and then walked, instead of being read
//! straight into the types: serde stops at the first error, and an operator who mends one a run
//! gives up. The tree comes from `serde-saphyr`, since `serde_yaml` is deprecated; of its kept kin
//! it is the one that gives positions to whatever it reads. It refuses no duplicate key here,
//! because the walk does that and names the path.
//!
//! ```
//! use std::path::Path;
//!
//! use egretpin::settings::{Settings, SettingsError};
//!
//! let text = "
//! node: 1
//! data_centre: west
//! mesh: 10.0.0.1:7000
//! callers: 10.0.0.1:8000
//! minions: 10.0.0.1:8001
//! operators: 10.0.0.1:8002
//! voters: [1]
//! data: /var/lib/egretpin
//! log: { levl: debug }
//! ";
//! let Err(SettingsError::Invalid { problems }) = Settings::parse(Path::new("node.yaml"), text)
//! else {
//!     panic!("a misspelt field is refused");
//! };
//! assert_eq!(
//!     problems.to_string(),
//!     "node.yaml:10: log.levl: no such field; did you mean \"level\"?",
//! );
//! ```

mod cursor;
mod daemon;
mod error;
pub mod fleet;
mod node;
mod problem;
pub(crate) mod scalar;
mod suggest;
mod table;
pub(crate) mod units;

pub(crate) use self::suggest::suggest;
pub use self::{
    daemon::{Advice, LimitSettings, LogSettings, Peer, Settings},
    error::SettingsError,
    problem::{Problem, Problems},
};
