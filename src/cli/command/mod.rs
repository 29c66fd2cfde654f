//! Running a command.

mod change;
mod look;
mod send;
mod voters;

use std::{
    hash::{BuildHasher, RandomState},
    net::SocketAddr,
    time::Duration,
};

use serde::Serialize;

use super::{
    args::{Args, Command},
    client::Client,
    error::CliError,
    pending::Pending,
    surroundings::Surroundings,
    time,
};
use crate::{
    core::types::{Name, OperationId},
    demo,
    settings::{Settings, scalar},
};

/// What one run needs.
pub(super) struct Session<'n> {
    addresses: Vec<String>,
    pending: Option<Pending>,
    operation: Option<OperationId>,
    json: bool,
    pub(super) pause: Duration,
    note: &'n mut dyn FnMut(&str),
}

impl<'n> Session<'n> {
    /// Finds the entry hosts: those of the options, else of the environment.
    pub(super) fn new(
        args: &Args,
        around: &Surroundings,
        note: &'n mut dyn FnMut(&str),
    ) -> Result<Self, CliError> {
        let mut listed = args.address.clone();
        if let Some(file) = &args.settings {
            let settings = Settings::read(file).map_err(|source| CliError::Settings { source })?;
            listed.push(settings.operators.to_string());
        }
        if listed.is_empty() {
            listed.extend(around.address.clone());
        }
        Ok(Self {
            addresses: addresses(&listed)?,
            pending: around.folder.as_deref().map(Pending::new),
            operation: args.operation.as_deref().map(operation_id).transpose()?,
            json: args.json,
            pause: around.pause,
            note,
        })
    }

    /// Runs a command and returns what to print.
    pub(super) fn run(&mut self, command: Command) -> Result<String, CliError> {
        match command {
            Command::Plan(args) => self.plan(&args),
            Command::Apply(args) => self.apply(&args),
            Command::Preset(args) => self.preset(args.command),
            Command::Status(_) => self.status(),
            Command::Pool(args) => self.pool(&args.command),
            Command::Host(args) => self.host(&args.command),
            Command::Wave(args) => self.wave(&args.command),
            Command::Job(args) => self.job(args.command),
            Command::History(args) => self.history(args.limit),
            Command::Explain(args) => self.explain(&args.command),
            Command::Voters(args) => self.voters(&args.command),
            Command::Check(args) => check(&args),
            Command::Demo(args) => self.demo(&args),
        }
    }

    fn demo(&mut self, args: &super::args::Demo) -> Result<String, CliError> {
        let longest = Duration::from_secs(args.seconds);
        let report = demo::run(longest, self.note).map_err(|source| CliError::Demo { source })?;
        let shown = if self.json {
            format!("{}\n", to_json(&report))
        } else {
            report.to_string()
        };
        if report.held {
            return Ok(shown);
        }
        Err(CliError::Broken { report: shown })
    }

    pub(super) fn client(&self) -> Result<Client, CliError> {
        if self.addresses.is_empty() {
            return Err(CliError::usage(
                "no entry host is named; give --address 10.0.0.1:8002, a daemon's --settings FILE, \
                 or set EGRETPIN_ADDRESS",
            ));
        }
        Ok(Client::new(self.addresses.clone()))
    }

    /// A client for each entry host alone.
    fn clients(&self) -> impl Iterator<Item = Client> {
        let addresses = self.addresses.iter().cloned();
        addresses.map(|address| Client::new(vec![address]))
    }

    pub(super) fn note(&mut self, line: &str) {
        (self.note)(line);
    }

    /// What to print: the body that came, or its table.
    fn shown(&self, body: &str, table: impl FnOnce() -> String) -> String {
        if self.json {
            format!("{}\n", body.trim_end())
        } else {
            table()
        }
    }
}

/// A view as JSON, where it isn't the body that came.
fn to_json(view: &impl Serialize) -> String {
    serde_json::to_string(view).unwrap_or_default()
}

fn check(args: &super::args::Check) -> Result<String, CliError> {
    let failed = |source| CliError::Settings { source };
    let file = args.file.display();
    if !args.daemon {
        let fleet = crate::settings::fleet::read(&args.file).map_err(failed)?;
        return Ok(format!(
            "{file}: a declaration of {} hosts in {} pools, {} services and {} presets\n",
            fleet.hosts.len(),
            fleet.pools.len(),
            fleet.services.len(),
            fleet.presets.len()
        ));
    }
    let settings = Settings::read(&args.file).map_err(failed)?;
    let mut text = format!("{file}: settings of node {}\n", settings.node);
    for advice in settings.advice() {
        text.push_str(&format!("{file}: advice: {advice}\n"));
    }
    Ok(text)
}

fn addresses(listed: &[String]) -> Result<Vec<String>, CliError> {
    let mut addresses = Vec::new();
    for address in listed
        .iter()
        .flat_map(|list| list.split(','))
        .map(str::trim)
    {
        match address.parse::<SocketAddr>() {
            Ok(found) => addresses.push(found.to_string()),
            Err(_) => {
                return Err(CliError::usage(format!(
                    "{address:?} is no address; give an IP number and a port, for example \
                     10.0.0.1:8002"
                )));
            }
        }
    }
    Ok(addresses)
}

fn operation_id(text: &str) -> Result<OperationId, CliError> {
    name("operation id", text)
}

/// A name, which may then stand in a path.
fn name(what: &str, text: &str) -> Result<Name, CliError> {
    if scalar::is_name(text) {
        return Ok(Name::from(text));
    }
    let rule = scalar::name_rule();
    Err(CliError::usage(format!("{text:?} is no {what}; {rule}")))
}

/// A new operation id. The standard hasher's keys come from the system's randomness.
fn fresh_id() -> OperationId {
    let now = time::now();
    OperationId::from(format!(
        "op-{now:x}-{:016x}",
        RandomState::new().hash_one(now)
    ))
}
