//! Commands that change something.

use std::fs;

use super::{Session, name};
use crate::{
    api::{Answer, Change, JobBody, millis},
    cli::{
        args::{
            Apply, HostCommand, JobCommand, JobResolve, JobSubmit, PresetCommand, PresetUse,
            WaveCommand, WaveStart,
        },
        error::CliError,
    },
    core::{
        state::{Reply, Resolution},
        types::{Resources, Urgency},
    },
    settings::{SettingsError, fleet},
};

impl Session<'_> {
    pub(super) fn apply(&mut self, args: &Apply) -> Result<String, CliError> {
        let text = fs::read_to_string(&args.file).map_err(|source| CliError::Settings {
            source: SettingsError::Read {
                file: args.file.clone(),
                source,
            },
        })?;
        // Problems are told here, without a way to the daemon and back.
        fleet::parse(&args.file, &text).map_err(|source| CliError::Settings { source })?;
        let preset = args
            .preset
            .as_deref()
            .map(|p| name("preset", p))
            .transpose()?;
        let change = Change::Apply {
            file: args.file.display().to_string(),
            text,
            preset,
            expected: 0,
        };
        let answer = self.send(change, args.expect)?;
        if args.wait {
            self.wait_in_force(&answer.1, args.timeout)?;
        }
        Ok(self.answered(&answer))
    }

    pub(super) fn preset(&mut self, command: PresetCommand) -> Result<String, CliError> {
        match command {
            PresetCommand::List(_) => self.presets(),
            PresetCommand::Use(args) => self.use_preset(&args),
        }
    }

    fn use_preset(&mut self, args: &PresetUse) -> Result<String, CliError> {
        let preset = name("preset", &args.preset)?;
        let change = Change::UsePreset {
            preset,
            expected: 0,
        };
        let answer = self.send(change, args.expect)?;
        if args.wait {
            self.wait_in_force(&answer.1, args.timeout)?;
        }
        Ok(self.answered(&answer))
    }

    pub(super) fn host(&mut self, command: &HostCommand) -> Result<String, CliError> {
        let change = match command {
            HostCommand::List(_) => return self.hosts(),
            HostCommand::Drain(args) => Change::DrainHost {
                host: name("host", &args.host)?,
            },
            HostCommand::Return(args) => Change::ReturnHost {
                host: name("host", &args.host)?,
            },
            HostCommand::Move(args) => Change::MoveHost {
                host: name("host", &args.host)?,
                pool: name("pool", &args.to)?,
            },
        };
        self.change(change)
    }

    pub(super) fn wave(&mut self, command: &WaveCommand) -> Result<String, CliError> {
        match command {
            WaveCommand::Status(args) => self.waves(args.wave),
            WaveCommand::Start(args) => self.start_wave(args),
            WaveCommand::Pause(args) => self.change(Change::PauseWave { wave: args.wave }),
            WaveCommand::Resume(args) => self.change(Change::ResumeWave { wave: args.wave }),
        }
    }

    fn start_wave(&mut self, args: &WaveStart) -> Result<String, CliError> {
        let pool = name("pool", &args.pool)?;
        let answer = self.send(Change::StartWave { pool, expected: 0 }, args.expect)?;
        if let (true, Reply::WaveStarted { wave }) = (args.wait, &answer.1.reply) {
            self.wait_wave(*wave, args.timeout)?;
        }
        Ok(self.answered(&answer))
    }

    pub(super) fn job(&mut self, command: JobCommand) -> Result<String, CliError> {
        let change = match command {
            JobCommand::Status(args) => return self.one_job(args.job),
            JobCommand::List(args) => return self.jobs(args.phase.as_deref()),
            JobCommand::Cancel(args) => Change::CancelJob { job: args.job },
            JobCommand::Resolve(args) => resolve(&args)?,
            JobCommand::Submit(args) => submit(args)?,
        };
        self.change(change)
    }

    fn change(&mut self, change: Change) -> Result<String, CliError> {
        let effect = effect(&change);
        let (body, answer) = self.send(change, None)?;
        Ok(match answer.reply {
            Reply::Noted => self.shown(&body, || format!("{effect}\n")),
            _ => self.answered(&(body, answer)),
        })
    }

    fn answered(&self, (body, answer): &(String, Answer)) -> String {
        self.shown(body, || format!("{}\n", answer.message))
    }
}

/// What is so once a change is noted.
fn effect(change: &Change) -> String {
    match change {
        Change::PauseWave { wave } => format!("wave {wave} is paused; what is stopped comes back"),
        Change::ResumeWave { wave } => format!("wave {wave} goes on"),
        Change::DrainHost { host } => format!("host {host} will drain when the budgets allow"),
        Change::ReturnHost { host } => format!("host {host} is to serve its pool"),
        Change::MoveHost { host, pool } => {
            format!("host {host} will join pool {pool} when the budgets allow")
        }
        Change::CancelJob { job } => format!("job {job} is to end"),
        Change::ResolveJob { job, .. } => format!("job {job} is resolved"),
        _ => String::from("noted"),
    }
}

fn resolve(args: &JobResolve) -> Result<Change, CliError> {
    let resolution = match args.resolution.as_str() {
        "succeeded" => Resolution::Succeeded,
        "failed" => Resolution::Failed,
        "again" => Resolution::Again,
        other => {
            let message = format!("--as {other:?} isn't known; give succeeded, failed or again");
            return Err(CliError::usage(message));
        }
    };
    Ok(Change::ResolveJob {
        job: args.job,
        attempt: args.attempt,
        resolution,
    })
}

fn submit(args: JobSubmit) -> Result<Change, CliError> {
    let idempotent = match (args.idempotent, args.once) {
        (true, true) => return Err(CliError::usage("give --idempotent or --once, not both")),
        (false, false) => None,
        (idempotent, _) => Some(idempotent),
    };
    let urgency = if args.urgent {
        Urgency::Urgent
    } else {
        Urgency::Ordinary
    };
    Ok(Change::SubmitJob(JobBody {
        service: name("service", &args.service)?,
        team: name("team", &args.team)?,
        idempotent,
        resources: Resources {
            millicores: args.cores,
            memory: args.memory,
            accelerators: args.accelerators,
        },
        urgency,
        runtime: millis(args.runtime),
        checkpointable: args.checkpointable,
        payload: args.payload,
    }))
}
