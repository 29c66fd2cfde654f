//! The minions that nodes hear of, as far as budgets are concerned.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::core::{
    dispatch::Announcement,
    fleet::pool::Event as Fact,
    types::{MinionId, Now, ServiceId},
};

/// A minion that wasn't heard for this long is unconfirmed. It announces itself every second, to
/// one node, which tells the leader twice a second.
const SILENT: Duration = Duration::from_secs(4);
/// A minion that wasn't heard for this long is forgotten.
const GONE: Duration = Duration::from_secs(600);

/// When each minion was last heard.
#[derive(Debug, Default)]
pub(super) struct Minions(BTreeMap<MinionId, Heard>);

#[derive(Debug)]
struct Heard {
    service: ServiceId,
    boot: u64,
    sequence: u64,
    at: Now,
    doubted: bool,
}

impl Minions {
    /// Takes an announcement in, unless a newer one was heard; the fact that follows from it.
    pub(super) fn heard(&mut self, now: Now, said: &Announcement) -> Option<Fact> {
        let minion = said.minion.clone();
        let heard = self.0.get(&minion);
        if heard.is_some_and(|heard| (heard.boot, heard.sequence) >= (said.boot, said.sequence)) {
            return None;
        }
        let heard = Heard {
            service: said.service.clone(),
            boot: said.boot,
            sequence: said.sequence,
            at: now,
            doubted: said.leaving,
        };
        self.0.insert(minion.clone(), heard);
        Some(if said.leaving {
            Fact::MinionDoubted(minion)
        } else {
            let (service, host) = (said.service.clone(), said.host.clone());
            Fact::Minion {
                minion,
                service,
                host,
            }
        })
    }

    /// The facts that follow from silence.
    pub(super) fn silent(&mut self, now: Now) -> Vec<Fact> {
        let mut facts = Vec::new();
        for (minion, heard) in &mut self.0 {
            if !heard.doubted && now >= heard.at + SILENT {
                heard.doubted = true;
                facts.push(Fact::MinionDoubted(minion.clone()));
            }
        }
        let gone = self.0.extract_if(.., |_, heard| now >= heard.at + GONE);
        facts.extend(gone.map(|(minion, _)| Fact::MinionGone(minion)));
        facts
    }

    /// The services that have minions.
    pub(super) fn services(&self) -> BTreeSet<ServiceId> {
        self.0.values().map(|heard| heard.service.clone()).collect()
    }
}
