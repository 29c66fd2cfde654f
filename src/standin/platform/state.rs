//! Tasks and hosts of the stand-in platform.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    adapters::platform::message::{
        Ask, Checkpoint, Fate, HostCommand, HostReport, HostState, Refusal, Report, Standing,
        Start, Started, Task, TaskReport, TaskState, Throttle,
    },
    core::{
        consensus::interface::Index,
        types::{Generation, HostId, JobId, Now, Resources},
    },
};

/// How the stand-in platform behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a task runs.
    pub run: Duration,
    /// How far reports lag.
    pub lag: Duration,
    /// How long a host takes to restart.
    pub reboot: Duration,
    /// What a task uses, in hundredths of what is set aside for it.
    pub usage: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            run: Duration::from_millis(500),
            lag: Duration::from_millis(200),
            reboot: Duration::from_secs(1),
            usage: 60,
        }
    }
}

/// What the stand-in platform knows.
#[derive(Clone, Debug, Default)]
pub struct State {
    settings: Settings,
    tasks: BTreeMap<Task, Entry>,
    hosts: BTreeMap<HostId, Host>,
    /// The latest start right seen of each job.
    rights: BTreeMap<JobId, Index>,
    fenced: BTreeSet<Task>,
    starts: BTreeMap<JobId, u64>,
    failing: BTreeSet<HostId>,
    reboots: BTreeMap<HostId, u64>,
    changes: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    start: Start,
    state: TaskState,
    ends: Now,
    millicores: Option<u64>,
    /// The number of its last change, and when that was.
    change: u64,
    at: Now,
}

#[derive(Clone, Copy, Debug)]
struct Host {
    generation: Generation,
    state: HostState,
    /// When a restart is over.
    back: Now,
}

impl State {
    /// Nothing runs yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Begins a task, unless the start is stale.
    pub fn start(&mut self, now: Now, start: Start) -> Started {
        self.advance(now);
        let task = Task {
            job: start.job,
            attempt: start.attempt,
        };
        if self.tasks.contains_key(&task) {
            return Started::Began;
        }
        if let Some(refusal) = self.refusal(task, &start) {
            // A refusal is for good: a second copy of the same start, come late, must not begin
            // what the first was told would never begin.
            self.fenced.insert(task);
            return Started::Refused(refusal);
        }
        self.rights.insert(start.job, start.right);
        *self.starts.entry(start.job).or_default() += 1;
        let ends = now + self.settings.run;
        let entry = Entry {
            start,
            state: TaskState::Running,
            ends,
            millicores: None,
            change: 0,
            at: now,
        };
        self.tasks.insert(task, entry);
        self.set(now, task, TaskState::Running);
        Started::Began
    }

    /// Stops a task as it is.
    pub fn stop(&mut self, now: Now, task: Task) -> Standing {
        self.advance(now);
        self.end(now, task, TaskState::Stopped)
    }

    /// Takes a checkpoint, and stops the task after it if asked to.
    pub fn checkpoint(&mut self, now: Now, checkpoint: Checkpoint) -> Standing {
        self.advance(now);
        if checkpoint.stop {
            return self.end(now, checkpoint.task, TaskState::Checkpointed);
        }
        self.standing(checkpoint.task)
    }

    /// Throttles a task.
    pub fn throttle(&mut self, now: Now, throttle: Throttle) -> Standing {
        self.advance(now);
        if let Some(entry) = self.tasks.get_mut(&throttle.task) {
            entry.millicores = Some(throttle.millicores);
            let state = entry.state;
            self.set(now, throttle.task, state);
        }
        self.standing(throttle.task)
    }

    /// Whether an attempt began and ever can, after fencing it if asked to.
    pub fn fate(&mut self, now: Now, ask: Ask) -> Fate {
        self.advance(now);
        let state = self.standing(ask.task).state;
        let began = state.is_some();
        if ask.fence && !began {
            self.fenced.insert(ask.task);
        }
        Fate {
            began,
            possible: !began && !self.fenced.contains(&ask.task),
            state,
        }
    }

    /// Has a host take no more tasks.
    pub fn drain(&mut self, now: Now, command: &HostCommand) -> HostReport {
        self.advance(now);
        let host = self.host(&command.host, command.generation);
        if host.generation == command.generation && host.state == HostState::Up {
            host.state = HostState::Draining;
        }
        self.advance(now);
        self.host_report(&command.host)
    }

    /// Restarts a host, unless it has this generation already; its tasks are lost.
    pub fn reboot(&mut self, now: Now, command: &HostCommand) -> HostReport {
        self.advance(now);
        let back = now + self.settings.reboot;
        let host = self.host(&command.host, 0);
        if host.generation < command.generation && host.state != HostState::Lost {
            *host = Host {
                generation: command.generation,
                state: HostState::Rebooting,
                back,
            };
            *self.reboots.entry(command.host.clone()).or_default() += 1;
            self.lose(now, &command.host);
        }
        self.host_report(&command.host)
    }

    /// Loses a host, and its tasks with it.
    pub fn lose_host(&mut self, now: Now, host: &HostId) {
        self.advance(now);
        self.host(host, 0).state = HostState::Lost;
        self.lose(now, host);
    }

    /// Brings a lost host back, under a generation later than any that it was told of.
    pub fn restore_host(&mut self, now: Now, host: &HostId) {
        self.advance(now);
        let host = self.host(host, 0);
        if host.state == HostState::Lost {
            host.state = HostState::Up;
            host.generation += 1;
        }
    }

    /// How often each host was restarted on command.
    pub fn reboots(&self) -> &BTreeMap<HostId, u64> {
        &self.reboots
    }

    /// What changed after `cursor`, as of the lag ago.
    pub fn report(&mut self, now: Now, cursor: u64) -> Report {
        self.advance(now);
        let lag = self.settings.lag;
        let mut changed: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, e)| e.change > cursor)
            .collect();
        changed.sort_by_key(|(_, e)| e.change);
        changed.retain(|(_, e)| e.at + lag <= now);
        let cursor = changed.last().map_or(cursor, |(_, e)| e.change);
        let tasks = changed.into_iter().map(|(t, e)| self.task_report(*t, e));
        Report {
            cursor,
            age: lag,
            tasks: tasks.collect(),
            hosts: self.hosts.keys().map(|h| self.host_report(h)).collect(),
        }
    }

    /// How often each job began.
    pub fn starts(&self) -> &BTreeMap<JobId, u64> {
        &self.starts
    }

    /// Has a host fail, or not fail, every task that it starts from now on.
    pub fn set_failing(&mut self, host: HostId, failing: bool) {
        if failing {
            self.failing.insert(host);
        } else {
            self.failing.remove(&host);
        }
    }

    /// Sets how long the tasks that start from now on run.
    pub fn set_run(&mut self, run: Duration) {
        self.settings.run = run;
    }

    /// Why a start is not taken. The host learns a newer generation from it.
    fn refusal(&mut self, task: Task, start: &Start) -> Option<Refusal> {
        let seen = self.rights.get(&start.job).copied().unwrap_or(0);
        let running = |(t, e): (&Task, &Entry)| t.job == task.job && e.state == TaskState::Running;
        let busy = self.of_job(task.job).any(running);
        let fenced = self.fenced.contains(&task);
        let host = *self.host(&start.host, start.generation);
        if start.right <= seen {
            return Some(Refusal::StaleRight);
        }
        if start.generation < host.generation {
            return Some(Refusal::StaleHost);
        }
        match () {
            () if fenced => Some(Refusal::Fenced),
            () if busy => Some(Refusal::Running),
            () if host.state != HostState::Up => Some(Refusal::HostDown),
            () => None,
        }
    }

    fn of_job(&self, job: JobId) -> impl Iterator<Item = (&Task, &Entry)> {
        let first = Task { job, attempt: 0 };
        let last = Task {
            job,
            attempt: u32::MAX,
        };
        self.tasks.range(first..=last)
    }

    /// A host, made known by being named. It is up at first, and learns a newer generation when it
    /// is named with one; an earlier drain is void then.
    fn host(&mut self, host: &HostId, generation: Generation) -> &mut Host {
        let known = self.hosts.entry(host.clone()).or_insert(Host {
            generation,
            state: HostState::Up,
            back: Now::ZERO,
        });
        if known.generation < generation {
            known.generation = generation;
            if matches!(known.state, HostState::Draining | HostState::Drained) {
                known.state = HostState::Up;
            }
        }
        known
    }

    /// Lets everything happen that is due.
    fn advance(&mut self, now: Now) {
        let mut due: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, e)| e.state == TaskState::Running && e.ends <= now)
            .map(|(t, e)| (e.ends, *t, self.failing.contains(&e.start.host)))
            .collect();
        // In the order of time, so that a report's cursor never steps over a change.
        due.sort_unstable();
        for (ends, task, failing) in due {
            let state = if failing {
                TaskState::Failed
            } else {
                TaskState::Done
            };
            self.set(ends, task, state);
        }
        let busy: BTreeSet<_> = self
            .tasks
            .values()
            .filter(|e| e.state == TaskState::Running)
            .map(|e| e.start.host.clone())
            .collect();
        for (id, host) in &mut self.hosts {
            if host.state == HostState::Rebooting && host.back <= now {
                host.state = HostState::Up;
            }
            if host.state == HostState::Draining && !busy.contains(id) {
                host.state = HostState::Drained;
            }
        }
    }

    /// Ends a task if it still runs.
    fn end(&mut self, now: Now, task: Task, state: TaskState) -> Standing {
        if self.standing(task).state == Some(TaskState::Running) {
            self.set(now, task, state);
        }
        self.standing(task)
    }

    /// Loses what runs on a host.
    fn lose(&mut self, now: Now, host: &HostId) {
        let lost: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, e)| e.state == TaskState::Running && e.start.host == *host)
            .map(|(t, _)| *t)
            .collect();
        for task in lost {
            self.set(now, task, TaskState::Lost);
        }
    }

    fn set(&mut self, at: Now, task: Task, state: TaskState) {
        self.changes += 1;
        if let Some(entry) = self.tasks.get_mut(&task) {
            entry.state = state;
            entry.change = self.changes;
            entry.at = at;
        }
    }

    fn standing(&self, task: Task) -> Standing {
        Standing {
            state: self.tasks.get(&task).map(|e| e.state),
        }
    }

    fn host_report(&self, host: &HostId) -> HostReport {
        let known = self.hosts.get(host);
        HostReport {
            host: host.clone(),
            generation: known.map_or(0, |h| h.generation),
            state: known.map_or(HostState::Up, |h| h.state),
        }
    }

    fn task_report(&self, task: Task, entry: &Entry) -> TaskReport {
        let set = entry.start.reserved;
        let share = |n: u64| n * self.settings.usage / 100;
        let cap = entry.millicores.unwrap_or(u64::MAX);
        TaskReport {
            task,
            host: entry.start.host.clone(),
            state: entry.state,
            used: Resources {
                millicores: share(set.millicores).min(cap),
                memory: share(set.memory),
                accelerators: set.accelerators,
            },
        }
    }
}
