//! What leader and nodes tell each other.

use serde::{Deserialize, Serialize};

use crate::core::types::{Now, Version};

/// Distinguishes the processes that a node has been; drawn at random when one begins.
pub type Boot = u64;

/// A message of activation. Any may be lost, doubled, late or out of order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub enum Message {
    /// A node asks for a lease, and says which configurations it will never act under again.
    Renew {
        /// The node's process.
        boot: Boot,
        /// When it sent this, by its own clock; comes back in the grant.
        sent: Now,
        /// It acts under nothing older than this.
        floor: Version,
    },
    /// The leader tells a node to stop acting under anything older.
    Prepare {
        /// The newest committed configuration.
        version: Version,
    },
    /// The leader answers a renewal with a lease, which counts from `sent`.
    Grant {
        /// The process that asked.
        boot: Boot,
        /// When it asked, by its own clock.
        sent: Now,
        /// The configuration in force.
        version: Version,
    },
}
