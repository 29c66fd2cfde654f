//! The control task's part in activation: leases, roll-outs and changes of leadership.

use std::{sync::PoisonError, time::Duration};

use super::{Applied, asks::Origin, run::Task};
use crate::{
    core::{
        activation::{self, Acting, LeaderInput, LeaderOutput, NodeInput},
        state::{Body, Event},
        types::{NodeId, Now},
    },
    node::frame::ControlFrame,
};

impl Task {
    /// Times how long a change takes from its commit to its activation.
    pub(super) fn time_rollout(&mut self, now: Now) {
        let configuration = self.state.configuration();
        let version = configuration.version();
        match (configuration.in_force(), self.rolling) {
            (Some(_), Some((rolling, since))) => {
                self.rolling = None;
                if rolling == version && self.led {
                    self.rollout = Some(now.saturating_sub(since));
                }
            }
            (None, rolling) if rolling.is_none_or(|(rolling, _)| rolling != version) => {
                self.rolling = Some((version, now));
            }
            _ => {}
        }
    }

    pub(super) fn activation(&mut self, from: NodeId, message: activation::Message) {
        let now = self.now();
        if matches!(message, activation::Message::Renew { .. }) {
            self.step_leader(LeaderInput::Receive { from, message });
            return;
        }
        let sends = self.lock_acting(|acting| acting.step(now, NodeInput::Receive { message }));
        self.renew(sends);
    }

    /// Tells activation of the newest configuration.
    pub(super) fn learn(&mut self) {
        let configuration = self.state.configuration();
        let Some(preset) = configuration.preset().cloned() else {
            return;
        };
        let input = NodeInput::Learned {
            version: configuration.version(),
            preset,
            age: Duration::ZERO,
        };
        let now = self.now();
        let sends = self.lock_acting(|acting| acting.step(now, input));
        self.renew(sends);
        self.configure_leader();
    }

    fn configure_leader(&mut self) {
        let configuration = self.state.configuration();
        self.step_leader(LeaderInput::Configured {
            committed: configuration.version(),
            in_force: configuration.in_force(),
        });
    }

    fn step_leader(&mut self, input: LeaderInput) {
        let now = self.now();
        let Some(leader) = &mut self.leader else {
            return;
        };
        for output in leader.step(now, input) {
            match output {
                LeaderOutput::Send { to, message } => self.tell_node(to, message),
                LeaderOutput::Activate { version } => {
                    let body = Body::System(Event::Activated { version });
                    self.propose(Origin::Nobody, body);
                }
            }
        }
    }

    /// Sends a message of activation, to this very node too.
    fn tell_node(&mut self, to: NodeId, message: activation::Message) {
        if to == self.node.id() {
            self.activation(to, message);
        } else {
            self.send(to, ControlFrame::Activation(message));
        }
    }

    fn renew(&mut self, sends: Vec<activation::Send>) {
        for send in sends {
            self.tell_node(send.to, send.message);
        }
    }

    /// Follows changes of leadership.
    pub(super) fn lead(&mut self) {
        let now = self.now();
        let leads = self.node.lease_until().is_some_and(|until| now < until);
        if leads && self.leader.is_none() {
            log::info!(term = self.node.term(); "this node leads");
            self.leader = Some(activation::Leader::new(now, self.activation.clone()));
            self.configure_leader();
        }
        if !self.node.is_leader() && self.leader.take().is_some() {
            log::info!(term = self.node.term(); "this node leads no more");
            self.asks.deposed(now);
        }
        let leading = self.leader.is_some();
        if leading != self.led {
            self.led = leading;
            let applied = if leading {
                Applied::Lead(Box::new(self.state.clone()))
            } else {
                Applied::Follow
            };
            // Without a fleet task nobody needs to know.
            let _ = self.ports.applied.send(applied);
        }
        let leader = self.node.leader();
        let sends = self.lock_acting(|acting| acting.step(now, NodeInput::Lead(leader)));
        self.renew(sends);
    }

    pub(super) fn tick_activation(&mut self) {
        let now = self.now();
        if self.leader.is_some()
            && let Some(at) = self.node.last_contact()
        {
            self.step_leader(LeaderInput::Confirmed { at });
        }
        let sends = self.lock_acting(|acting| acting.step(now, NodeInput::Tick));
        self.renew(sends);
    }

    pub(super) fn acting(&self, now: Now) -> Acting {
        self.ports
            .acting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .acting(now)
    }

    fn lock_acting<T>(&self, step: impl FnOnce(&mut activation::Node) -> T) -> T {
        let mut acting = self
            .ports
            .acting
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        step(&mut acting)
    }
}
