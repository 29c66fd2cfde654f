//! What the claims of idempotency keys do.

use std::time::Duration;

use super::{
    State,
    reply::{Refusal, Reply},
};
use crate::core::{
    claims::{Command, Terms},
    types::ServiceId,
};

impl State {
    /// A settlement is taken in also after its service is gone: the key may be claimed again if
    /// the service comes back.
    pub(super) fn keyed(&mut self, command: &Command) -> Result<Reply, Refusal> {
        let at = self.clock;
        match command {
            Command::Claim(claim) => {
                let terms = self.terms(&claim.service)?;
                let answer = self.claims.claim(at, &terms, claim);
                Ok(Reply::Claimed { answer })
            }
            Command::Settle { claim, ran } => {
                let terms = Terms::new(Duration::ZERO);
                self.claims.settle(at, &terms, claim, *ran);
                Ok(Reply::Noted)
            }
        }
    }

    fn terms(&self, service: &ServiceId) -> Result<Terms, Refusal> {
        let services = &self.configuration.declaration().services;
        let spec = services.get(service).ok_or_else(|| Refusal::NoService {
            service: service.clone(),
        })?;
        Ok(Terms::new(spec.timeout))
    }
}
