//! Inputs and outputs of a [`Claimant`](super::Claimant).

use std::time::Duration;

use crate::core::{
    dispatch::{ClaimAnswer, RequestId},
    types::{Key, ServiceId},
};

use super::{Command, Holder};

/// A request whose key is to be claimed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// The node's number for the request.
    pub request: RequestId,
    /// The request's service.
    pub service: ServiceId,
    /// The request's key, as returned by [`scoped_key`](super::scoped_key).
    pub key: Key,
    /// How long from now the request may be sent; at most [`Terms::window`](super::Terms::window).
    pub window: Duration,
    /// How long to wait for the claim's answer before this request gets
    /// [`ClaimAnswer::CutOff`].
    pub answer_timeout: Duration,
}

/// An event for the claimant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// A request's key is to be claimed.
    Claim(ClaimRequest),
    /// A command of this node was applied to the table.
    Applied {
        /// The holder named in the command.
        holder: Holder,
        /// The command's effect.
        effect: Effect,
    },
    /// A request ended, whether it held its key or not. `ran` is `false` only if the request
    /// provably didn't run.
    Settle {
        /// The request that ended.
        request: RequestId,
        /// Whether the request ran or may have run.
        ran: bool,
    },
    /// Time has passed; sent at least every 50 ms.
    Tick,
}

/// The effect of an applied command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// The answer to a claim.
    Claim(ClaimAnswer),
    /// A settlement was applied.
    Settle,
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Propose a command to the replicated log; the proposal may be lost.
    Propose(Command),
    /// Pass the answer to the request path. Sent once for each claimed request, unless the request
    /// is settled first.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer to its claim.
        answer: ClaimAnswer,
    },
}
