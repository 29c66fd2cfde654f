//! Sendings side by side, each of which the core may give up.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::task::AbortHandle;

use super::client::{Client, Sending};
use crate::{
    adapters::callers::Answer,
    core::{
        dispatch::{AttemptEnd, seam::SendId},
        types::Map,
    },
};

/// The sendings under way at one node. A clone speaks of the same ones.
#[derive(Clone, Debug)]
pub struct Sendings {
    client: Client,
    running: Arc<Mutex<Map<SendId, AbortHandle>>>,
}

impl Sendings {
    /// No sendings yet.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            running: Arc::default(),
        }
    }

    /// Starts a sending; `end` is called once with how it ended, unless it is abandoned first.
    pub fn start(
        &self,
        sending: Sending,
        end: impl FnOnce(SendId, AttemptEnd, Option<Answer>) + Send + 'static,
    ) {
        let (client, running) = (self.client.clone(), self.running.clone());
        let send = sending.id();
        // Held while the task is entered, so that it can't end before it is known.
        let mut entries = self.lock();
        let task = tokio::spawn(async move {
            let (how, answer) = client.send(&sending).await;
            let known = running
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .remove(&send);
            if known.is_some() {
                end(send, how, answer);
            }
        });
        entries.insert(send, task.abort_handle());
    }

    /// Gives a sending up and closes its connection.
    pub fn abandon(&self, send: SendId) {
        if let Some(task) = self.lock().remove(&send) {
            task.abort();
        }
    }

    /// How many are under way.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// The client that sends them.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Each change under the lock is a single step.
    fn lock(&self) -> MutexGuard<'_, Map<SendId, AbortHandle>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
