//! The committed configuration, and the one in force.
//!
//! A change of declaration or preset commits a new [`Configuration`]; from then on the earlier
//! one is no longer in force and planned work stops. It comes into force when activation has
//! heard of every node. A change committed meanwhile supersedes it, and it never is in force.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    command::Kind,
    reply::{Change, Refusal, Reply},
};
use crate::core::{
    declaration::{Declaration, PresetSpec},
    types::{OperationId, PresetId, Version},
};

/// The newest committed configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Configuration {
    version: Version,
    preset: Option<PresetId>,
    declaration: Arc<Declaration>,
    operation: Option<OperationId>,
    kind: Option<Kind>,
    active: Version,
}

/// What a new configuration consists of.
pub(super) struct Next {
    pub(super) version: Version,
    pub(super) preset: PresetId,
    pub(super) declaration: Arc<Declaration>,
    pub(super) operation: OperationId,
    pub(super) kind: Kind,
}

impl Configuration {
    /// Its version, the index of the change; zero before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Its preset; `None` before the first.
    pub fn preset(&self) -> Option<&PresetId> {
        self.preset.as_ref()
    }

    /// The settings of its preset; `None` before the first.
    pub fn spec(&self) -> Option<&PresetSpec> {
        self.declaration.presets.get(self.preset.as_ref()?)
    }

    /// The fleet as declared.
    pub fn declaration(&self) -> &Arc<Declaration> {
        &self.declaration
    }

    /// The change that made it.
    pub fn change(&self) -> Change {
        Change {
            version: self.version,
            operation: self.operation.clone(),
            kind: self.kind,
        }
    }

    /// The version in force; `None` before the first and while a change is being rolled out.
    pub fn in_force(&self) -> Option<Version> {
        (self.version > 0 && self.active == self.version).then_some(self.version)
    }

    /// Refuses a request made against another version.
    pub(super) fn expect(&self, expected: Version) -> Result<(), Refusal> {
        if expected == self.version {
            return Ok(());
        }
        let change = self.change();
        Err(Refusal::Stale { change })
    }

    /// Refuses a decision made under a configuration that isn't in force.
    pub(super) fn require(&self, under: Version) -> Result<(), Refusal> {
        let version = self.in_force();
        if version == Some(under) {
            return Ok(());
        }
        Err(Refusal::NotInForce { version })
    }

    /// The preset that a declaration would be used with.
    pub(super) fn choose(
        &self,
        declaration: &Declaration,
        named: Option<&PresetId>,
    ) -> Result<PresetId, Refusal> {
        let preset = match named.or(self.preset.as_ref()) {
            Some(preset) => preset.clone(),
            None => only(declaration).ok_or(Refusal::PresetUnnamed)?,
        };
        if declaration.presets.contains_key(&preset) {
            return Ok(preset);
        }
        Err(Refusal::NoPreset { preset })
    }

    /// Commits the next one.
    pub(super) fn commit(&mut self, next: Next) -> Reply {
        self.version = next.version;
        self.preset = Some(next.preset);
        self.declaration = next.declaration;
        self.operation = Some(next.operation);
        self.kind = Some(next.kind);
        Reply::Configured {
            version: self.version,
        }
    }

    /// Puts the newest in force.
    pub(super) fn activate(&mut self, version: Version) -> Result<Reply, Refusal> {
        if version == 0 || version != self.version {
            let version = self.version;
            return Err(Refusal::Superseded { version });
        }
        self.active = version;
        Ok(Reply::Noted)
    }
}

fn only(declaration: &Declaration) -> Option<PresetId> {
    let mut presets = declaration.presets.keys();
    let first = presets.next()?;
    presets.next().is_none().then(|| first.clone())
}
