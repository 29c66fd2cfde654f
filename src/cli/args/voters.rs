//! Commands about the voters of the shared log.

use argh::FromArgs;

use crate::core::types::NodeId;

/// See or change the voters of the shared log. To replace a voter that lost its disk, remove its
/// id first; then start the host as a new node and add that one's id.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "voters")]
pub struct Voters {
    /// what to do
    #[argh(subcommand)]
    pub command: VotersCommand,
}

/// What to do with voters.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
#[expect(missing_docs, reason = "each variant is the command of its type")]
pub enum VotersCommand {
    List(VotersList),
    Add(VotersAdd),
    Remove(VotersRemove),
}

/// List the voters as the node that is asked knows them.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct VotersList {}

/// Add a voter. The leader's operators' address must be among the named ones.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub struct VotersAdd {
    /// the node
    #[argh(positional)]
    pub node: NodeId,
}

/// Remove a voter. The leader's operators' address must be among the named ones.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct VotersRemove {
    /// the node
    #[argh(positional)]
    pub node: NodeId,
}
