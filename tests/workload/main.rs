//! Tests of jobs, their ledger and the leader's scheduler, in logical time.

mod budgets;
mod cancelled;
mod caps;
mod catalog;
mod completed_suspects;
mod eligible;
mod faults;
mod hosts;
mod incarnations;
mod intents;
mod leaving;
mod ledger;
mod lists;
mod normal_operation;
mod overload;
mod poison_false_positives;
mod poison_queues;
mod poison_tasks;
mod relays;
mod restarted_agents;
mod scarce_hosts;
mod spec;
mod suspicion;
mod vacating;
mod workspaces;
mod world;
