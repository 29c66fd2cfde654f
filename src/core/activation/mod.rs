//! One preset and configuration in force.
//!
//! **In force** means: the configuration is committed, nothing newer is committed, and every node
//! either holds a lease under it or holds none. A node acts under a configuration only while it
//! holds a lease for it; a node without one is cut off and follows the `cut_off` section, which
//! all presets share. So at any moment all nodes that act, act under the same configuration, and
//! none ever acts under an older one again.
//!
//! A change goes through three steps:
//!
//! 1. It is committed in the log. From here on no lease is given for the earlier configuration,
//!    and the leader tells the holders of one to stop ([`Message::Prepare`]).
//! 2. Each holder stops and says so with its next [`Message::Renew`], or, if it can't be reached,
//!    its lease runs out. The leader then proposes that the new one is activated.
//! 3. Once that is committed, the leader answers the renewals that it has with a
//!    [`Message::Grant`], and the nodes act under the new one.
//!
//! # Why a lease can't outlive the leader's wait
//!
//! A node counts its lease from when it sent the renewal, which is before the leader received it,
//! from when the leader counts; the leader's count is longer by what two clocks can drift apart
//! in that time ([`DRIFT`]). A frozen node finds its lease over when it wakes, if it asks
//! [`Node::acting`] with a fresh clock after every wait. A message held up on its way makes a
//! lease shorter, never longer.
//!
//! A new leader doesn't know the leases of the one before. It therefore activates nothing before
//! a whole [`Settings::guard`] has passed since its election. That is enough because a grant goes
//! out only when a quorum has confirmed the leader after the renewal arrived
//! ([`LeaderInput::Confirmed`]); the voters that elect the next leader have therefore confirmed
//! the old one earlier than that, and the lease counts from earlier still. This needs no clock
//! that leader and voters share, and a deposed leader that doesn't know it grants nothing.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use egretpin::core::activation::{
//!     Acting, Leader, LeaderInput, LeaderOutput, Node, NodeInput, Settings,
//! };
//!
//! let settings = Settings::default();
//! let now = Duration::from_secs(10);
//! let mut leader = Leader::new(now - settings.guard(), settings.clone());
//! let mut node = Node::new(1, settings);
//! let preset = "ordinary".into();
//!
//! leader.step(now, LeaderInput::Configured { committed: 7, in_force: Some(7) });
//! node.step(now, NodeInput::Lead(Some(1)));
//! let sent = node.step(now, NodeInput::Learned { version: 7, preset, age: Duration::ZERO });
//! for message in sent {
//!     leader.step(now, LeaderInput::Receive { from: 2, message: message.message });
//! }
//! // A quorum has answered what the leader sent at `now`, so it led after the renewal came.
//! for output in leader.step(now, LeaderInput::Confirmed { at: now }) {
//!     if let LeaderOutput::Send { message, .. } = output {
//!         node.step(now, NodeInput::Receive { message });
//!     }
//! }
//! assert!(matches!(node.acting(now), Acting::Under { version: 7, .. }));
//! assert!(matches!(node.acting(now + Duration::from_secs(2)), Acting::CutOff(_)));
//! ```
//!
//! [`Mode`] also has two simpler ways, which are there to be measured against.

mod leader;
mod message;
mod node;
mod pace;
mod settings;

pub use self::{
    leader::{Leader, LeaderInput, LeaderOutput},
    message::{Boot, Message},
    node::{Acting, CutOff, Node, NodeInput, Send},
    settings::{DRIFT, Mode, Protections, Settings},
};
