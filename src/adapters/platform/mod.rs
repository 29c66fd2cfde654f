//! The client towards the platform, which runs tasks on workers and reboots hosts.
//!
//! The platform speaks JSON over HTTP; [`message`] holds the shapes. A start is idempotent by
//! job and attempt, and carries the start right that was committed for it: the platform refuses
//! one whose right or whose host generation has been superseded, so that a starter that was cut
//! off or frozen can do no harm when it wakes.
//!
//! An answer that was lost leaves open whether a start was taken. [`Client::fate`] asks for that,
//! and can at the same time fence the attempt, after which one that hasn't begun never will.
//!
//! The client is `ureq` on blocking threads, as the house style has it. Commands to the platform
//! are few and small beside requests (a start each for a job, a report a second), so a thread for
//! each is cheap and bounded by [`Client::new`]; what hyper would save here is not worth a second
//! way of reading errors. Every error is the same to the core: the answer isn't known.

pub mod message;

mod client;

pub use client::{Client, Error};
