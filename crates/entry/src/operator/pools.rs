//! Pools, minions, and moves that an operator asks for.

use super::{bad_request, platform_problem};
use crate::drive;
use crate::node::Node;
use crate::problem::{Problem, body, json};
use celerythread_http::server::Request;
use celerythread_model::code::Code;
use celerythread_model::event::Kind;
use celerythread_model::fleet::{Errand, Minion, State};
use celerythread_model::id;
use celerythread_platform::message::Transaction;
use celerythread_policy::movement;
use http_types::Response;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A minion with the entry that owns its slots.
#[derive(Serialize)]
pub(crate) struct ListedMinion {
    #[serde(flatten)]
    minion: Minion,
    owner: Option<id::Entry>,
}

/// A pool against its configuration.
#[derive(Serialize)]
pub(crate) struct Pool {
    service: id::Service,
    wanted: u32,
    floor: u32,
    active: u32,
    out: Vec<id::Minion>,
}

pub(crate) fn minions(node: &Node) -> Vec<ListedMinion> {
    let view = node.view.read();
    let owner = |name| view.owners().get(name).and_then(|row| row.owner.clone());
    let minions = view.minions().values();
    minions.map(|m| ListedMinion { minion: m.clone(), owner: owner(&m.minion) }).collect()
}

pub(crate) fn pools(node: &Node) -> Vec<Pool> {
    let view = node.view.read();
    let services = view.document().services.values();
    services
        .map(|service| {
            let minions: Vec<&Minion> = view.pool(&service.service).collect();
            let active = |minion: &&&Minion| minion.state == State::Active;
            Pool {
                service: service.service.clone(),
                wanted: service.minions,
                floor: service.floor,
                active: minions.iter().filter(active).count() as u32,
                out: minions.iter().filter(|m| !active(m)).map(|m| m.minion.clone()).collect(),
            }
        })
        .collect()
}

#[derive(Deserialize)]
struct MoveOrder {
    minion: String,
    target: String,
}

/// Drains a minion to move it to another pool.  The disruption row is written in the same
/// transaction, so two operators, or an operator and a wave, cannot both drain the last minion
/// above the floor.
pub(crate) async fn move_minion(node: &Arc<Node>, request: &Request) -> Result<Response, Problem> {
    let order: MoveOrder = body(request)?;
    let name: id::Minion = order.minion.parse().map_err(bad_request)?;
    let target: id::Service = order.target.parse().map_err(bad_request)?;
    crate::follow::refresh_view(node).await.map_err(|error| platform_problem(&error))?;
    let (transaction, row) = prepare_move(node, &name, target)?;
    let committed = node.platform.table.commit(transaction).await;
    let _ = crate::follow::refresh_view(node).await;
    committed.map_err(|error| platform_problem(&error))?;
    node.record_event(Kind::DrainBegun { minion: row.minion.clone(), epoch: row.epoch });
    Ok(json(&row))
}

fn prepare_move(
    node: &Node,
    name: &id::Minion,
    target: id::Service,
) -> Result<(Transaction, Minion), Problem> {
    let view = node.view.read();
    let minion = view
        .minions()
        .get(name)
        .ok_or_else(|| Problem::new(Code::NotFound, format!("there is no minion {name}")))?;
    if !view.document().services.contains_key(&target) {
        return Err(Problem::new(Code::NotFound, format!("there is no service {target}")));
    }
    if minion.state != State::Active || minion.pool == target {
        let detail = format!("{name} is {} in {}", minion.state, minion.pool);
        return Err(Problem::new(Code::WrongState, detail));
    }
    let service = view.document().services.get(&minion.pool);
    let floor = service.map_or(0, |service| service.floor);
    let active = view.pool(&minion.pool).filter(|m| m.state == State::Active).count() as u32;
    if active <= floor {
        let detail = format!("{} is at its floor of {floor}", minion.pool);
        return Err(Problem::new(Code::WrongState, detail));
    }
    let row = movement::drain(minion, Some(Errand { wave: None, target }), minion.boot);
    let transaction = drive::minion_replacement(&view, Transaction::new(), minion, &row);
    Ok((transaction, row))
}
