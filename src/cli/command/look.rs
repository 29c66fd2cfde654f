//! Commands that read.

use std::fs;

use super::{Session, name, to_json};
use crate::{
    api::{
        Route,
        view::{
            Explanation, History, Hosts, Job, Jobs, Plan, Pools, Presets, Proposal, Status, Waves,
        },
    },
    cli::{
        args::{ExplainCommand, Plan as PlanArgs, PoolCommand},
        error::CliError,
        show,
    },
    core::types::{JobId, Name, WaveId},
    settings::{SettingsError, fleet},
};

/// Bytes of the longest id of a request.
const LONGEST_ID: usize = 64;
/// The phases that a list of jobs can be narrowed to.
const PHASES: [&str; 5] = ["waiting", "starting", "running", "unresolved", "ended"];

impl Session<'_> {
    pub(super) fn plan(&self, args: &PlanArgs) -> Result<String, CliError> {
        let failed = |source| CliError::Settings { source };
        let file = args.file.clone();
        let text = fs::read_to_string(&file)
            .map_err(|source| failed(SettingsError::Read { file, source }))?;
        fleet::parse(&args.file, &text).map_err(failed)?;
        let proposal = Proposal {
            file: args.file.display().to_string(),
            text,
            preset: args
                .preset
                .as_deref()
                .map(|p| name("preset", p))
                .transpose()?,
        };
        let (body, plan): (_, Plan) = self.client()?.ask(&Route::Plan, Some(&proposal))?;
        Ok(self.shown(&body, || show::plan(&plan)))
    }

    pub(super) fn status(&self) -> Result<String, CliError> {
        let (body, status): (_, Status) = self.client()?.read(&Route::Status)?;
        Ok(self.shown(&body, || show::status(&status)))
    }

    pub(super) fn presets(&self) -> Result<String, CliError> {
        let (body, presets): (_, Presets) = self.client()?.read(&Route::Presets)?;
        Ok(self.shown(&body, || show::presets(&presets)))
    }

    pub(super) fn pool(&self, command: &PoolCommand) -> Result<String, CliError> {
        let PoolCommand::Show(args) = command else {
            let (body, pools): (_, Pools) = self.client()?.read(&Route::Pools)?;
            return Ok(self.shown(&body, || show::pools(&pools)));
        };
        let route = Route::Pool(name("pool", &args.pool)?);
        let (body, hosts): (_, Hosts) = self.client()?.read(&route)?;
        Ok(self.shown(&body, || show::hosts(&hosts)))
    }

    pub(super) fn hosts(&self) -> Result<String, CliError> {
        let (body, hosts): (_, Hosts) = self.client()?.read(&Route::Hosts)?;
        Ok(self.shown(&body, || show::hosts(&hosts)))
    }

    pub(super) fn waves(&self, only: Option<WaveId>) -> Result<String, CliError> {
        let (_, mut waves): (_, Waves) = self.client()?.read(&Route::Waves)?;
        if let Some(only) = only {
            waves.waves.retain(|wave| wave.wave == only);
        }
        Ok(self.shown(&to_json(&waves), || show::waves(&waves)))
    }

    pub(super) fn jobs(&self, phase: Option<&str>) -> Result<String, CliError> {
        if let Some(phase) = phase.filter(|p| !PHASES.contains(p)) {
            let known = PHASES.join(", ");
            return Err(CliError::usage(format!(
                "{phase:?} is no phase; give one of {known}"
            )));
        }
        let (_, mut jobs): (_, Jobs) = self.client()?.read(&Route::Jobs)?;
        jobs.jobs.retain(|job| phase.is_none_or(|p| job.phase == p));
        Ok(self.shown(&to_json(&jobs), || show::jobs(&jobs)))
    }

    pub(super) fn one_job(&self, job: JobId) -> Result<String, CliError> {
        let (body, job): (_, Job) = self.client()?.read(&Route::Job(job))?;
        Ok(self.shown(&body, || show::jobs(&Jobs { jobs: vec![job] })))
    }

    pub(super) fn history(&self, limit: usize) -> Result<String, CliError> {
        let (_, mut history): (_, History) = self.client()?.read(&Route::History)?;
        history.entries.truncate(limit);
        Ok(self.shown(&to_json(&history), || show::history(&history)))
    }

    pub(super) fn explain(&self, command: &ExplainCommand) -> Result<String, CliError> {
        let route = match command {
            ExplainCommand::Request(args) => Route::ExplainRequest(request_id(&args.request)?),
            ExplainCommand::Job(args) => Route::ExplainJob(args.job),
            ExplainCommand::Host(args) => Route::ExplainHost(name("host", &args.host)?),
        };
        let (body, told): (_, Explanation) = self.client()?.read(&route)?;
        Ok(self.shown(&body, || show::explanation(&told)))
    }
}

/// An id of a request, which its caller may have chosen freely.
fn request_id(text: &str) -> Result<Name, CliError> {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if visible && (1..=LONGEST_ID).contains(&text.len()) {
        return Ok(text.into());
    }
    Err(CliError::usage(format!(
        "{text:?} is no request id; give the `Egretpin-Request` of the answer, 1 to {LONGEST_ID} \
         visible characters"
    )))
}
