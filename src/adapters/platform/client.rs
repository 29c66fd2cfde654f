//! Commands to the platform over `ureq`.

use std::{sync::Arc, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use tokio::{
    sync::Semaphore,
    task::{JoinError, spawn_blocking},
};
use ureq::Agent;

use super::message::{
    Ask, Checkpoint, Fate, HostCommand, HostReport, Report, Standing, Start, Started, Task,
    Throttle,
};

use crate::core::types::Name;

/// How long the platform may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The answer to a command isn't known: it may have been carried out or not.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The platform gave no answer that could be read.
    #[snafu(display("the platform at {base} gave no usable answer to {path}: {source}"))]
    Unanswered {
        /// Its base URL.
        base: Name,
        /// What was asked.
        path: &'static str,
        /// What went wrong.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// The thread of the command ended early.
    #[snafu(display("the command {path} to the platform was broken off: {source}"))]
    BrokenOff {
        /// What was asked.
        path: &'static str,
        /// What went wrong.
        source: JoinError,
    },
}

/// A client of one platform. A clone shares its connections and its bound.
#[derive(Clone, Debug)]
pub struct Client {
    base: Name,
    agent: Agent,
    places: Arc<Semaphore>,
}

impl Client {
    /// A client of the platform at a base URL, such as `http://10.0.0.9:9000`, that has at most
    /// `most` commands under way, each on a thread of its own.
    pub fn new(base: impl Into<Name>, most: usize) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .max_idle_connections_per_host(most)
            .build();
        Self {
            base: base.into(),
            agent: config.into(),
            places: Arc::new(Semaphore::new(most)),
        }
    }

    /// Starts a task.
    ///
    /// # Errors
    ///
    /// It may have begun; ask for its [`fate`](Self::fate), or send the same start again.
    pub async fn start(&self, start: Start) -> Result<Started, Error> {
        self.post("/tasks/start", start).await
    }

    /// Stops a task as it is.
    ///
    /// # Errors
    ///
    /// It may have been stopped; stopping it again does no harm.
    pub async fn stop(&self, task: Task) -> Result<Standing, Error> {
        self.post("/tasks/stop", task).await
    }

    /// Takes a checkpoint of a task.
    ///
    /// # Errors
    ///
    /// It may have been taken; the next report says what became of the task.
    pub async fn checkpoint(&self, checkpoint: Checkpoint) -> Result<Standing, Error> {
        self.post("/tasks/checkpoint", checkpoint).await
    }

    /// Throttles a task.
    ///
    /// # Errors
    ///
    /// It may have been throttled; throttling it again does no harm.
    pub async fn throttle(&self, throttle: Throttle) -> Result<Standing, Error> {
        self.post("/tasks/throttle", throttle).await
    }

    /// Asks whether an attempt began and whether it ever can, and may fence it.
    ///
    /// # Errors
    ///
    /// Nothing is known; ask again.
    pub async fn fate(&self, ask: Ask) -> Result<Fate, Error> {
        self.post("/tasks/fate", ask).await
    }

    /// Has a host take no more tasks.
    ///
    /// # Errors
    ///
    /// It may be draining; draining it again does no harm.
    pub async fn drain(&self, command: HostCommand) -> Result<HostReport, Error> {
        self.post("/hosts/drain", command).await
    }

    /// Restarts a host, which comes back under the generation given.
    ///
    /// # Errors
    ///
    /// It may restart; the same command again does no harm, for the generation names it.
    pub async fn reboot(&self, command: HostCommand) -> Result<HostReport, Error> {
        self.post("/hosts/reboot", command).await
    }

    /// What changed since the report that gave this cursor; 0 for all.
    ///
    /// # Errors
    ///
    /// Ask again with the same cursor.
    pub async fn report(&self, cursor: u64) -> Result<Report, Error> {
        self.post("/report", cursor).await
    }

    async fn post<Q, A>(&self, path: &'static str, question: Q) -> Result<A, Error>
    where
        Q: Serialize + Send + 'static,
        A: DeserializeOwned + Send + 'static,
    {
        // The semaphore is never closed; if it were, going on without a bound does no harm.
        let place = self.places.clone().acquire_owned().await.ok();
        let (agent, base) = (self.agent.clone(), self.base.clone());
        let asked = spawn_blocking(move || {
            let _place = place;
            let url = format!("{base}{path}");
            let answer = agent.post(url).send_json(question)?;
            answer.into_body().read_json()
        });
        let answer = asked.await.context(BrokenOffSnafu { path })?;
        let base = self.base.clone();
        answer.context(UnansweredSnafu { base, path })
    }
}
