//! The control task: consensus, the state machine and activation, with their I/O.
//!
//! One task owns all three, so that an entry is applied, answered and published in one step and
//! nothing else can see the state in between. It takes [`Input`]s from the mesh, the disk, the
//! operators and the other tasks, steps the core and carries out what the core asks for.

mod asks;

mod error;
mod lease;
mod publish;
mod run;
mod view;

pub use self::error::ControlError;
pub(crate) use self::{
    asks::{AskError, AskResult},
    publish::{Applied, Published},
    run::{Config, Ports, spawn},
    view::View,
};

use std::fmt;

use tokio::sync::{mpsc, oneshot};

use super::{disk::DiskEvent, frame::ControlFrame};
use crate::core::{
    state::Body,
    types::{NodeId, Now},
};

/// An event of the control task.
pub(crate) enum Input {
    /// Another node's message.
    Frame(NodeId, ControlFrame),
    /// The disk got on.
    Disk(DiskEvent),
    /// Commit a command, wherever the leader is.
    Ask {
        /// The command.
        body: Body,
        /// When the asker gives up.
        until: Now,
        /// Told what came of it.
        reply: oneshot::Sender<AskResult>,
    },
    /// Look at the state between two steps.
    Look(Box<dyn FnOnce(&View<'_>) + Send>),
    /// Change the voters, if this node leads.
    Reconfigure {
        /// All voters after the change.
        voters: Vec<NodeId>,
        /// Told whether the change was placed in the log.
        reply: oneshot::Sender<bool>,
    },
    /// This node is about to stop: hand leadership over.
    HandOver,
}

impl fmt::Debug for Input {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Input")
    }
}

/// Speaks to the control task. The task ends when every handle is gone.
#[derive(Clone, Debug)]
pub(crate) struct Control(mpsc::Sender<Input>);

/// A command that was handed over.
#[derive(Debug)]
pub(crate) struct Asked(Option<oneshot::Receiver<AskResult>>);

impl Asked {
    /// Waits for what comes of it.
    ///
    /// # Errors
    ///
    /// Says whether it may still take effect.
    pub(crate) async fn outcome(self) -> AskResult {
        match self.0 {
            Some(answer) => answer.await.unwrap_or(Err(AskError::Unknown)),
            None => Err(AskError::Stopped),
        }
    }
}

impl Control {
    /// Hands an event over; false once the task has ended or if it is too far behind.
    pub(crate) fn offer(&self, input: Input) -> bool {
        self.0.try_send(input).is_ok()
    }

    /// Commits a command and waits for its reply.
    ///
    /// # Errors
    ///
    /// Says whether it may still take effect.
    pub(crate) async fn ask(&self, body: Body, until: Now) -> AskResult {
        self.begin(body, until).await.outcome().await
    }

    /// Hands a command over; those that one task begins are proposed in their order.
    pub(crate) async fn begin(&self, body: Body, until: Now) -> Asked {
        let (reply, answer) = oneshot::channel();
        let input = Input::Ask { body, until, reply };
        let taken = self.0.send(input).await.is_ok();
        Asked(taken.then_some(answer))
    }

    /// Hands a command over without waiting for its reply; it is lost if the task is too far behind.
    pub(crate) fn send(&self, body: Body, until: Now) {
        let (reply, _) = oneshot::channel();
        self.offer(Input::Ask { body, until, reply });
    }

    /// Looks at the state; `None` once the task has ended.
    pub(crate) async fn look<T: Send + 'static>(
        &self,
        look: impl FnOnce(&View<'_>) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let input = Input::Look(Box::new(move |view| {
            // The asker may be gone, which is no concern of ours.
            let _ = reply.send(look(view));
        }));
        self.0.send(input).await.ok()?;
        answer.await.ok()
    }

    /// Changes the voters; whether the change was placed in the log.
    pub(crate) async fn reconfigure(&self, voters: Vec<NodeId>) -> bool {
        let (reply, answer) = oneshot::channel();
        let input = Input::Reconfigure { voters, reply };
        self.0.send(input).await.is_ok() && answer.await.unwrap_or(false)
    }

    /// Asks for leadership to be handed over.
    pub(crate) async fn hand_over(&self) {
        // If the task has ended there is nothing to hand over.
        let _ = self.0.send(Input::HandOver).await;
    }
}
