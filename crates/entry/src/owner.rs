//! Acquiring and releasing the slots of minions, and confirming drains.

use crate::node::Node;
use celerythread_model::event::Kind;
use celerythread_model::fleet::{self, Minion, Ownership, State};
use celerythread_model::id;
use celerythread_model::table::Space;
use celerythread_model::unit::{Revision, Slots};
use celerythread_platform::message::Transaction;
use celerythread_policy::ownership::{self, Action, Candidate};
use celerythread_policy::slots::Spec;
use celerythread_policy::view::View;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks of which minions should be owned.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// A minion as the slot ledger describes it.
pub(crate) fn minion_spec(view: &View, minion: &Minion, active: bool) -> Spec {
    let service = view.document().services.get(&minion.pool);
    Spec {
        service: minion.pool.clone(),
        slots: service.map_or(Slots(1), |service| service.slots),
        address: minion.address,
        epoch: minion.epoch,
        active,
    }
}

/// Brings the ownership of minions' slots in line with the assignment, until the node stops.
pub(crate) async fn reconcile_forever(node: Arc<Node>) {
    let mut last = None;
    while node.sleep_unless_stopped(CHECK_INTERVAL).await {
        let now = node.clock.now();
        node.router.lock().tick(now);
        let input = PlanInput::capture(&node);
        if input.is_unchanged(&node, last.as_ref()) {
            continue;
        }
        let steps = plan(&node);
        // A step may have to be retried, for example a release that waits for work in flight, so
        // a plan that has steps is always made again.
        last = steps.is_empty().then_some(input);
        for step in steps {
            execute(&node, step).await;
        }
    }
}

/// The input of a plan; while it stays the same there is nothing new to decide.
///
/// Assigning 1,300 minions again four times a second would be most of an idle entry's work.
#[derive(Eq, PartialEq)]
struct PlanInput {
    upto: Revision,
    candidates: Vec<(id::Entry, bool, bool)>,
}

impl PlanInput {
    fn capture(node: &Node) -> Self {
        let view = node.view.read();
        let candidates = candidates(node, &view).into_values();
        Self {
            upto: view.upto(),
            candidates: candidates.map(|c| (c.entry, c.serves, c.silent)).collect(),
        }
    }

    /// Whether nothing changed and no owned minion waits for a drain or a former owner.
    fn is_unchanged(&self, node: &Node, last: Option<&PlanInput>) -> bool {
        if last != Some(self) {
            return false;
        }
        let view = node.view.read();
        let mut ours =
            view.owners().values().filter(|row| row.owner.as_ref() == Some(&node.entry_id));
        !ours.any(|row| {
            let draining =
                view.minions().get(&row.minion).is_some_and(|m| m.state != State::Active);
            draining || !row.former.is_empty()
        })
    }
}

/// A change of the ownership of one minion.
enum Step {
    Acquire(Ownership),
    Release(Ownership),
    ConfirmIdle(Ownership),
    PruneFormers(Ownership),
}

fn candidates(node: &Node, view: &View) -> BTreeMap<id::Entry, Candidate> {
    let now = node.clock.now();
    // After a pause this may run before the regular check of the clock.
    node.detect_pause(now);
    let peers = node.peers.read();
    let of = |row: &fleet::Registration| {
        let myself = row.entry == node.entry_id;
        let peer = peers.get(&row.entry);
        // The silence of a peer that was never heard counts from this process's start.
        let heard = peer.map_or_else(Default::default, |peer| peer.last_heard);
        let silence = node.silence(heard, now);
        let stopping = if myself { node.is_stopping() } else { row.stopping };
        let answers = myself || peer.is_some_and(|peer| peer.beat.is_some());
        Candidate {
            entry: row.entry.clone(),
            zone: row.zone.clone(),
            serves: answers && !stopping,
            silent: !myself && silence >= node.settings.takeover_after.0,
        }
    };
    view.entries().values().map(|row| (row.entry.clone(), of(row))).collect()
}

/// The changes of ownership that this entry should make now.
fn plan(node: &Node) -> Vec<Step> {
    let view = node.view.read();
    if !view.entries().contains_key(&node.entry_id) {
        // Not registered, or removed by mistake: an unregistered entry may not grant slots.
        return Vec::new();
    }
    let candidates = candidates(node, &view);
    let list: Vec<Candidate> = candidates.values().cloned().collect();
    let minions = view
        .minions()
        .values()
        .map(|minion| (minion.minion.clone(), (minion.pool.clone(), minion.zone.clone())))
        .collect();
    let assignment = ownership::assign(&minions, &list);
    let registered: BTreeSet<id::Entry> = view.entries().keys().cloned().collect();
    let mut steps = Vec::new();
    for name in minions.keys() {
        let current = view.owners().get(name);
        let action =
            ownership::decide(&node.entry_id, name, current, assignment.get(name), &candidates);
        match action {
            Action::Acquire(row) => steps.push(Step::Acquire(row)),
            Action::Release(row) => steps.push(Step::Release(row)),
            Action::Keep => {}
        }
        if let Some(row) = current.filter(|row| row.owner.as_ref() == Some(&node.entry_id)) {
            steps.extend(confirmation(node, &view, row, &registered));
        }
    }
    steps
}

/// What the owner has to confirm about its minion: that a drain is complete, or that a former
/// owner no longer uses it.
fn confirmation(
    node: &Node,
    view: &View,
    row: &Ownership,
    registered: &BTreeSet<id::Entry>,
) -> Option<Step> {
    // A former owner that answers again is done once its view includes the takeover and it lists
    // no work on the minion; its heartbeat carries the revision of its view.
    let taken_over = view.revision(&fleet::key::<Ownership>(&row.minion));
    let confirmed = |former: &id::Entry| {
        let peers = node.peers.read();
        let Some(beat) = peers.get(former).and_then(|peer| peer.beat.as_ref()) else {
            return false;
        };
        beat.view >= taken_over && !beat.load.iter().any(|load| load.minion == row.minion)
    };
    let pruned = ownership::prune_former_owners(row, registered, confirmed);
    if pruned.former.len() < row.former.len() {
        return Some(Step::PruneFormers(pruned));
    }
    let minion = view.minions().get(&row.minion)?;
    let waiting = minion.state == State::Draining && row.idle_at != Some(minion.epoch);
    let idle = node.router.lock().ledger.is_idle(&row.minion, node.clock.now());
    (waiting && idle)
        .then(|| Step::ConfirmIdle(Ownership { idle_at: Some(minion.epoch), ..row.clone() }))
}

async fn execute(node: &Arc<Node>, step: Step) {
    match step {
        Step::Acquire(row) => acquire_minion(node, row).await,
        Step::Release(row) => release_minion(node, row).await,
        Step::ConfirmIdle(row) => {
            if write_ownership(node, &row).await {
                let epoch = row.idle_at.unwrap_or_default();
                node.record_event(Kind::DrainDone { minion: row.minion, epoch });
            }
        }
        Step::PruneFormers(row) => {
            if write_ownership(node, &row).await && row.former.is_empty() {
                node.router.lock().ledger.release_reserved(&row.minion);
            }
        }
    }
}

/// Writes an ownership row, conditional on its revision and on that of the minion's row, so that
/// a concurrent move of the minion is not overlooked.
async fn write_ownership(node: &Arc<Node>, row: &Ownership) -> bool {
    let (own_key, minion_key) =
        (fleet::key::<Ownership>(&row.minion), fleet::key::<Minion>(&row.minion));
    let (own_revision, minion_revision) = {
        let view = node.view.read();
        (view.revision(&own_key), view.revision(&minion_key))
    };
    let transaction = Transaction::new().check(Space::Fleet, minion_key, minion_revision).replace(
        Space::Fleet,
        own_key,
        own_revision,
        row,
    );
    let committed = node.platform.table.commit(transaction).await.is_ok();
    // The view must show the outcome before the next step.
    let _ = crate::follow::refresh_view(node).await;
    committed
}

async fn acquire_minion(node: &Arc<Node>, row: Ownership) {
    if !write_ownership(node, &row).await {
        return;
    }
    let takeover = !row.former.is_empty();
    let now = node.clock.now();
    {
        let view = node.view.read();
        let ours = view
            .owners()
            .get(&row.minion)
            .is_some_and(|r| r.owner.as_ref() == Some(&node.entry_id));
        let Some(minion) = view.minions().get(&row.minion).filter(|_| ours) else { return };
        let spec = minion_spec(&view, minion, minion.state == State::Active);
        let reserved = row.former.last().map(|former| {
            let outstanding = node.peers.read().last_load(former, &row.minion);
            let service = view.document().services.get(&minion.pool);
            let longest = service.map_or(Duration::from_secs(30), |service| service.deadline.0);
            (outstanding, now + longest)
        });
        let mut router = node.router.lock();
        router.ledger.upsert_minion(row.minion.clone(), spec, reserved);
        router.tick(now);
    }
    node.record_event(Kind::SlotsTaken { minion: row.minion, takeover });
}

/// Stops granting slots, and releases the minion once none is in use.
async fn release_minion(node: &Arc<Node>, row: Ownership) {
    let now = node.clock.now();
    let idle = {
        let view = node.view.read();
        let mut router = node.router.lock();
        if !router.ledger.owns(&row.minion) {
            true
        } else if let Some(minion) = view.minions().get(&row.minion) {
            let spec = minion_spec(&view, minion, false);
            router.ledger.upsert_minion(row.minion.clone(), spec, None);
            router.ledger.is_idle(&row.minion, now)
        } else {
            true
        }
    };
    if !idle {
        return;
    }
    if write_ownership(node, &row).await {
        node.router.lock().ledger.remove_minion(&row.minion);
        node.record_event(Kind::SlotsGiven { minion: row.minion });
    }
}

/// Releases all owned minions for a graceful stop.  Returns whether none is left.
pub(crate) async fn release_all(node: &Arc<Node>) -> bool {
    let rows: Vec<Ownership> = {
        let view = node.view.read();
        let ours = view.owners().values().filter(|row| row.owner.as_ref() == Some(&node.entry_id));
        ours.map(|row| Ownership { owner: None, ..row.clone() }).collect()
    };
    for row in &rows {
        release_minion(node, row.clone()).await;
    }
    let view = node.view.read();
    !view.owners().values().any(|row| row.owner.as_ref() == Some(&node.entry_id))
}
