//! Commands about the voters of the shared log.
//!
//! Only the leader changes voters, one at a time, and the change names all voters that there will
//! be. So a change made against voters that are no longer right is refused, and one whose answer
//! was lost can be typed again: it finds that it was made.

use super::{Session, to_json};
use crate::{
    api::{
        Failure, Route, Trouble,
        view::{Node, Placed},
    },
    cli::{args::VotersCommand, client::Client, error::CliError, show},
    core::types::NodeId,
};

impl Session<'_> {
    pub(super) fn voters(&self, command: &VotersCommand) -> Result<String, CliError> {
        match command {
            VotersCommand::List(_) => {
                let (body, node): (_, Node) = self.client()?.read(&Route::Node)?;
                Ok(self.shown(&body, || show::voters(&node)))
            }
            VotersCommand::Add(args) => self.add_voter(args.node),
            VotersCommand::Remove(args) => self.remove_voter(args.node),
        }
    }

    fn add_voter(&self, added: NodeId) -> Result<String, CliError> {
        let (client, leader) = self.leading()?;
        if leader.voters.contains(&added) {
            let text = format!("node {added} is a voter already; nothing was changed\n");
            return Ok(self.shown(&to_json(&leader), || text));
        }
        let mut voters = leader.voters;
        voters.push(added);
        voters.sort_unstable();
        self.place(&client, &voters)
    }

    fn remove_voter(&self, removed: NodeId) -> Result<String, CliError> {
        let (client, leader) = self.leading()?;
        if !leader.voters.contains(&removed) {
            let text = format!("node {removed} is no voter; nothing was changed\n");
            return Ok(self.shown(&to_json(&leader), || text));
        }
        let mut voters = leader.voters;
        voters.retain(|voter| *voter != removed);
        if voters.is_empty() {
            return Err(CliError::usage(format!(
                "node {removed} is the only voter; add another one first"
            )));
        }
        self.place(&client, &voters)
    }

    fn place(&self, client: &Client, voters: &[NodeId]) -> Result<String, CliError> {
        match client.ask::<_, Placed>(&Route::Voters, Some(&voters)) {
            Ok((body, _)) => Ok(self.shown(&body, || show::placed(voters))),
            Err(CliError::Unreachable { tried }) => {
                let tried = tried.join("; ");
                let message = format!(
                    "no answer from the leader: {tried}. The change may have been made; see \
                     `egretpin voters list`, or type the same command again, which is safe"
                );
                Err(CliError::Waited { message })
            }
            Err(error) => Err(error),
        }
    }

    /// The leader among the named hosts, and what it says of itself.
    fn leading(&self) -> Result<(Client, Node), CliError> {
        let (mut known, mut failed) = (None, None);
        self.client()?;
        for client in self.clients() {
            match client.read::<Node>(&Route::Node) {
                Ok((_, node)) if node.leads => return Ok((client, node)),
                Ok((_, node)) => known = known.or(node.leader),
                Err(error) => failed = Some(error),
            }
        }
        let message = match (known, failed) {
            (Some(leader), _) => format!(
                "only the leader changes voters, and none of the named hosts leads; name the \
                 operators' address of node {leader} with --address; nothing was changed"
            ),
            (None, Some(error)) => return Err(error),
            (None, None) => {
                "no leader is known now; nothing was changed; a quorum of voters must run".into()
            }
        };
        let failure = Failure::new(Trouble::Unavailable, message);
        Err(CliError::Failed { failure })
    }
}
