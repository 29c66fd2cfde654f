//! The replicated table of claims.
//!
//! The table is deterministic: it depends only on the operations applied to it and their order.
//! Each operation carries the leader's time. The table's clock never goes back: an operation with
//! an earlier time than one before it is applied at the time of that one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{
    dispatch::ClaimAnswer,
    types::{Key, ServiceId, Wall},
};

use super::{Claim, Holder, MAX_KEY_BYTES, Terms};

/// All claims of the firm, by service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Table {
    clock: Wall,
    services: BTreeMap<ServiceId, ServiceKeys>,
}

/// The claims of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(from = "BTreeMap<Key, Grant>", into = "BTreeMap<Key, Grant>")]
struct ServiceKeys {
    grants: BTreeMap<Key, Grant>,
    /// When each key expires; rebuilt from the grants of a snapshot.
    expiries: BTreeSet<(Wall, Key)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
struct Grant {
    holder: Holder,
    /// Until this time another send of the key is told to wait: the request may still be running
    /// if it was sent within its window.
    #[serde(rename = "busy")]
    busy_until: Wall,
    /// When the key is removed.
    #[serde(rename = "end")]
    expires_at: Wall,
    /// The holder reported that the request ran or may have run.
    settled: bool,
}

impl Table {
    /// Claims a key for a holder.
    ///
    /// The answer to a repeated claim of a holder that has not settled is [`ClaimAnswer::Granted`]
    /// again; the repetition doesn't change the claim's time.
    pub fn claim(&mut self, at: Wall, terms: &Terms, claim: &Claim) -> ClaimAnswer {
        let now = self.advance_clock(at);
        let keys = self.services.entry(claim.service.clone()).or_default();
        keys.remove_expired(now);
        let answer = keys.claim(now, terms, claim.holder, &claim.key);
        self.remove_if_empty(&claim.service);
        answer
    }

    /// Ends a claim. The key becomes spent if the request `ran` or may have run, and free if it
    /// provably didn't run. Changes nothing if the holder doesn't hold the key.
    pub fn settle(&mut self, at: Wall, terms: &Terms, claim: &Claim, ran: bool) {
        let now = self.advance_clock(at);
        if let Some(keys) = self.services.get_mut(&claim.service) {
            keys.remove_expired(now);
            keys.settle(terms, claim.holder, &claim.key, ran);
        }
        self.remove_if_empty(&claim.service);
    }

    /// Removes expired keys.
    pub fn expire(&mut self, at: Wall) {
        let now = self.advance_clock(at);
        self.services.retain(|_, keys| {
            keys.remove_expired(now);
            !keys.grants.is_empty()
        });
    }

    /// When the next key expires.
    pub fn next_expiry(&self) -> Option<Wall> {
        let expiries = self
            .services
            .values()
            .filter_map(|keys| keys.expiries.first());
        expiries.map(|(expires_at, _)| *expires_at).min()
    }

    /// Number of keys in the table for a service.
    pub fn len(&self, service: &ServiceId) -> usize {
        let keys = self.services.get(service);
        keys.map_or(0, |keys| keys.grants.len())
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    fn advance_clock(&mut self, at: Wall) -> Wall {
        self.clock = self.clock.max(at);
        self.clock
    }

    fn remove_if_empty(&mut self, service: &ServiceId) {
        if self.len(service) == 0 {
            self.services.remove(service);
        }
    }
}

impl ServiceKeys {
    fn claim(&mut self, now: Wall, terms: &Terms, holder: Holder, key: &Key) -> ClaimAnswer {
        if let Some(grant) = self.grants.get(key) {
            let answer = grant.answer(now, holder);
            let is_stale = answer == ClaimAnswer::Spent && !grant.settled;
            if !is_stale || terms.protections.spend_stale {
                return answer;
            }
            self.remove(key);
        }
        if key.len() > MAX_KEY_BYTES || self.grants.len() >= terms.max_keys as usize {
            return ClaimAnswer::Full;
        }
        let grant = Grant::new(now, terms, holder);
        self.expiries.insert((grant.expires_at, key.clone()));
        self.grants.insert(key.clone(), grant);
        ClaimAnswer::Granted
    }

    fn settle(&mut self, terms: &Terms, holder: Holder, key: &Key, ran: bool) {
        let Some(grant) = self.grants.get_mut(key) else {
            return;
        };
        if terms.protections.holder_only && grant.holder != holder {
            return;
        }
        if ran {
            grant.settled = true;
        } else if !grant.settled {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: &Key) {
        if let Some(grant) = self.grants.remove(key) {
            self.expiries.remove(&(grant.expires_at, key.clone()));
        }
    }

    fn remove_expired(&mut self, now: Wall) {
        while self
            .expiries
            .first()
            .is_some_and(|(expires_at, _)| *expires_at <= now)
        {
            if let Some((_, key)) = self.expiries.pop_first() {
                self.grants.remove(&key);
            }
        }
    }
}

impl Grant {
    fn new(now: Wall, terms: &Terms, holder: Holder) -> Self {
        let busy = terms.window.saturating_add(terms.max_run);
        Self {
            holder,
            busy_until: now.saturating_add(busy),
            expires_at: now.saturating_add(terms.retention),
            settled: false,
        }
    }

    fn answer(&self, now: Wall, holder: Holder) -> ClaimAnswer {
        let after = self.busy_until.saturating_sub(now);
        if self.settled {
            ClaimAnswer::Spent
        } else if self.holder == holder {
            ClaimAnswer::Granted
        } else if after > Duration::ZERO {
            ClaimAnswer::Busy { after }
        } else {
            ClaimAnswer::Spent
        }
    }
}

impl From<BTreeMap<Key, Grant>> for ServiceKeys {
    fn from(grants: BTreeMap<Key, Grant>) -> Self {
        let expiries = grants
            .iter()
            .map(|(key, grant)| (grant.expires_at, key.clone()))
            .collect();
        Self { grants, expiries }
    }
}

impl From<ServiceKeys> for BTreeMap<Key, Grant> {
    fn from(keys: ServiceKeys) -> Self {
        keys.grants
    }
}
