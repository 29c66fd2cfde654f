//! The requests that are open at this node: read whole and not yet finished.
//!
//! The core speaks of requests by number; what those numbers stand for (the body to send, the
//! answer that came, the connection that waits) is kept here, between the callers' connections,
//! the sendings and the core.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use tokio::sync::oneshot;

use super::call::{Answer, Call};
use crate::core::{
    dispatch::RequestId,
    outcome::{Outcome, Unknown},
    types::{Map, Version},
};

/// What the connection of a finished request tells its caller.
#[derive(Debug)]
pub(super) struct Finish {
    pub(super) outcome: Outcome,
    pub(super) version: Version,
    /// How many further attempts followed the first.
    pub(super) retries: u32,
    /// Present exactly if the outcome is *answered*.
    pub(super) answer: Option<Answer>,
}

/// The open requests of one node.
///
/// One value serves all listeners of a node, so that no number is given twice.
#[derive(Debug, Default)]
pub struct Open {
    last: AtomicU64,
    entries: Mutex<Map<RequestId, Entry>>,
}

#[derive(Debug)]
struct Entry {
    call: Arc<Call>,
    answer: Option<Answer>,
    retries: u32,
    finish: oneshot::Sender<Finish>,
}

impl Open {
    /// What to send for a request; `None` once it is finished or its caller hung up.
    pub fn call(&self, request: RequestId) -> Option<Arc<Call>> {
        self.lock().get(&request).map(|e| e.call.clone())
    }

    /// Keeps a whole answer until the core finishes the request. Of several the last stays.
    pub fn hold(&self, request: RequestId, answer: Answer) {
        if let Some(entry) = self.lock().get_mut(&request) {
            entry.answer = Some(answer);
        }
    }

    /// The answer that is held for a request.
    pub fn answer(&self, request: RequestId) -> Option<Answer> {
        self.lock().get(&request).and_then(|e| e.answer.clone())
    }

    /// Counts a further attempt.
    pub fn retried(&self, request: RequestId) {
        if let Some(entry) = self.lock().get_mut(&request) {
            entry.retries += 1;
        }
    }

    /// Tells the caller, at once. Nothing happens if the caller is gone.
    pub fn finish(&self, request: RequestId, outcome: Outcome, version: Version) {
        let Some(entry) = self.lock().remove(&request) else {
            return;
        };
        let retries = entry.retries;
        let finish = match (outcome, entry.answer) {
            // Without an answer at hand the truth is that it ran and the answer is lost.
            (Outcome::Answered, None) => {
                log::error!(request; "a request was finished as answered without an answer");
                Finish {
                    outcome: Outcome::Unknown {
                        reason: Unknown::Lost,
                    },
                    version,
                    retries,
                    answer: None,
                }
            }
            (Outcome::Answered, answer) => Finish {
                outcome,
                version,
                retries,
                answer,
            },
            (outcome, _) => Finish {
                outcome,
                version,
                retries,
                answer: None,
            },
        };
        // The caller may have hung up in this moment; the core hears of that by itself.
        let _ = entry.finish.send(finish);
    }

    /// Gives up all open requests, when the core has gone away with them: each caller is told
    /// that its request may have run.
    pub fn close(&self) {
        self.lock().clear();
    }

    /// How many requests are open.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Numbers a request and keeps it until it is finished or dropped.
    pub(super) fn insert(&self, call: Call) -> (RequestId, oneshot::Receiver<Finish>) {
        let request = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let (finish, finished) = oneshot::channel();
        let entry = Entry {
            call: Arc::new(call),
            answer: None,
            retries: 0,
            finish,
        };
        self.lock().insert(request, entry);
        (request, finished)
    }

    /// Forgets a request whose caller is gone; false if it had been finished already.
    pub(super) fn remove(&self, request: RequestId) -> bool {
        self.lock().remove(&request).is_some()
    }

    /// Each change under the lock is a single step, so a panic elsewhere leaves it whole.
    fn lock(&self) -> MutexGuard<'_, Map<RequestId, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
