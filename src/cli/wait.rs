//! Waiting for a change to be in force, or for a wave to end, with progress.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{command::Session, error::CliError};
use crate::{
    api::{
        Answer, Route,
        view::{Status, Wave, Waves},
    },
    core::{
        state::{Progress, Reply},
        types::{Version, WaveId},
    },
};

impl Session<'_> {
    /// Waits until the configuration that an answer names is in force everywhere.
    pub(super) fn wait_in_force(
        &mut self,
        answer: &Answer,
        timeout: Duration,
    ) -> Result<(), CliError> {
        let Reply::Configured { version } = answer.reply else {
            return Ok(());
        };
        let message =
            format!("configuration {version} is accepted and not yet in force everywhere");
        self.watch(timeout, message, |session| session.look_in_force(version))
    }

    /// Waits until a wave has ended.
    pub(super) fn wait_wave(&mut self, wave: WaveId, timeout: Duration) -> Result<(), CliError> {
        let message = format!("wave {wave} goes on; see it with `egretpin wave status {wave}`");
        self.watch(timeout, message, |session| session.look_wave(wave))
    }

    /// Looks until `look` finds the end, and notes each new line of progress. A look that reaches
    /// nobody is noted too: the wait outlasts an entry host.
    fn watch(
        &mut self,
        timeout: Duration,
        message: String,
        look: impl Fn(&Self) -> Result<Found, CliError>,
    ) -> Result<(), CliError> {
        let start = Instant::now();
        let mut last = String::new();
        loop {
            let line = match look(self) {
                Ok(Found::Ended) => return Ok(()),
                Ok(Found::Going(line)) => line,
                Err(error @ (CliError::Unreachable { .. } | CliError::Failed { .. })) => {
                    error.to_string()
                }
                Err(error) => return Err(error),
            };
            if line != last {
                self.note(&line);
                last = line;
            }
            if start.elapsed() >= timeout {
                return Err(CliError::Waited { message });
            }
            thread::sleep(self.pause);
        }
    }

    fn look_in_force(&self, version: Version) -> Result<Found, CliError> {
        let (_, status): (_, Status) = self.client()?.read(&Route::Status)?;
        if status.in_force == Some(version) {
            return Ok(Found::Ended);
        }
        if status.version > version {
            let newer = status.version;
            return Err(CliError::Superseded { version, newer });
        }
        Ok(Found::Going(rollout(version, &status)))
    }

    fn look_wave(&self, wave: WaveId) -> Result<Found, CliError> {
        let (_, waves): (_, Waves) = self.client()?.read(&Route::Waves)?;
        let found = waves.waves.into_iter().find(|w| w.wave == wave);
        Ok(match found {
            Some(wave) if wave.ended.is_none() => Found::Going(going(&wave)),
            _ => Found::Ended,
        })
    }
}

/// What a look found.
enum Found {
    Ended,
    /// Not yet, and how far it got.
    Going(String),
}

fn rollout(version: Version, status: &Status) -> String {
    let nodes = &status.local.nodes;
    let behind: Vec<_> = nodes.iter().filter(|n| n.acts != Some(version)).collect();
    if nodes.is_empty() {
        return format!("configuration {version} is being rolled out");
    }
    let names = behind.iter().map(|node| match node.acts {
        Some(_) => node.node.to_string(),
        None => format!("{} (cut off)", node.node),
    });
    format!(
        "configuration {version}: {} of {} nodes act under it; waiting for {}",
        nodes.len() - behind.len(),
        nodes.len(),
        names.collect::<Vec<_>>().join(", ")
    )
}

fn going(wave: &Wave) -> String {
    let (done, all) = wave.done();
    let count = |progress| wave.hosts.get(&progress).copied().unwrap_or(0);
    let paused = match (wave.paused, wave.lost) {
        (true, _) => ", paused by an operator",
        (_, true) => ", paused by a loss",
        _ => "",
    };
    format!(
        "wave {}: {done} of {all} hosts done, {} stopped, {} missing{paused}",
        wave.wave,
        count(Progress::Stopped),
        count(Progress::Missing)
    )
}
