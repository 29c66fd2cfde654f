//! Reading the settings of a daemon from a tree.

use std::net::SocketAddr;

use log::LevelFilter;

use super::{
    LimitSettings, LogSettings, Peer, Settings,
    check::{self, Parts},
};
use crate::{
    core::types::NodeId,
    settings::{
        cursor::{Cursor, Placed, placed},
        scalar,
        suggest::suggest,
        units,
    },
};

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

pub(super) fn settings(cursor: &Cursor<'_>) -> Option<Settings> {
    let mut fields = cursor.fields()?;
    let node = fields.need("node", "1", node_id);
    let data_centre = fields.need("data_centre", "west", scalar::name);
    let mesh = fields.need("mesh", "10.0.0.1:7000", placed(scalar::address));
    let callers = fields.need("callers", "10.0.0.1:8000", placed(scalar::address));
    let minions = fields.need("minions", "10.0.0.1:8001", placed(scalar::address));
    let operators = fields.need("operators", "10.0.0.1:8002", placed(scalar::address));
    let voters = fields.need("voters", "[1, 2, 3]", voters);
    let peers = fields.or("peers", Vec::new(), peers);
    let data = fields.may("data", scalar::path);
    let platform = fields.may("platform", url);
    let log = fields.or("log", LogSettings::default(), log_settings);
    let limits = fields.or("limits", LimitSettings::default(), limit_settings);
    let trial = fields.or("trial", false, scalar::flag);
    fields.finish();
    let listeners = [
        ("mesh", mesh.as_ref()),
        ("callers", callers.as_ref()),
        ("minions", minions.as_ref()),
        ("operators", operators.as_ref()),
    ];
    check::check(&Parts {
        node,
        listeners,
        voters: voters.as_deref().unwrap_or_default(),
        peers: peers.as_deref(),
        data: data.as_ref(),
    });
    Some(Settings {
        node: node?,
        data_centre: data_centre?,
        mesh: mesh?.value,
        callers: callers?.value,
        minions: minions?.value,
        operators: operators?.value,
        data: data?,
        voters: values(voters?),
        peers: values(peers?),
        platform: platform?,
        log: log?,
        limits: limits?,
        trial: trial?,
    })
}

fn values<T>(list: Vec<Placed<'_, T>>) -> Vec<T> {
    list.into_iter().map(|p| p.value).collect()
}

fn peers<'a>(cursor: &Cursor<'a>) -> Option<Vec<Placed<'a, Peer>>> {
    let peers: Vec<_> = cursor.items()?.iter().map(placed(peer)).collect();
    peers.into_iter().collect()
}

fn peer(cursor: &Cursor<'_>) -> Option<Peer> {
    let mut fields = cursor.fields()?;
    let node = fields.need("node", "2", node_id);
    let data_centre = fields.need("data_centre", "east", scalar::name);
    let mesh = fields.need("mesh", "10.0.0.2:7000", reachable);
    let callers = fields.need("callers", "10.0.0.2:8000", reachable);
    fields.finish();
    Some(Peer {
        node: node?,
        data_centre: data_centre?,
        mesh: mesh?,
        callers: callers?,
    })
}

/// A node's id, which operators choose.
fn node_id(cursor: &Cursor<'_>) -> Option<NodeId> {
    scalar::count_from(1)(cursor).map(NodeId::from)
}

/// An address that can be connected to.
fn reachable(cursor: &Cursor<'_>) -> Option<SocketAddr> {
    let address = scalar::address(cursor)?;
    if address.ip().is_unspecified() {
        cursor.add(
            format!("{address} can't be reached"),
            "give the peer's own IP number",
        );
        return None;
    }
    Some(address)
}

fn voters<'a>(cursor: &Cursor<'a>) -> Option<Vec<Placed<'a, NodeId>>> {
    let items = cursor.items()?;
    if items.is_empty() {
        cursor.add(
            "there is no voter",
            "name 3 or 5 nodes, for example [1, 2, 3]",
        );
        return None;
    }
    let voters: Vec<_> = items.iter().map(placed(node_id)).collect();
    voters.into_iter().collect()
}

fn url(cursor: &Cursor<'_>) -> Option<String> {
    let text = scalar::text(cursor)?;
    let rest = text.strip_prefix("http://");
    if rest.is_none_or(|rest| rest.is_empty() || rest.contains(char::is_whitespace)) {
        let right = "give a base URL, for example http://10.0.0.9:9000";
        cursor.add(format!("{text:?} is no URL of a platform"), right);
        return None;
    }
    Some(String::from(text.trim_end_matches('/')))
}

fn log_settings(cursor: &Cursor<'_>) -> Option<LogSettings> {
    let mut fields = cursor.fields()?;
    let level = fields.or("level", LevelFilter::Info, level);
    let file = fields.may("file", scalar::path);
    fields.finish();
    Some(LogSettings {
        level: level?,
        file: file?,
    })
}

fn level(cursor: &Cursor<'_>) -> Option<LevelFilter> {
    let text = scalar::text(cursor)?;
    if LEVELS.contains(&text) {
        return text.parse().ok();
    }
    let right = match suggest(text, LEVELS) {
        Some(near) => format!("did you mean {near:?}?"),
        None => format!("give one of {}", LEVELS.join(", ")),
    };
    cursor.add(format!("{text:?} is no level"), right);
    None
}

fn limit_settings(cursor: &Cursor<'_>) -> Option<LimitSettings> {
    let mut fields = cursor.fields()?;
    let usual = LimitSettings::default();
    let body = fields.or("body", usual.body, units::bytes);
    let memory = fields.or("memory", usual.memory, units::bytes);
    let connections = fields.or("connections", usual.connections, scalar::count_from(1));
    let read = fields.or("read", usual.read, units::span);
    let write = fields.or("write", usual.write, units::span);
    let answer = fields.or("answer", usual.answer, units::bytes);
    let connect = fields.or("connect", usual.connect, units::span);
    if let (Some(body), Some(memory)) = (body, memory)
        && body > memory
    {
        let right = format!("give memory at least the {body} bytes of body");
        cursor.add(
            format!("{memory} bytes of memory hold no whole body"),
            right,
        );
    }
    fields.finish();
    Some(LimitSettings {
        body: body?,
        memory: memory?,
        connections: connections?,
        read: read?,
        write: write?,
        answer: answer?,
        connect: connect?,
    })
}
