//! Commands to the platform, each on a task of its own, and what they are answered with.
//!
//! Every answer goes back through the log: the state machine is who knows where a job stands,
//! and a late answer of an earlier attempt is refused there.

use std::time::Duration;

use tokio::{sync::mpsc, time::sleep};

use crate::{
    adapters::platform::{
        Client,
        message::{Ask, Checkpoint, HostCommand, Report, Start, Started, Task, Throttle},
    },
    core::{
        state::{Body, End, Event, Request},
        types::{Generation, HostId, Now, OperationId},
    },
    node::{clock::Clock, control::Control},
};

/// Commands under way at once.
const COMMANDS: usize = 64;
/// How often an unanswered start is sent before its fate is asked for.
const TRIES: u32 = 3;
/// The pause after an unanswered command.
const PAUSE: Duration = Duration::from_millis(200);
/// The pause before a refused start is tried elsewhere, or again.
const REFUSED: Duration = Duration::from_secs(2);
/// How long the log may take to commit what the platform said.
const PATIENCE: Duration = Duration::from_secs(10);

/// Speaks to the platform on behalf of the leader.
#[derive(Clone, Debug)]
pub(super) struct Platform {
    client: Client,
    control: Control,
    clock: Clock,
    commits: mpsc::UnboundedSender<Body>,
}

/// The answer to a question for a report.
#[derive(Debug)]
pub(super) struct Told {
    /// When it was asked.
    pub(super) asked: Now,
    /// What changed; `None` if the platform didn't say.
    pub(super) report: Option<Report>,
}

/// Hands commands to the log in the order of their decisions; what comes of each is awaited aside,
/// so that none waits for another's sync. The event of a decision that can't be committed comes
/// back through `failed`.
async fn commit(
    control: Control,
    clock: Clock,
    mut commits: mpsc::UnboundedReceiver<Body>,
    failed: mpsc::UnboundedSender<Event>,
) {
    while let Some(body) = commits.recv().await {
        let until = clock.now() + PATIENCE;
        let asked = control.begin(body.clone(), until).await;
        let failed = failed.clone();
        tokio::spawn(async move {
            if let Err(error) = asked.outcome().await {
                log::warn!(error:%; "a decision was not committed");
                if let Body::System(event) = body {
                    // A task that has ended has nothing to take back.
                    let _ = failed.send(event);
                }
            }
        });
    }
}

impl Platform {
    /// Speaks to the platform at a base URL. Decisions that can't be committed come back through
    /// `failed`.
    pub(super) fn new(
        base: &str,
        control: Control,
        clock: Clock,
        failed: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let (commits, waiting) = mpsc::unbounded_channel();
        tokio::spawn(commit(control.clone(), clock, waiting, failed));
        Self {
            client: Client::new(base, COMMANDS),
            control,
            clock,
            commits,
        }
    }

    /// Starts an attempt whose right was committed, until it is known whether it began.
    pub(super) fn start(&self, start: Start) {
        let this = self.clone();
        tokio::spawn(async move { this.try_start(start).await });
    }

    /// Finds out what became of a start that an earlier leader may have sent. One that hasn't
    /// begun is fenced, so that it never will.
    pub(super) fn settle(&self, task: Task) {
        let this = self.clone();
        tokio::spawn(async move { this.fate(task).await });
    }

    /// Stops an attempt as it is; the next report says what became of it.
    pub(super) fn stop(&self, task: Task) {
        let client = self.client.clone();
        tokio::spawn(async move {
            if let Err(error) = client.stop(task).await {
                log::warn!(job = task.job, error:%; "stop not answered");
            }
        });
    }

    /// Takes a checkpoint and stops the attempt.
    pub(super) fn checkpoint(&self, task: Task) {
        let client = self.client.clone();
        tokio::spawn(async move {
            if let Err(error) = client.checkpoint(Checkpoint { task, stop: true }).await {
                log::warn!(job = task.job, error:%; "checkpoint not answered");
            }
        });
    }

    /// Holds an attempt to a share of processor time.
    pub(super) fn throttle(&self, task: Task, millicores: u64) {
        let client = self.client.clone();
        tokio::spawn(async move {
            if let Err(error) = client.throttle(Throttle { task, millicores }).await {
                log::warn!(job = task.job, error:%; "throttle not answered");
            }
        });
    }

    /// Has a host take no more tasks, until the platform says that it heard.
    pub(super) fn drain(&self, host: HostId, generation: Generation) {
        let this = self.clone();
        tokio::spawn(async move {
            let command = HostCommand { host, generation };
            while let Err(error) = this.client.drain(command.clone()).await {
                log::warn!(host:% = command.host, error:%; "drain not answered");
                sleep(PAUSE).await;
                if !this.leads().await {
                    return;
                }
            }
        });
    }

    /// Restarts a host, until the platform says that it heard.
    pub(super) fn reboot(&self, host: HostId, generation: Generation) {
        let this = self.clone();
        tokio::spawn(async move {
            let command = HostCommand { host, generation };
            while let Err(error) = this.client.reboot(command.clone()).await {
                log::warn!(host:% = command.host, error:%; "reboot not answered");
                sleep(PAUSE).await;
                if !this.leads().await {
                    return;
                }
            }
        });
    }

    /// Commits a request in an operator's place, after the events before it.
    pub(super) fn request(&self, operation: OperationId, request: Request) {
        // As above.
        let _ = self.commits.send(Body::Operator { operation, request });
    }

    /// Asks what changed since a cursor. There is an answer in any case.
    pub(super) fn report(&self, asked: Now, cursor: u64, to: mpsc::UnboundedSender<Told>) {
        let client = self.client.clone();
        tokio::spawn(async move {
            let report = client.report(cursor).await;
            let report = report.inspect_err(|error| {
                log::warn!(error:%; "platform gave no report");
            });
            let report = report.ok();
            // A task that has ended needs no reports.
            let _ = to.send(Told { asked, report });
        });
    }

    /// Commits that an attempt ended.
    pub(super) fn end(&self, task: Task, end: End) {
        let this = self.clone();
        tokio::spawn(async move { this.ended(task, end).await });
    }

    /// Commits an event, after those before it.
    pub(super) fn commit(&self, event: Event) {
        // The receiver ends with this value's last clone.
        let _ = self.commits.send(Body::System(event));
    }

    async fn try_start(&self, start: Start) {
        let task = Task {
            job: start.job,
            attempt: start.attempt,
        };
        for _ in 0..TRIES {
            match self.client.start(start.clone()).await {
                Ok(Started::Began) => return self.began(task).await,
                Ok(Started::Refused(why)) => {
                    log::info!(job = task.job, attempt = task.attempt, why:?; "start refused");
                    // Told at once, placement would try the same host again, as fast as the log
                    // commits (seen: two thousand attempts in ten seconds).
                    sleep(REFUSED).await;
                    return self.ended(task, End::NeverBegan).await;
                }
                Err(error) => log::warn!(job = task.job, error:%; "start not answered"),
            }
            sleep(PAUSE).await;
        }
        self.fate(task).await;
    }

    async fn fate(&self, task: Task) {
        while self.leads().await {
            match self.client.fate(Ask { task, fence: true }).await {
                Ok(fate) if fate.began => return self.began(task).await,
                Ok(fate) if !fate.possible => return self.ended(task, End::NeverBegan).await,
                Ok(_) => {}
                Err(error) => log::warn!(job = task.job, error:%; "fate not answered"),
            }
            sleep(PAUSE).await;
        }
    }

    async fn leads(&self) -> bool {
        self.control.look(|view| view.leads).await.unwrap_or(false)
    }

    async fn began(&self, task: Task) {
        let Task { job, attempt } = task;
        self.propose(Event::JobBegan { job, attempt }).await;
    }

    async fn ended(&self, task: Task, end: End) {
        let Task { job, attempt } = task;
        self.propose(Event::JobEnded { job, attempt, end }).await;
    }

    async fn propose(&self, event: Event) {
        let until = self.clock.now() + PATIENCE;
        if let Err(error) = self.control.ask(Body::System(event), until).await {
            log::warn!(error:%; "an event was not committed");
        }
    }
}
