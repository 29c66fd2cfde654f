//! Tests of jobs, their ledger and the leader's scheduler, in logical time.

mod acquitted;
mod budgets;
mod cancelled;
mod caps;
mod catalog;
mod deadly;
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
mod reborn;
mod relays;
mod scarce;
mod spec;
mod storms;
mod suspects;
mod suspicion;
mod vacating;
mod workspaces;
mod world;
