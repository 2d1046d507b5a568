//! The status of an entry, and of the others as it sees them.

use crate::node::Node;
use celerythread_model::id;
use celerythread_model::unit::Revision;
use serde::Serialize;
use std::net::SocketAddr;

/// The answer to `GET /v1/status`.
#[derive(Serialize)]
pub(crate) struct Status {
    me: id::Entry,
    workspace: String,
    config: Revision,
    view: Revision,
    entries: Vec<Entry>,
    services: Vec<Service>,
}

/// A registered entry as this one sees it.
#[derive(Serialize)]
struct Entry {
    entry: id::Entry,
    zone: id::Zone,
    operator_address: SocketAddr,
    /// The configuration in force there; none while it does not answer.
    config: Option<Revision>,
    answers: bool,
    stopping: bool,
    silent_ms: u64,
}

#[derive(Serialize)]
struct Service {
    service: id::Service,
    slots: u32,
    free: u32,
    waiting: u32,
}

pub(crate) fn status(node: &Node) -> Status {
    let now = node.clock.now();
    let view = node.view.read();
    let rooms = node.router.lock().rooms(now);
    let peers = node.peers.read();
    let entries = view.entries().values().map(|row| {
        let myself = row.entry == node.entry_id;
        let peer = peers.get(&row.entry);
        let beat = peer.and_then(|peer| peer.beat.as_ref());
        let heard = peer.map_or_else(Default::default, |peer| peer.last_heard);
        Entry {
            entry: row.entry.clone(),
            zone: row.zone.clone(),
            operator_address: row.operator_address,
            config: if myself { Some(view.config_number()) } else { beat.map(|b| b.config) },
            answers: myself || beat.is_some(),
            stopping: if myself { node.is_stopping() } else { row.stopping },
            silent_ms: if myself { 0 } else { now.since(heard).as_millis() as u64 },
        }
    });
    Status {
        me: node.entry_id.clone(),
        workspace: view.document().workspace.clone(),
        config: view.config_number(),
        view: view.upto(),
        entries: entries.collect(),
        services: rooms
            .into_iter()
            .map(|room| Service {
                service: room.service,
                slots: room.slots,
                free: room.free,
                waiting: room.waiting,
            })
            .collect(),
    }
}
