//! The engine's words in those of the shared state.
//!
//! [`feed`] gives a new engine what the shared state holds. [`commands`] turns a decision into what
//! the leader is to propose, and [`returned`] does so for a host that the platform reports up
//! again. The replies go back to the engine: [`Reply::HostRenewed`](state::Reply::HostRenewed) as
//! [`Event::Back`] or [`Event::HandedOver`], and a refusal of a host's command as
//! [`Event::Reset`] with [`fact`].
//!
//! The shared state has no word for a drained host, which stays *draining* there, and none for a
//! soak after a hand-over, where it is *cordoned*. A new leader therefore drains such a host again,
//! which is done at once, and soaks it again.

use std::time::Duration;

use crate::core::{
    declaration::Declaration,
    fleet::budget::Cause,
    state::{self, Intent, Progress, Request, Stage, State},
    types::{Generation, HostId, PoolId, Version, Wall, WaveId},
};

use super::{Action, Decision, Event, HostFact, Phase, Report, Wants};

/// Something to propose to the shared state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// In an operator's name; the leader gives it an operation id.
    Request(Request),
    /// In egretpin's own.
    Event(state::Event),
}

/// What a new engine is told, in this order. The preset comes first, so that limits are its own.
pub fn feed(state: &State, now: Wall) -> Vec<Event> {
    let configuration = state.configuration();
    let declaration = configuration.declaration();
    let preset = configuration.spec().map(|spec| Event::Preset {
        wave: spec.wave.clone(),
        moves: Vec::new(),
    });
    let hosts = state.hosts().iter();
    let hosts = hosts.filter_map(|(host, _)| fact(state, host).map(Event::Host));
    let open = state
        .waves()
        .iter()
        .filter(|(_, wave)| wave.ended.is_none());
    let waves = open.flat_map(|(id, wave)| {
        let age: Duration = now.saturating_sub(wave.started);
        let pool = wave.pool.clone();
        let (wave, paused, lost) = (id, wave.paused, wave.lost);
        [
            Event::Wave {
                wave,
                pool,
                age,
                lost,
            },
            Event::WavePaused { wave, paused },
        ]
    });
    preset
        .into_iter()
        .chain(declared(declaration))
        .chain(hosts)
        .chain(waves)
        .collect()
}

/// The pools and services of a declaration.
pub fn declared(declaration: &Declaration) -> Vec<Event> {
    let pools = declaration.pools.iter().map(|(pool, spec)| Event::Pool {
        pool: pool.clone(),
        spec: spec.clone(),
    });
    let services = declaration.services.iter();
    let services = services.map(|(service, spec)| Event::Service {
        service: service.clone(),
        pool: spec.pool.clone(),
        needed: spec.budget.available,
    });
    pools.chain(services).collect()
}

/// A host as the shared state holds it; `None` if it isn't declared.
pub fn fact(state: &State, id: &HostId) -> Option<HostFact> {
    let host = state.hosts().get(id)?;
    let spec = state.configuration().declaration().hosts.get(id)?;
    let progress = |(wave, found): (WaveId, &state::Wave)| {
        found.hosts.get(id).map(|progress| (wave, *progress))
    };
    let of = |wanted: Progress| {
        let waves = state.waves().iter().filter_map(progress);
        waves.filter(|(_, progress)| *progress == wanted).last()
    };
    let wave = of(Progress::Stopped).or(of(Progress::Missing));
    let wants = Wants {
        wave: wave.map(|(wave, _)| wave),
        hold: host.intent == Intent::Drain,
        to: match &host.intent {
            Intent::Move { pool } => Some(pool.clone()),
            Intent::Serve | Intent::Drain => None,
        },
        preset: false,
    };
    Some(HostFact {
        host: id.clone(),
        pool: host.pool.clone(),
        rack: spec.rack.clone(),
        generation: host.generation,
        phase: phase(host.stage, &wants),
        wants,
        maintained: of(Progress::Maintained).map(|(wave, _)| wave),
    })
}

fn phase(stage: Stage, wants: &Wants) -> Phase {
    match stage {
        Stage::InService => Phase::InService,
        Stage::Cordoned if wants.is_asked() => Phase::Cordoned,
        Stage::Cordoned | Stage::Soaking => Phase::Soaking,
        Stage::Draining => Phase::Draining,
        Stage::Down => Phase::Down,
        Stage::Failed => Phase::Lost,
    }
}

/// What to propose for a decision, in this order; the next only once the last was accepted.
pub fn commands(state: &State, decision: &Decision) -> Vec<Proposal> {
    match decision {
        Decision::Host {
            host,
            generation,
            action,
        } => change(state, host, *generation, action),
        Decision::StartWave { pool } => {
            let (pool, expected) = (pool.clone(), state.configuration().version());
            vec![Proposal::Request(Request::StartWave { pool, expected })]
        }
        Decision::EndWave { wave, missing } => missing
            .iter()
            .filter_map(|host| advance(state, *wave, host, Progress::Skipped))
            .collect(),
        Decision::Report(report) => reported(state, report).into_iter().collect(),
    }
}

/// What to propose when the platform says that a host is up again. Its reply names the host's new
/// generation.
pub fn returned(state: &State, host: &HostId) -> Vec<Proposal> {
    let Some(found) = state.hosts().get(host) else {
        return Vec::new();
    };
    let path: &[Stage] = match found.stage {
        Stage::Down | Stage::Failed => &[Stage::Soaking],
        // It restarted before anyone noticed that it was gone.
        _ => &[Stage::Failed, Stage::Soaking],
    };
    enter(state, host, found.generation, path)
}

fn change(state: &State, id: &HostId, generation: Generation, action: &Action) -> Vec<Proposal> {
    let Some(host) = state.hosts().get(id) else {
        return Vec::new();
    };
    let stage = host.stage;
    let enter = |path: &[Stage]| enter(state, id, generation, path);
    let fresh = matches!(stage, Stage::InService | Stage::Soaking);
    match action {
        Action::Cordon => enter(&[Stage::Cordoned]),
        Action::Uncordon | Action::Serve => enter(&[Stage::InService]),
        Action::Drain { cause, .. } => {
            let mut path = enter(to_draining(stage));
            if let Cause::Wave(wave) = cause {
                path.extend(advance(state, *wave, id, Progress::Stopped));
            }
            path
        }
        Action::Park if fresh => enter(&[Stage::Cordoned]),
        Action::Reboot { .. } => {
            let mut path = enter(to_draining(stage));
            path.extend(enter(&[Stage::Down]));
            path
        }
        Action::HandOver { .. } => {
            let mut path = if fresh {
                enter(&[Stage::Cordoned])
            } else {
                Vec::new()
            };
            path.push(Proposal::Event(state::Event::HandOver {
                host: id.clone(),
                generation,
                under: version(state),
            }));
            path
        }
        Action::Return { maintained } => maintained
            .and_then(|wave| advance(state, wave, id, Progress::Maintained))
            .into_iter()
            .collect(),
        Action::MarkLost => enter(&[Stage::Failed]),
        Action::Aim { to } => vec![aim(state, id, Some(to.clone()))],
        Action::Recall => vec![aim(state, id, None)],
        Action::Park => Vec::new(),
    }
}

/// The way from a stage to draining.
fn to_draining(stage: Stage) -> &'static [Stage] {
    match stage {
        Stage::InService | Stage::Soaking => &[Stage::Cordoned, Stage::Draining],
        Stage::Cordoned => &[Stage::Draining],
        Stage::Draining | Stage::Down | Stage::Failed => &[],
    }
}

fn enter(state: &State, host: &HostId, generation: Generation, path: &[Stage]) -> Vec<Proposal> {
    let step = |stage: &Stage| {
        Proposal::Event(state::Event::HostStage {
            host: host.clone(),
            generation,
            stage: *stage,
            under: version(state),
        })
    };
    path.iter().map(step).collect()
}

fn aim(state: &State, host: &HostId, pool: Option<PoolId>) -> Proposal {
    Proposal::Event(state::Event::Aim {
        host: host.clone(),
        pool,
        under: version(state),
    })
}

/// A wave got further with a host, if it counts it at all: one that joined the pool since it began
/// is maintained all the same.
fn advance(state: &State, wave: WaveId, host: &HostId, progress: Progress) -> Option<Proposal> {
    let now = *state.waves().get(wave)?.hosts.get(host)?;
    let news = match progress {
        Progress::Stopped => now == Progress::Waiting,
        _ => !now.is_done(),
    };
    let host = host.clone();
    news.then_some(Proposal::Event(state::Event::WaveAdvance {
        wave,
        host,
        progress,
    }))
}

/// Pauses of a wave and missing hosts are kept by the shared state too.
fn reported(state: &State, report: &Report) -> Option<Proposal> {
    let loss = |wave: &WaveId, lost| {
        let wave = *wave;
        Proposal::Event(state::Event::WaveLoss { wave, lost })
    };
    match report {
        Report::Paused { wave, .. } => Some(loss(wave, true)),
        Report::Resumed { wave } => Some(loss(wave, false)),
        Report::Late { host, .. } => {
            let stopped = |(_, wave): &(WaveId, &state::Wave)| {
                wave.hosts.get(host) == Some(&Progress::Stopped)
            };
            let (wave, _) = state.waves().iter().find(stopped)?;
            advance(state, wave, host, Progress::Missing)
        }
        Report::Blocked { .. } | Report::Overdue { .. } => None,
    }
}

fn version(state: &State) -> Version {
    state.configuration().version()
}
