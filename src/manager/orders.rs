//! How a leader's orders get out and their answers back: sent by the leader itself, or through
//! other control nodes as its relays.

use std::{panic::AssertUnwindSafe, sync::Arc};

use futures_util::FutureExt as _;
use tokio::time::Instant;

use super::{
    control::{ControlTask, Input},
    frame::Frame,
    proposals::ReplyTo,
};
use crate::{
    core::{
        types::NodeId,
        workload::scheduler::{Answer, Order, OrderId},
    },
    node::clock::wall,
};

impl ControlTask {
    /// Lets the scheduler plan, proposes its commands and sends its orders.
    pub(super) fn plan(&mut self) {
        if !self.holds_lease() || self.disk_full {
            return;
        }
        let now = self.now();
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        if let Some((span, part)) = self.load.sample() {
            scheduler.record_busy(span, part);
        }
        for order in self.relays.expire(now) {
            scheduler.answered(now, order, Answer::Silent);
        }
        let share = scheduler.relay_share();
        let plan = scheduler.plan(now, wall(), &self.ledger, self.node.room());
        self.load.record_plan(&plan);
        for age in &plan.agent_ages {
            self.ports.metrics.record_heartbeat_age(*age);
        }
        for delay in &plan.start_delays {
            self.ports.metrics.record_start_delay(*delay);
        }
        for delay in &plan.commit_delays {
            self.ports.metrics.record_start_commit(*delay);
        }
        for delay in &plan.answer_delays {
            self.ports.metrics.record_start_answer(*delay);
        }
        self.load.record_starts(&plan);
        if let Some(overdue) = &plan.overdue {
            self.relays.log_overdue(overdue);
        }
        for command in plan.commands {
            self.propose(ReplyTo::Discard, command);
        }
        // Checks the lease again, because the process may have been suspended since the first
        // check.
        if !self.holds_lease() {
            let unsent = plan.orders.iter().map(|order| order.id);
            log::warn!(orders = unsent.len(); "orders weren't sent, as the leader's lease had expired");
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.take_back(now, unsent);
            }
            return;
        }
        let tenure = self.tenure;
        for order in plan.orders {
            let relay = self.relays.choose(now, share, &order.kind);
            match relay {
                Some(relay) => self
                    .relays
                    .assign(now, relay, self.ports.exchange_limit, order),
                None => {
                    self.relays.record_direct(&order);
                    self.perform(order, move |order, answer| {
                        Input::Answered(order, tenure, answer)
                    });
                }
            }
        }
        for (relay, orders) in self.relays.take_batches() {
            let frame = Frame::Orders { tenure, orders };
            // A lost frame shows as orders without an answer in time.
            self.ports.mesh.send(relay, frame.encode());
        }
    }

    /// Executes an order and feeds its answer back as an input.
    fn perform(
        &self,
        order: Order,
        answered: impl FnOnce(OrderId, Answer) -> Input + Send + 'static,
    ) {
        let Some(inbox) = self.sender.upgrade() else {
            return;
        };
        let id = order.id;
        let (metrics, what) = (Arc::clone(&self.ports.metrics), order.kind.clone());
        let answer = (self.ports.perform)(order);
        tokio::spawn(async move {
            let started_at = Instant::now();
            // Each order needs an answer, as the scheduler waits for it without a limit.
            let answer = AssertUnwindSafe(answer).catch_unwind().await;
            let answer = answer.unwrap_or_else(|_| {
                log::error!(order = id; "the execution of an order panicked");
                Answer::Silent
            });
            metrics.record_answer(&what, &answer, started_at.elapsed());
            // The send fails only when the task has ended.
            let _ = inbox.send(answered(id, answer).into()).await;
        });
    }

    pub(super) fn handle_answer(&mut self, order: OrderId, tenure: u64, answer: Answer) {
        let now = self.now();
        if tenure == self.tenure
            && let Some(scheduler) = &mut self.scheduler
        {
            self.relays
                .record_direct_answer(order, has_reached(&answer));
            scheduler.answered(now, order, answer);
        }
    }

    /// Executes the orders of a leader as its relay, unless this node knows of a later term.
    pub(super) fn execute_relayed(&mut self, leader: NodeId, tenure: u64, orders: Vec<Order>) {
        for order in orders {
            if order.term < self.node.term() {
                // No answer is sent: the current leader doesn't wait for this order.
                continue;
            }
            self.perform(order, move |order, answer| Input::RelayedAnswer {
                leader,
                tenure,
                order,
                answer,
            });
        }
    }

    /// Handles a relay's answers to this node's orders.
    pub(super) fn handle_relayed_answers(
        &mut self,
        relay: NodeId,
        tenure: u64,
        answers: Vec<(OrderId, Answer)>,
    ) {
        let now = self.now();
        let Some(scheduler) = self.scheduler.as_mut().filter(|_| tenure == self.tenure) else {
            return;
        };
        for (order, answer) in answers {
            if self
                .relays
                .record_answer(relay, order, has_reached(&answer))
            {
                scheduler.answered(now, order, answer);
            }
        }
    }

    /// Sends leaders the answers to the orders that this node executed as their relay.
    pub(super) fn send_relayed_answers(&mut self) {
        for ((leader, tenure), answers) in self.relayed_answers.drain() {
            let frame = Frame::RelayedAnswers { tenure, answers };
            // If the frame is lost, the leader sees orders without an answer.
            self.ports.mesh.send(leader, frame.encode());
        }
    }
}

/// Whether an order reached its agent, as far as its answer tells.
fn has_reached(answer: &Answer) -> bool {
    !matches!(answer, Answer::Silent | Answer::Unsent)
}
