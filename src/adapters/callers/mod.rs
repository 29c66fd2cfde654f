//! The HTTP interface towards callers.
//!
//! A caller's request is read whole within [`Limits`], numbered, put into [`Open`] and told to
//! the core as an arrival. The core then asks for sendings, and at last for the request to be
//! finished; [`Open::finish`] wakes the connection, which tells the caller. This module decides
//! nothing about a request beyond whether it could be read: every such refusal is an outcome
//! *not run*, for nothing had left this node.
//!
//! Readiness and the minions' announcements are paths of the same listener. Whoever assembles a
//! node calls [`serve`] with a [`Port`], through which this module speaks to the core.
//!
//! ```
//! use std::sync::Arc;
//! use egretpin::adapters::callers::{serve, Limits, Open, Port, Stage};
//! use tokio::{net::TcpListener, sync::{mpsc, watch}};
//!
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! let listener = TcpListener::bind("127.0.0.1:0").await?;
//! let (inputs, _core) = mpsc::unbounded_channel();
//! let port = Port::new(move |input| inputs.send(input).is_ok());
//! let (stop, stage) = watch::channel(Stage::Serving);
//! let served = tokio::spawn(serve(listener, port, Arc::new(Open::default()), Limits::default(), stage));
//! stop.send_replace(Stage::Closing);
//! served.await.unwrap();
//! # std::io::Result::Ok(()) }).unwrap();
//! ```

mod call;
mod limits;
mod open;
mod parse;
mod port;
mod recall;
mod reply;
mod server;
mod service;

pub use self::{
    call::{Answer, Call},
    limits::Limits,
    open::Open,
    port::{Port, Stage},
    recall::{Ended, KEPT, Recall},
    server::serve,
};
