//! A stand-in of the provider's API of machines, by PROTOCOL.md ("Machines"). All machines are in
//! one pool, so there is nothing to move.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Arc, Mutex},
};

use crate::{agent::Agent, http};

#[derive(Clone, Default)]
pub struct Provider {
    agents: Arc<Mutex<Vec<Arc<Agent>>>>,
}

impl Provider {
    /// Serves on a free port, and returns its address.
    pub fn start(ip: Ipv4Addr) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let provider = Self::default();
        let agents = Arc::clone(&provider.agents);
        http::serve(listener, move |request| {
            if !request.path.starts_with("/machines") {
                return Some((409, r#"{"reason":"busy"}"#.to_owned()));
            }
            let agents = agents.lock().expect("no panic");
            let machines: Vec<_> = agents.iter().map(|agent| agent.machine()).collect();
            let body = format!(
                r#"{{"machines":[{}],"nextToken":null}}"#,
                machines.join(",")
            );
            Some((200, body))
        });
        Ok((provider, address))
    }

    pub fn add(&self, agent: &Arc<Agent>) {
        self.agents
            .lock()
            .expect("no panic")
            .push(Arc::clone(agent));
    }
}
