//! What operators read, made from the state.

mod explain;
mod fleet;
mod history;
mod jobs;
mod plan;
mod reason;
mod status;

pub use self::{
    explain::{Explanation, Fact},
    fleet::{Host, Hosts, Pool, Pools, Preset, Presets, Wave, Waves},
    history::{Entry, History},
    jobs::{Job, Jobs},
    plan::{Difference, Fit, Plan, Proposal, Transfer, What},
    status::{Local, Measures, NodeStatus, ServiceStatus, Status},
};

use serde::Serialize;
use serde_json::Value;

use super::{Failure, Route, Trouble};
use crate::core::state::State;

/// Answers a route that reads. What only the daemon knows, requests above all, it answers itself.
///
/// # Errors
///
/// [`Trouble::NotFound`] for what isn't there and for a route that doesn't read the state.
pub fn read(state: &State, local: &Local, route: &Route) -> Result<Value, Failure> {
    let found = match route {
        Route::Status => value(&Status::of(state, local)),
        Route::Presets => value(&Presets::of(state)),
        Route::Pools => value(&Pools::of(state)),
        Route::Pool(pool) => Hosts::of_pool(state, pool).and_then(|v| value(&v)),
        Route::Hosts => value(&Hosts::of(state)),
        Route::Waves => value(&Waves::of(state)),
        Route::Jobs => value(&Jobs::of(state)),
        Route::Job(job) => Job::of(state, *job).and_then(|v| value(&v)),
        Route::History => value(&History::of(state)),
        Route::Operation(id) => History::answer(state, id).and_then(|v| value(&v)),
        Route::ExplainHost(host) => Explanation::of_host(state, host).and_then(|v| value(&v)),
        Route::ExplainJob(job) => Explanation::of_job(state, *job).and_then(|v| value(&v)),
        Route::ExplainRequest(_) | Route::Operations | Route::Plan => None,
    };
    found.ok_or_else(|| Failure::new(Trouble::NotFound, missing(route)))
}

/// Why a route has nothing to show, and what to do.
fn missing(route: &Route) -> String {
    match route {
        Route::Pool(pool) => format!("there is no pool {pool:?}; see `egretpin pool list`"),
        Route::ExplainHost(host) => format!("there is no host {host:?}; see `egretpin host list`"),
        Route::Job(job) | Route::ExplainJob(job) => {
            format!("there is no job {job}, or it ended long ago")
        }
        Route::Operation(id) => format!(
            "operation {id} hasn't taken effect here; if it was sent within a day, send it again"
        ),
        Route::ExplainRequest(id) => format!(
            "request {id} isn't remembered here; ask the entry host that answered it, within a \
             few minutes"
        ),
        _ => format!("there is nothing to read at {route}"),
    }
}

fn value(view: &impl Serialize) -> Option<Value> {
    serde_json::to_value(view).ok()
}
