//! The operators' HTTP interface: operations, views, metrics and readiness.
//!
//! Requests are read by the server of all listeners, within the node's budget, so that nobody who keeps
//! back the end of a request holds up others. Operators are few, so a handful of whole requests at a time
//! are answered by blocking handlers on threads of the runtime.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;
use serde_json::json;
use tokio::{
    net::TcpListener,
    runtime::Handle,
    sync::{Semaphore, watch},
    task::spawn_blocking,
};

use super::{
    clock::{Clock, wall},
    control::{AskError, Control, View},
    fleet::Insight,
};
use crate::{
    adapters::{
        budget::Budget,
        callers::Recall,
        http::{self, Limits, Listening, Replied},
        mesh::Mesh,
        metrics::Metrics,
    },
    api::{
        self, Failure, Operation, Route, Trouble,
        view::{self, Explanation, Local, Measures, NodeStatus, Plan, Proposal, Status},
    },
    core::{
        activation::Acting,
        state::{Body, Reply},
        types::{DataCentreId, Name, NodeId, PresetId},
    },
    settings::SettingsError,
};

/// Requests that are answered at a time.
const THREADS: usize = 4;
/// The largest body, in bytes: a declaration of a large fleet.
const LARGEST: usize = 32 << 20;
/// How long a command may take to be committed.
const PATIENCE: Duration = Duration::from_secs(10);

/// What the interface speaks to.
pub(crate) struct Ports {
    /// What all listeners of this node share.
    pub(crate) budget: Budget,
    /// This node.
    pub(crate) node: NodeId,
    /// This node's data centre.
    pub(crate) data_centre: DataCentreId,
    /// The nodes that settings name.
    pub(crate) nodes: Arc<[(NodeId, DataCentreId)]>,
    /// The control task.
    pub(crate) control: Control,
    /// The mesh, for its faults.
    pub(crate) mesh: Arc<Mesh>,
    /// Counters and gauges.
    pub(crate) metrics: Arc<Metrics>,
    /// The clock that all tasks of this node share.
    pub(crate) clock: Clock,
    /// Whether this node is stopping.
    pub(crate) stopping: Arc<AtomicBool>,
    /// What the leader's decisions say of themselves.
    pub(crate) insight: Insight,
    /// The requests that weren't answered.
    pub(crate) recall: Arc<Recall>,
    /// Whether faults may be caused.
    pub(crate) trial: bool,
    /// Where to wait for the control task.
    pub(crate) runtime: Handle,
}

/// The running interface. It ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    _stop: watch::Sender<bool>,
}

impl Server {
    /// Starts to serve.
    pub(crate) fn start(listener: TcpListener, ports: Ports) -> Self {
        let (stop, stopped) = watch::channel(false);
        let limits = Limits {
            body: LARGEST,
            ..Limits::default()
        };
        ports.budget.fit(limits.largest_request());
        let listening = Listening::new(ports.budget.clone(), move || limits);
        let (ports, threads) = (Arc::new(ports), Arc::new(Semaphore::new(THREADS)));
        let handler = move |request| serve(request, Arc::clone(&ports), Arc::clone(&threads));
        tokio::spawn(http::serve_within(listener, listening, stopped, handler));
        Self { _stop: stop }
    }
}

/// A status and a body.
struct Answer {
    status: u16,
    kind: &'static str,
    body: String,
}

impl Answer {
    fn json(status: u16, body: &impl Serialize) -> Self {
        Self {
            status,
            kind: "application/json",
            body: serde_json::to_string(body).unwrap_or_else(|error| error.to_string()),
        }
    }

    fn failure(failure: &Failure) -> Self {
        Self::json(failure.trouble.status(), failure)
    }

    fn trouble(trouble: Trouble, message: impl Into<String>) -> Self {
        Self::failure(&Failure::new(trouble, message))
    }
}

async fn serve(request: Request<Bytes>, ports: Arc<Ports>, threads: Arc<Semaphore>) -> Replied {
    let thread = threads.acquire_owned().await.map_err(io::Error::other)?;
    let answered = spawn_blocking(move || {
        let answered = answer(&request, &ports).unwrap_or_else(|answer| answer);
        drop(thread);
        answered
    });
    let answer = answered.await.map_err(io::Error::other)?;
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    let status = StatusCode::from_u16(answer.status);
    *response.status_mut() = status.map_err(io::Error::other)?;
    let kind = HeaderValue::from_static(answer.kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

fn answer(request: &Request<Bytes>, ports: &Ports) -> Result<Answer, Answer> {
    let (path, body) = (request.uri().path(), request.body());
    match (request.method(), path) {
        (&Method::GET, "/metrics") => metrics(ports),
        (&Method::GET, "/ready") => Ok(ready(ports)),
        (&Method::GET, "/v1/node") => node(ports),
        (&Method::POST, "/v1/voters") => voters(body, ports),
        (&Method::POST, "/v1/trial/cut") if ports.trial => cut(body, ports),
        (&Method::POST, _) => match Route::parse(path) {
            Some(Route::Operations) => operation(body, ports),
            Some(Route::Plan) => plan(body, ports),
            _ => Err(unknown(path)),
        },
        (&Method::GET, _) => match Route::parse(path) {
            Some(route @ (Route::ExplainJob(_) | Route::ExplainHost(_))) => explain(&route, ports),
            Some(Route::ExplainRequest(id)) => recalled(id, ports),
            Some(route) => look(route, ports),
            None => Err(unknown(path)),
        },
        _ => Err(unknown(path)),
    }
}

fn unknown(path: &str) -> Answer {
    Answer::trouble(Trouble::NotFound, format!("there is no such route: {path}"))
}

fn stopping() -> Answer {
    Answer::trouble(Trouble::Unavailable, "this node is stopping; ask another")
}

fn parse<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Result<T, Answer> {
    serde_json::from_slice(body)
        .map_err(|error| Answer::trouble(Trouble::BadRequest, error.to_string()))
}

/// The metrics, with the gauges that are read from the state when they are asked for.
fn metrics(ports: &Ports) -> Result<Answer, Answer> {
    let (node, data_centre) = (ports.node, ports.data_centre.clone());
    let looked = ports.control.look(move |view| {
        let local = local(view, node, &data_centre, &[]);
        let presets = &view.state.configuration().declaration().presets;
        (
            Status::of(view.state, &local),
            presets.keys().cloned().collect::<Vec<_>>(),
        )
    });
    let (status, presets) = ports.runtime.block_on(looked).ok_or_else(stopping)?;
    show(&ports.metrics, &status, &presets);
    Ok(Answer {
        status: 200,
        kind: "application/openmetrics-text; version=1.0.0; charset=utf-8",
        body: ports.metrics.render().unwrap_or_default(),
    })
}

fn show(metrics: &Metrics, status: &Status, presets: &[PresetId]) {
    metrics.queued.set(gauge(status.waiting));
    metrics.running.set(gauge(status.running));
    metrics.unresolved.set(gauge(status.unresolved));
    let used = status.in_force.and(status.preset.as_ref());
    metrics.preset.clear();
    for preset in presets {
        metrics.preset.set(preset, i64::from(used == Some(preset)));
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn ready(ports: &Ports) -> Answer {
    let ready = !ports.stopping.load(Ordering::Relaxed);
    Answer::json(if ready { 200 } else { 503 }, &json!({ "ready": ready }))
}

fn look(route: Route, ports: &Ports) -> Result<Answer, Answer> {
    let (node, data_centre) = (ports.node, ports.data_centre.clone());
    let (nodes, moves) = (Arc::clone(&ports.nodes), ports.metrics.moves.get());
    // Asked aside, so that the control task never waits for the fleet's decisions.
    let services = ports.insight.services();
    let buffer = ports.insight.buffer();
    let looked = ports.control.look(move |view| {
        let mut local = local(view, node, &data_centre, &nodes);
        local.services = services;
        local.measures.buffer = buffer;
        local.measures.moves = view.leads.then_some(moves);
        view::read(view.state, &local, &route)
    });
    let found = ports.runtime.block_on(looked).ok_or_else(stopping)?;
    found
        .map(|found| Answer::json(200, &found))
        .map_err(|failure| Answer::failure(&failure))
}

/// Why a host or a job isn't where it should be: what the state says, and what the leader's
/// decisions add to it.
fn explain(route: &Route, ports: &Ports) -> Result<Answer, Answer> {
    let asked = route.clone();
    let looked = ports.control.look(move |view| match &asked {
        Route::ExplainJob(job) => Explanation::of_job(view.state, *job),
        Route::ExplainHost(host) => Explanation::of_host(view.state, host),
        _ => None,
    });
    let told = ports.runtime.block_on(looked).ok_or_else(stopping)?;
    let told = told.ok_or_else(|| unknown(&route.to_string()))?;
    let now = ports.clock.now();
    let told = match route {
        Route::ExplainJob(job) => ports.insight.job(told, *job),
        Route::ExplainHost(host) => ports.insight.host(told, host, now),
        _ => told,
    };
    Ok(Answer::json(200, &told))
}

/// Why a request that this node ended wasn't answered.
fn recalled(id: Name, ports: &Ports) -> Result<Answer, Answer> {
    let Some(ended) = ports.recall.find(&id) else {
        // The state doesn't know requests; it says where to ask.
        return look(Route::ExplainRequest(id), ports);
    };
    let service = ended.service.as_deref().unwrap_or("of no name");
    let group = ended.group.as_deref().unwrap_or("of no name");
    let ago = wall().saturating_sub(ended.at);
    let told = Explanation::of_request(&ended.id, &ended.outcome)
        .fact(
            "when",
            format!(
                "it ended {} s ago, at {} ms since the Unix epoch, on node {}",
                ago.as_secs(),
                api::millis(ended.at),
                ports.node
            ),
        )
        .fact("service", format!("service {service}, group {group}"))
        .fact(
            "version",
            format!("decided under configuration {}", ended.version),
        )
        .fact(
            "retries",
            format!("{} attempts followed the first", ended.retries),
        );
    Ok(Answer::json(200, &told))
}

fn local(
    view: &View<'_>,
    node: NodeId,
    data_centre: &DataCentreId,
    nodes: &[(NodeId, DataCentreId)],
) -> Local {
    let acts = |node| {
        let holder = view.holders.iter().find(|(holder, _)| *holder == node);
        holder.map(|(_, version)| *version)
    };
    let nodes = nodes.iter().filter(|_| view.leads);
    Local {
        node,
        data_centre: data_centre.to_string(),
        leader: view.leader,
        cut_off: matches!(view.acting, Acting::CutOff(_)),
        nodes: nodes
            .map(|(node, data_centre)| NodeStatus {
                node: *node,
                data_centre: data_centre.clone(),
                voter: view.voters.contains(node),
                acts: acts(*node),
            })
            .collect(),
        services: Vec::new(),
        measures: Measures {
            buffer: None,
            rollout: view.rollout.map(api::millis),
            moves: None,
        },
    }
}

/// What one node knows of the shared log, for those who look after it.
fn node(ports: &Ports) -> Result<Answer, Answer> {
    let node = ports.node;
    let looked = ports.control.look(move |view| {
        let acting = match view.acting {
            Acting::Under { version, preset } => view::Acting::Under {
                version: *version,
                preset: preset.clone(),
            },
            Acting::CutOff(why) => view::Acting::CutOff {
                cut_off: why.label().into(),
            },
        };
        view::Node {
            node,
            leader: view.leader,
            leads: view.leads,
            term: view.term,
            committed: view.committed,
            applied: view.state.applied(),
            digest: format!("{:016x}", view.state.digest()),
            voters: view.voters.to_vec(),
            acting,
            waiting: view.waiting.iter().map(|(node, _)| *node).collect(),
            disk_full: view.full,
        }
    });
    let node = ports.runtime.block_on(looked).ok_or_else(stopping)?;
    Ok(Answer::json(200, &node))
}

fn operation(body: &[u8], ports: &Ports) -> Result<Answer, Answer> {
    let operation: Operation = parse(body)?;
    let request = operation
        .change
        .request()
        .map_err(|error| invalid(&error))?;
    let id = operation.operation;
    let body = Body::Operator {
        operation: id.clone(),
        request,
    };
    let until = ports.clock.now() + PATIENCE;
    match ports.runtime.block_on(ports.control.ask(body, until)) {
        Ok(reply) => Ok(replied(ports, &api::Answer::new(id, reply))),
        Err(error) => {
            let trouble = match error {
                AskError::Unknown => Trouble::Pending,
                _ => Trouble::Unavailable,
            };
            Err(Answer::trouble(trouble, error.to_string()))
        }
    }
}

fn replied(ports: &Ports, answer: &api::Answer) -> Answer {
    if matches!(answer.reply, Reply::Refused(_)) {
        ports.metrics.refused.inc();
    }
    Answer::json(api::status(&answer.reply), answer)
}

fn invalid(error: &SettingsError) -> Answer {
    Answer::trouble(Trouble::Invalid, error.to_string())
}

fn plan(body: &[u8], ports: &Ports) -> Result<Answer, Answer> {
    let proposal: Proposal = parse(body)?;
    let next = proposal.declaration().map_err(|error| invalid(&error))?;
    let (next, preset) = (next.map(Arc::new), proposal.preset);
    let looked = {
        let (next, preset) = (next.clone(), preset.clone());
        ports.control.look(move |view| {
            let standing = view.state.configuration().declaration();
            let next = next.as_deref().unwrap_or(standing);
            if let Some(preset) = preset.as_ref().filter(|p| !next.presets.contains_key(*p)) {
                return Err(no_preset(preset));
            }
            let mut plan = Plan::of(view.state, next, preset.as_ref());
            plan.leader = view.leader;
            Ok(plan)
        })
    };
    let mut plan = ports.runtime.block_on(looked).ok_or_else(stopping)??;
    // Asked aside, as the services of the status are.
    plan.forecast = ports
        .insight
        .forecast(next.as_deref(), plan.preset.as_ref());
    Ok(Answer::json(200, &plan))
}

fn no_preset(preset: &PresetId) -> Answer {
    let message = format!("there is no preset {preset:?} in the declaration; nothing was planned");
    Answer::trouble(Trouble::Invalid, message)
}

/// Changes the voters by one added or one removed, through the node that leads.
fn voters(body: &[u8], ports: &Ports) -> Result<Answer, Answer> {
    let voters: Vec<NodeId> = parse(body)?;
    if ports.runtime.block_on(ports.control.reconfigure(voters)) {
        return Ok(Answer::json(200, &view::Placed { placed: true }));
    }
    let message = "nothing was changed: this node doesn't lead, another change is under way, or \
                   more than one voter would change; ask the leader for one change at a time";
    Err(Answer::trouble(Trouble::Unavailable, message))
}

fn cut(body: &[u8], ports: &Ports) -> Result<Answer, Answer> {
    let nodes: Vec<NodeId> = parse(body)?;
    ports.mesh.faults().cut(nodes);
    Ok(Answer::json(200, &json!({})))
}
