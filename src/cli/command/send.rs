//! Sending a change so that it takes effect once.

use super::{Session, fresh_id};
use crate::{
    api::{Answer, Change, Operation, Route, view::Presets},
    cli::{
        error::{CliError, Exit},
        pending::Pending,
        time,
    },
    core::types::Version,
};

impl Session<'_> {
    /// Sends a change and returns the answer, as it came and as its type. `change` is made against
    /// no configuration; `expect` says which, else the newest is asked for.
    pub(super) fn send(
        &mut self,
        change: Change,
        expect: Option<Version>,
    ) -> Result<(String, Answer), CliError> {
        let pending = self.pending()?;
        let (operation, sent_before) = match self.unanswered(&pending, &change)? {
            Some(operation) => {
                let id = &operation.operation;
                self.note(&format!(
                    "sending operation {id} again, whose answer was lost"
                ));
                (operation, true)
            }
            None => (self.prepare(change, expect)?, false),
        };
        let client = self.client()?;
        pending.keep(&operation, time::now())?;
        let result = client.operate(&operation);
        let open = match result.as_ref().map_err(CliError::exit) {
            Err(Exit::Pending) => true,
            // Nothing was sent now, but it was before.
            Err(Exit::Unreachable) => sent_before,
            _ => false,
        };
        if !open {
            pending.forget(&operation.operation)?;
        }
        result
    }

    fn pending(&self) -> Result<Pending, CliError> {
        self.pending.clone().ok_or_else(|| {
            CliError::usage(
                "there is no folder for unanswered operations; set EGRETPIN_STATE to one",
            )
        })
    }

    /// The same change, if it was sent before and its answer lost.
    fn unanswered(
        &self,
        pending: &Pending,
        change: &Change,
    ) -> Result<Option<Operation>, CliError> {
        let Some(id) = &self.operation else {
            return pending.find(change, time::now());
        };
        let kept = pending.get(id, time::now())?;
        if kept
            .as_ref()
            .is_some_and(|kept| kept.change.clone().against(0) != *change)
        {
            let message = format!("operation {id} was kept for another change; give that one");
            return Err(CliError::usage(message));
        }
        Ok(kept)
    }

    fn prepare(&self, change: Change, expect: Option<Version>) -> Result<Operation, CliError> {
        let version = match expect {
            Some(version) => version,
            None if change.is_versioned() => self.version()?,
            None => 0,
        };
        Ok(Operation {
            operation: self.operation.clone().unwrap_or_else(fresh_id),
            change: change.against(version),
        })
    }

    fn version(&self) -> Result<Version, CliError> {
        let (_, presets): (_, Presets) = self.client()?.read(&Route::Presets)?;
        Ok(presets.version)
    }
}
