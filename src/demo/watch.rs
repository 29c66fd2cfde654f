//! Looks at what each node acts under, and what may be concluded from them.
//!
//! A look is sent at one time and answered at a later one, so that it says only that the node
//! acted so at some moment between the two. Two looks of one node with the same answer, and no
//! other between them, prove more: from the end of the first to the beginning of the second it
//! acted so throughout. Two nodes clash if such stretches of different configurations overlap,
//! or if a look lies whole within one. What can't be proved isn't counted, so that a slow look is
//! never taken for a broken promise.

use std::{collections::BTreeMap, future::Future, time::Duration};

use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{
    cluster::{NODES, Network},
    operators::{self, Acting, NodePage},
};
use crate::core::types::{NodeId, Now, Version};

/// The pause between two looks at a node.
const PAUSE: Duration = Duration::from_millis(15);

/// One look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The node.
    pub node: NodeId,
    /// When it was asked.
    pub asked: Now,
    /// When it had answered.
    pub told: Now,
    /// The configuration that it acts under; `None` if under none.
    pub version: Option<Version>,
}

/// A stretch of time in which a node surely acted under one configuration.
#[derive(Clone, Copy, Debug)]
struct Stretch {
    node: NodeId,
    version: Version,
    from: Now,
    to: Now,
}

impl Stretch {
    fn clashes(&self, other: &Self) -> bool {
        let differs = self.node != other.node && self.version != other.version;
        differs && self.from <= other.to && other.from <= self.to
    }
}

/// How often two nodes provably acted under different configurations at once. Samples of one node
/// are in order.
pub fn clashes(samples: &[Sample]) -> u64 {
    let stretches = stretches(samples);
    let mut count = 0;
    for (at, one) in stretches.iter().enumerate() {
        let later = &stretches[at + 1..];
        count += later.iter().filter(|other| one.clashes(other)).count();
    }
    count as u64
}

/// How often a node went back to an older configuration. Samples of one node are in order.
pub fn reversions(samples: &[Sample]) -> u64 {
    let mut newest = BTreeMap::<NodeId, Version>::new();
    let mut count = 0;
    for sample in samples {
        let Some(version) = sample.version else {
            continue;
        };
        let seen = newest.entry(sample.node).or_insert(version);
        count += u64::from(version < *seen);
        *seen = version;
    }
    count
}

fn stretches(samples: &[Sample]) -> Vec<Stretch> {
    let mut open = BTreeMap::<NodeId, Stretch>::new();
    let mut all = Vec::new();
    for sample in samples {
        let known = open.get_mut(&sample.node);
        if let Some(stretch) = known.filter(|known| Some(known.version) == sample.version) {
            stretch.to = sample.asked;
            continue;
        }
        all.extend(open.remove(&sample.node));
        let Some(version) = sample.version else {
            continue;
        };
        let stretch = Stretch {
            node: sample.node,
            version,
            from: sample.told,
            to: sample.asked,
        };
        open.insert(sample.node, stretch);
    }
    all.extend(open.into_values());
    // One look proves no stretch.
    all.retain(|stretch| stretch.from <= stretch.to);
    all
}

/// Looks at all nodes until dropped.
#[derive(Debug)]
pub(super) struct Watch {
    samples: mpsc::UnboundedReceiver<Sample>,
    seen: Vec<Sample>,
    began: Instant,
    _stop: watch::Sender<()>,
}

impl Watch {
    /// Begins to look.
    pub(super) fn start(network: Network) -> Self {
        let began = Instant::now();
        let (stop, stopped) = watch::channel(());
        let (sender, samples) = mpsc::unbounded_channel();
        let mut lookers = JoinSet::new();
        for node in NODES {
            lookers.spawn(look(network, node, began, sender.clone()));
        }
        tokio::spawn(until_closed(stopped, async move {
            while lookers.join_next().await.is_some() {}
        }));
        Self {
            samples,
            seen: Vec::new(),
            began,
            _stop: stop,
        }
    }

    /// Now, as samples count it.
    pub(super) fn now(&self) -> Now {
        self.began.elapsed()
    }

    /// All looks so far.
    pub(super) fn seen(&mut self) -> &[Sample] {
        while let Ok(sample) = self.samples.try_recv() {
            self.seen.push(sample);
        }
        &self.seen
    }

    /// When the last of some nodes was first seen acting under a configuration; `None` if one of
    /// them wasn't yet.
    pub(super) fn reached(&mut self, version: Version, nodes: &[NodeId]) -> Option<Now> {
        let seen = self.seen();
        let first = |node: &NodeId| {
            let found = |s: &&Sample| s.node == *node && s.version >= Some(version);
            Some(seen.iter().find(found)?.told)
        };
        let times: Option<Vec<_>> = nodes.iter().map(first).collect();
        times?.into_iter().max()
    }
}

/// Runs a future until a channel is closed.
async fn until_closed(mut stopped: watch::Receiver<()>, work: impl Future<Output = ()>) {
    tokio::select! {
        _ = stopped.changed() => {}
        () = work => {}
    }
}

async fn look(
    network: Network,
    node: NodeId,
    began: Instant,
    samples: mpsc::UnboundedSender<Sample>,
) {
    let address = network.operators(node);
    loop {
        let asked = began.elapsed();
        let page: Result<NodePage, _> = operators::get(address, "/v1/node").await;
        let told = began.elapsed();
        let version = match page {
            Ok(page) => match page.acting {
                Acting::Under { version, .. } => Some(version),
                Acting::CutOff { .. } => None,
            },
            Err(_) => None,
        };
        let sample = Sample {
            node,
            asked,
            told,
            version,
        };
        if samples.send(sample).is_err() {
            return;
        }
        sleep(PAUSE).await;
    }
}
