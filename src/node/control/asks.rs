//! Commands on their way to the log.
//!
//! A command may be asked for at any node. The node that leads proposes it; the others send it to
//! the leader they know of, and again after a while, until an answer comes or the asker gives up.
//! Sending again is safe, because every command is guarded by something that takes effect once:
//! an operation id, an attempt, a generation, a holder.

use std::{collections::BTreeMap, time::Duration};

use snafu::Snafu;
use tokio::sync::oneshot;

use crate::{
    core::{
        consensus::{Index, Term},
        state::{Body, Reply},
        types::{NodeId, Now},
    },
    node::frame::{Answer, AskId},
};

/// How long until an unanswered command is sent again.
const REPEAT: Duration = Duration::from_millis(300);

/// Why a command has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub(crate) enum AskError {
    /// It was never proposed and never will be.
    #[snafu(display("no leader can be reached; nothing was changed"))]
    NoLeader,
    /// The disk of the leader is full; nothing was changed.
    #[snafu(display("the leader's disk is full; nothing was changed, free some space there"))]
    DiskFull,
    /// It may take effect.
    #[snafu(display("no answer in time; it may still take effect, ask again under the same id"))]
    Unknown,
    /// This node is stopping; nothing was changed.
    #[snafu(display("this node is stopping; nothing was changed, ask another one"))]
    Stopped,
}

/// What came of a command.
pub(crate) type AskResult = Result<Reply, AskError>;

/// Who wants to know what comes of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// One of our own asks.
    Here(AskId),
    /// Another node's.
    There(NodeId, AskId),
    /// Nobody.
    Nobody,
}

/// A command that was asked for here.
#[derive(Debug)]
struct Ask {
    body: Body,
    until: Now,
    /// When it is sent next; `None` while it stands in our own log.
    next: Option<Now>,
    /// Whether it was ever handed to a leader that may have proposed it.
    sent: bool,
    reply: oneshot::Sender<AskResult>,
}

/// A proposal in the log that hasn't been applied.
#[derive(Clone, Copy, Debug)]
struct Placed {
    term: Term,
    origin: Origin,
}

/// The commands under way at this node.
#[derive(Debug, Default)]
pub(super) struct Asks {
    last: AskId,
    asks: BTreeMap<AskId, Ask>,
    proposals: BTreeMap<u64, Origin>,
    placed: BTreeMap<Index, Placed>,
    proposed: u64,
}

/// A command that is due to be sent.
#[derive(Debug)]
pub(super) struct Due {
    pub(super) ask: AskId,
    pub(super) body: Body,
}

impl Asks {
    /// Takes a command in; it is due at once.
    pub(super) fn open(
        &mut self,
        now: Now,
        body: Body,
        until: Now,
        reply: oneshot::Sender<AskResult>,
    ) {
        self.last += 1;
        let ask = Ask {
            body,
            until,
            next: Some(now),
            sent: false,
            reply,
        };
        self.asks.insert(self.last, ask);
    }

    /// Ends what has run out of time, and returns what is to be sent or proposed now.
    pub(super) fn due(&mut self, now: Now) -> Vec<Due> {
        let late: Vec<_> = self
            .asks
            .iter()
            .filter(|(_, ask)| ask.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            let sent = self.asks.get(&id).is_some_and(|ask| ask.sent);
            let error = if sent {
                AskError::Unknown
            } else {
                AskError::NoLeader
            };
            self.end(id, Err(error));
        }
        self.asks
            .iter_mut()
            .filter(|(_, ask)| ask.next.is_some_and(|next| next <= now))
            .map(|(id, ask)| {
                ask.next = Some(now + REPEAT);
                Due {
                    ask: *id,
                    body: ask.body.clone(),
                }
            })
            .collect()
    }

    /// Notes that a command left for a leader, so that its end is uncertain from now on.
    pub(super) fn sent(&mut self, id: AskId) {
        if let Some(ask) = self.asks.get_mut(&id) {
            ask.sent = true;
        }
    }

    /// Numbers a proposal.
    pub(super) fn propose(&mut self, origin: Origin) -> u64 {
        self.proposed += 1;
        self.proposals.insert(self.proposed, origin);
        if let Origin::Here(id) = origin
            && let Some(ask) = self.asks.get_mut(&id)
        {
            ask.sent = true;
            ask.next = None;
        }
        self.proposed
    }

    /// A proposal has its place in our log.
    pub(super) fn placed(&mut self, proposal: u64, term: Term, index: Index) {
        if let Some(origin) = self.proposals.remove(&proposal) {
            self.placed.insert(index, Placed { term, origin });
        }
    }

    /// A proposal wasn't taken; says whose it was.
    pub(super) fn rejected(&mut self, now: Now, proposal: u64) -> Origin {
        let origin = self.proposals.remove(&proposal).unwrap_or(Origin::Nobody);
        self.again(now, origin);
        origin
    }

    /// An entry was applied; says who waits for its reply. What stood at or before that index
    /// under another term has lost its place and is due again.
    pub(super) fn applied(&mut self, now: Now, term: Term, index: Index) -> Origin {
        let later = self.placed.split_off(&(index + 1));
        let done = std::mem::replace(&mut self.placed, later);
        let mut found = Origin::Nobody;
        for (at, placed) in done {
            if at == index && placed.term == term {
                found = placed.origin;
            } else {
                self.again(now, placed.origin);
            }
        }
        found
    }

    /// Ends one of our own commands.
    pub(super) fn end(&mut self, id: AskId, result: AskResult) {
        if let Some(ask) = self.asks.remove(&id) {
            // The asker may have stopped waiting.
            let _ = ask.reply.send(result);
        }
    }

    /// Another node answered one of our own commands.
    pub(super) fn answered(&mut self, now: Now, id: AskId, answer: Answer) {
        match answer {
            Answer::Applied(reply) => self.end(id, Ok(reply)),
            Answer::DiskFull => self.end(id, Err(AskError::DiskFull)),
            Answer::NotLeader(_) => self.again(now, Origin::Here(id)),
        }
    }

    /// Leadership was lost: what stands in our log may or may not be committed by the next
    /// leader, so it is asked for again.
    pub(super) fn deposed(&mut self, now: Now) {
        let placed = std::mem::take(&mut self.placed);
        for origin in placed.into_values().map(|placed| placed.origin) {
            self.again(now, origin);
        }
    }

    fn again(&mut self, now: Now, origin: Origin) {
        if let Origin::Here(id) = origin
            && let Some(ask) = self.asks.get_mut(&id)
        {
            ask.next = Some(now + REPEAT);
        }
    }
}
