//! Replies and refusals in words: what happened, and what to do next.

use crate::core::state::{Change, Kind, Refusal, Reply};

/// A reply in words.
pub fn reply(reply: &Reply) -> String {
    match reply {
        Reply::Configured { version } => format!("accepted as configuration {version}"),
        Reply::WaveStarted { wave } => format!("wave {wave} started"),
        Reply::JobAccepted { job } => format!("job {job} accepted"),
        Reply::StartGranted { attempt } => format!("attempt {attempt} may start"),
        Reply::HostRenewed { generation } => format!("the host has generation {generation}"),
        Reply::Claimed { .. } => String::from("the claim of the key was decided"),
        Reply::Noted => String::from("noted"),
        Reply::Refused(why) => refusal(why),
    }
}

/// A refusal in words.
pub fn refusal(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Stale { change } => stale(change),
        Refusal::OperationReused => {
            String::from("this operation id was used for a different request; use a new one")
        }
        Refusal::OperationsFull => {
            String::from("too many operations are remembered; try again in an hour")
        }
        Refusal::PresetUnnamed => {
            String::from("the declaration has several presets; name the first one with --preset")
        }
        Refusal::NoPreset { preset } => missing("preset", preset, "preset list"),
        Refusal::NoPool { pool } => missing("pool", pool, "pool list"),
        Refusal::NoService { service } => missing("service", service, "status"),
        Refusal::NoTeam { team } => format!("no team {team:?} is declared"),
        Refusal::NoHost { host } => missing("host", host, "host list"),
        Refusal::NoWave { wave } => format!("there is no wave {wave}; see `egretpin wave status`"),
        Refusal::NoJob { job } => format!("there is no job {job}, or it ended long ago"),
        Refusal::NoNode { node } => format!("there is no node {node}"),
        _ => in_use(refusal),
    }
}

fn in_use(refusal: &Refusal) -> String {
    match refusal {
        Refusal::PoolInUse { pool, host } => {
            format!("pool {pool:?} still has host {host:?}; move it first")
        }
        Refusal::ServiceInUse { service, job } => {
            format!("service {service:?} still has job {job}; cancel it or wait for its end")
        }
        Refusal::TeamInUse { team, job } => {
            format!("team {team:?} still has job {job}; cancel it or wait for its end")
        }
        Refusal::HostBusy { host, job } => {
            format!("job {job} holds host {host:?}; drain the host first")
        }
        Refusal::HostInService { host, stage } => {
            format!("host {host:?} is still {stage:?}; drain it before you drop it")
        }
        Refusal::WaveRunning { wave } => {
            format!("wave {wave} of this pool hasn't ended; see it with `egretpin wave status`")
        }
        Refusal::WavePaused => String::from("the wave is paused or has ended"),
        Refusal::WrongProgress => String::from("the wave is further with this host, or without it"),
        Refusal::NotInForce {
            version: Some(version),
        } => {
            format!("configuration {version} is in force, another was meant")
        }
        Refusal::NotInForce { version: None } => {
            String::from("a change of configuration is being rolled out; try again after it")
        }
        Refusal::Superseded { version } => format!("configuration {version} is newer"),
        _ => about_work(refusal),
    }
}

fn about_work(refusal: &Refusal) -> String {
    match refusal {
        Refusal::StaleGeneration { generation } => {
            format!("the host has changed hands or come back; its generation is {generation}")
        }
        Refusal::WrongStage { stage } => format!("the host is {stage:?}, which forbids this"),
        Refusal::NotMoving => String::from("the host isn't meant to move"),
        Refusal::WrongPool { pool } => format!("the host belongs to pool {pool:?}"),
        Refusal::JobLive { attempt } => format!("attempt {attempt} of the job is live"),
        Refusal::JobEnded => String::from("the job has ended"),
        Refusal::MayHaveBegun { attempt } => format!(
            "attempt {attempt} may have begun and the job may not run twice; resolve it with \
             `egretpin job resolve`"
        ),
        Refusal::WrongAttempt { attempt } => {
            format!("attempt {attempt} is the one that stands; look again before you decide")
        }
        Refusal::Begun => String::from("the attempt has begun before"),
        Refusal::Resolved => String::from("no attempt of the job is unresolved"),
        Refusal::OverQuota => String::from("the job needs more than its team's quota leaves"),
        Refusal::Retired { node } => {
            format!("node {node} left for good; bring the host in under a new id")
        }
        other => format!("{other:?}"),
    }
}

fn stale(change: &Change) -> String {
    let by = change.operation.as_deref().unwrap_or("nobody");
    let what = match change.kind {
        Some(Kind::Apply) => "an apply",
        Some(Kind::UsePreset) => "a change of preset",
        _ => "no change",
    };
    format!(
        "another change came first: configuration {} stands, made by {what} (operation {by}); look \
         at it and make yours again",
        change.version
    )
}

fn missing(what: &str, name: &str, list: &str) -> String {
    format!("there is no {what} {name:?}; see `egretpin {list}`")
}
