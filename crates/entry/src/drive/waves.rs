//! Running declared waves.

use super::fenced;
use super::fleet::{Controller, commit_and_refresh, is_open};
use crate::duty::Duty;
use crate::node::Node;
use celerythread_model::event::Kind;
use celerythread_model::fleet::{self, Errand, Minion, Progress, State, Wave};
use celerythread_model::id;
use celerythread_model::table::Space;
use celerythread_policy::lease::HeldLease;
use celerythread_policy::movement;
use celerythread_policy::view::View;
use celerythread_policy::wave::{self, Target};
use std::sync::Arc;

/// Advances every open wave by one step, the earliest deadline first.
pub(crate) async fn step(fleet: &mut Controller, node: &Arc<Node>, held: HeldLease) {
    let mut waves: Vec<Wave> = node.view.read().waves().values().cloned().collect();
    waves.retain(is_open);
    waves.sort_by_key(|wave| (wave.deadline.unwrap_or(u64::MAX), wave.declared_at));
    for wave in waves {
        let wave = complete_if_done(node, held, wave).await;
        if is_open(&wave) {
            advance(fleet, node, held, &wave).await;
        }
    }
}

/// The remaining targets of a wave, without minions that were removed or are being removed: these
/// need no maintenance.
fn targets(view: &View, wave: &Wave) -> Vec<Target> {
    let minions = wave.remaining.iter().filter_map(|name| view.minions().get(name));
    minions.filter(|minion| !is_leaving(minion)).map(target).collect()
}

/// Whether a minion is being removed for good: drained without an errand.
fn is_leaving(minion: &Minion) -> bool {
    minion.state != State::Active && minion.errand.is_none()
}

pub(crate) fn target(minion: &Minion) -> Target {
    Target {
        minion: minion.minion.clone(),
        service: minion.pool.clone(),
        zone: minion.zone.clone(),
        rack: minion.rack.clone(),
    }
}

/// Marks a wave as done once no target remains and none is out of service.
async fn complete_if_done(node: &Arc<Node>, held: HeldLease, wave: Wave) -> Wave {
    let (left, out) = {
        let view = node.view.read();
        let out = view.minions().values().filter(|m| belongs_to(m, &wave.wave)).count();
        (targets(&view, &wave).len(), out)
    };
    if left > 0 || out > 0 {
        return wave;
    }
    let done = Wave { progress: Progress::Done, waiting_for: String::new(), ..wave.clone() };
    if write_wave(node, held, &done).await { done } else { wave }
}

fn belongs_to(minion: &Minion, wave: &id::Wave) -> bool {
    minion.errand.as_ref().is_some_and(|errand| errand.wave.as_ref() == Some(wave))
}

/// Drains the minions that may go now, or records what the wave waits for.
async fn advance(fleet: &mut Controller, node: &Arc<Node>, held: HeldLease, wave: &Wave) {
    if let Some(waiting_for) = waiting_reason(node, wave) {
        set_progress(node, held, wave, Progress::Paused, waiting_for).await;
        return;
    }
    let (targets, racks_out, weight, out) = {
        let view = node.view.read();
        // Only minions that return are waited for.
        let out: Vec<&Minion> = view.minions().values().filter(|m| m.errand.is_some()).collect();
        let racks_out: Vec<id::Rack> = out.iter().map(|m| m.rack.clone()).collect();
        let targets: Vec<Target> = targets(&view, wave)
            .into_iter()
            .filter(|t| !out.iter().any(|minion| minion.minion == t.minion))
            .collect();
        (targets, racks_out, view.document().rollout_weight, out.len())
    };
    let availability = fleet.availability(node);
    let next = wave::next_targets(&targets, &availability, weight, &racks_out);
    if next.is_empty() && out == 0 && !targets.is_empty() {
        let services = wave::blocked_services(&targets, &availability);
        let names: Vec<String> = services.iter().map(ToString::to_string).collect();
        let waiting_for = format!("at the floor: {}", names.join(", "));
        set_progress(node, held, wave, Progress::Paused, waiting_for).await;
        return;
    }
    if !next.is_empty() && wave.progress == Progress::Paused {
        set_progress(node, held, wave, Progress::Running, String::new()).await;
    }
    for name in next {
        if !drain_minion(fleet, node, held, &wave.wave, &name).await {
            // A row changed meanwhile; the next round decides from its new state.
            return;
        }
    }
}

/// Why a wave may not drain any minion at this time, if so.
///
/// This compares the holder's wall clock with a time that an operator chose.  It decides when a
/// wave continues, never who may write.
fn waiting_reason(node: &Node, wave: &Wave) -> Option<String> {
    let now = node.clock.wall_ms();
    if now < wave.starts_at {
        return Some("its start".into());
    }
    let name = wave.window.as_ref()?;
    let document = node.view.read().document().clone();
    let window = document.windows.iter().find(|window| window.name == *name);
    let minute = (now / 60_000 % (24 * 60)) as u32;
    let open = window.is_none_or(|window| window.is_open(minute));
    (!open).then(|| format!("window {name}"))
}

/// Drains one minion and moves it from `remaining` to `done`, in one transaction with the
/// disruption row.
async fn drain_minion(
    fleet: &Controller,
    node: &Arc<Node>,
    held: HeldLease,
    wave: &id::Wave,
    name: &id::Minion,
) -> bool {
    let (old, current) = {
        let view = node.view.read();
        let Some(old) = view.minions().get(name).cloned() else { return false };
        let Some(current) = view.waves().get(wave).cloned() else { return false };
        (old, current)
    };
    if old.state != State::Active || !is_open(&current) {
        return false;
    }
    let boot = fleet.roster.get(name.as_str()).map_or(old.boot, |instance| instance.boot);
    let errand = Errand { wave: Some(wave.clone()), target: old.pool.clone() };
    let row = movement::drain(&old, Some(errand), boot);
    let mut next = current.clone();
    next.remaining.retain(|left| left != name);
    next.done.push(name.clone());
    let drained = fleet.replace_minion(node, held, &old, &row, Some((&current, next))).await;
    if drained {
        node.record_event(Kind::DrainBegun { minion: row.minion, epoch: row.epoch });
    }
    drained
}

async fn set_progress(
    node: &Arc<Node>,
    held: HeldLease,
    wave: &Wave,
    progress: Progress,
    waiting_for: String,
) {
    if wave.progress == progress && wave.waiting_for == waiting_for {
        return;
    }
    let row = Wave { progress, waiting_for, ..wave.clone() };
    write_wave(node, held, &row).await;
}

async fn write_wave(node: &Arc<Node>, held: HeldLease, wave: &Wave) -> bool {
    let key = fleet::key::<Wave>(&wave.wave);
    let revision = node.view.read().revision(&key);
    let transaction = fenced(Duty::Fleet, held).replace(Space::Fleet, key, revision, wave);
    let written = commit_and_refresh(node, transaction).await;
    if written {
        node.record_event(Kind::Wave { wave: wave.wave.clone(), progress: wave.progress });
    }
    written
}
