//! Taking and giving back the slots of minions, and confirming drains.

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

/// Time between two looks at what should be owned.
const INTERVAL: Duration = Duration::from_millis(400);

/// What the slot ledger needs to know of a minion.
pub(crate) fn spec(view: &View, minion: &Minion, active: bool) -> Spec {
    let service = view.document().services.get(&minion.pool);
    Spec {
        service: minion.pool.clone(),
        slots: service.map_or(Slots(1), |service| service.slots),
        address: minion.address,
        epoch: minion.epoch,
        active,
    }
}

/// Keeps the ownership of minions' slots as it should be.
pub(crate) async fn own_forever(node: Arc<Node>) {
    let mut last = None;
    while node.pause(INTERVAL).await {
        let now = node.clock.now();
        node.router.lock().tick(now);
        let seen = Seen::look(&node);
        if seen.is_settled(&node, last.as_ref()) {
            continue;
        }
        let steps = plan(&node);
        // A step may have to be tried again, for example a hand-over that waits for work in
        // flight; so there is nothing settled about a plan that has any.
        last = steps.is_empty().then_some(seen);
        for step in steps {
            carry_out(&node, step).await;
        }
    }
}

/// What the plan is made from; while it stays the same there is nothing new to decide.
///
/// Assigning 1,300 minions anew four times a second would be most of an idle entry's work.
#[derive(Eq, PartialEq)]
struct Seen {
    upto: Revision,
    candidates: Vec<(id::Entry, bool, bool)>,
}

impl Seen {
    fn look(node: &Node) -> Self {
        let view = node.view.read();
        let candidates = candidates(node, &view).into_values();
        Self {
            upto: view.upto(),
            candidates: candidates.map(|c| (c.entry, c.serves, c.silent)).collect(),
        }
    }

    /// Whether nothing changed, and nothing of ours waits for work in flight to end.
    fn is_settled(&self, node: &Node, last: Option<&Seen>) -> bool {
        if last != Some(self) {
            return false;
        }
        let view = node.view.read();
        let mut ours = view.owners().values().filter(|row| row.owner.as_ref() == Some(&node.me));
        !ours.any(|row| {
            let draining =
                view.minions().get(&row.minion).is_some_and(|m| m.state != State::Active);
            draining || !row.former.is_empty()
        })
    }
}

/// One step for one minion.
enum Step {
    Take(Ownership),
    HandBack(Ownership),
    ConfirmIdle(Ownership),
    Settle(Ownership),
}

fn candidates(node: &Node, view: &View) -> BTreeMap<id::Entry, Candidate> {
    let now = node.clock.now();
    // Woken up, this may run before the regular look at the clock.
    node.note_running(now);
    let peers = node.peers.read();
    let of = |row: &fleet::Registration| {
        let myself = row.entry == node.me;
        let peer = peers.get(&row.entry);
        // A peer never heard counts from our own start.
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

/// Everything that this entry should do now.
fn plan(node: &Node) -> Vec<Step> {
    let view = node.view.read();
    if !view.entries().contains_key(&node.me) {
        // Not registered, or cleared away by mistake: what is not registered hands out nothing.
        return Vec::new();
    }
    let candidates = candidates(node, &view);
    let list: Vec<Candidate> = candidates.values().cloned().collect();
    let minions = view
        .minions()
        .values()
        .map(|minion| (minion.minion.clone(), (minion.pool.clone(), minion.zone.clone())))
        .collect();
    let should = ownership::assign(&minions, &list);
    let registered: BTreeSet<id::Entry> = view.entries().keys().cloned().collect();
    let mut steps = Vec::new();
    for name in minions.keys() {
        let standing = view.owners().get(name);
        let action = ownership::decide(&node.me, name, standing, should.get(name), &candidates);
        match action {
            Action::Acquire(row) => steps.push(Step::Take(row)),
            Action::Release(row) => steps.push(Step::HandBack(row)),
            Action::Keep => {}
        }
        if let Some(row) = standing.filter(|row| row.owner.as_ref() == Some(&node.me)) {
            steps.extend(confirmation(node, &view, row, &registered));
        }
    }
    steps
}

/// What the owner has to state about its minion: that a drain is complete, or that a former
/// owner is gone.
fn confirmation(
    node: &Node,
    view: &View,
    row: &Ownership,
    registered: &BTreeSet<id::Entry>,
) -> Option<Step> {
    // A former owner that came back has seen, by its own view, that it was taken over, and
    // lists no work on the minion; its beat says up to which revision it knows.
    let taken_over = view.revision(&fleet::key::<Ownership>(&row.minion));
    let confirmed = |former: &id::Entry| {
        let peers = node.peers.read();
        let Some(beat) = peers.get(former).and_then(|peer| peer.beat.as_ref()) else {
            return false;
        };
        beat.view >= taken_over && !beat.load.iter().any(|load| load.minion == row.minion)
    };
    let settled = ownership::prune_former_owners(row, registered, confirmed);
    if settled.former.len() < row.former.len() {
        return Some(Step::Settle(settled));
    }
    let minion = view.minions().get(&row.minion)?;
    let waiting = minion.state == State::Draining && row.idle_at != Some(minion.epoch);
    let idle = node.router.lock().ledger.is_idle(&row.minion, node.clock.now());
    (waiting && idle)
        .then(|| Step::ConfirmIdle(Ownership { idle_at: Some(minion.epoch), ..row.clone() }))
}

async fn carry_out(node: &Arc<Node>, step: Step) {
    match step {
        Step::Take(row) => take(node, row).await,
        Step::HandBack(row) => hand_back(node, row).await,
        Step::ConfirmIdle(row) => {
            if write(node, &row).await {
                let epoch = row.idle_at.unwrap_or_default();
                node.note(Kind::DrainDone { minion: row.minion, epoch });
            }
        }
        Step::Settle(row) => {
            if write(node, &row).await && row.former.is_empty() {
                node.router.lock().ledger.release_reserved(&row.minion);
            }
        }
    }
}

/// Writes an ownership row, conditional on it and on the minion's row: whoever moves the
/// minion meanwhile is not overlooked.
async fn write(node: &Arc<Node>, row: &Ownership) -> bool {
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
    // Whatever happened, the view must show it before the next step.
    let _ = crate::follow::once(node).await;
    committed
}

async fn take(node: &Arc<Node>, row: Ownership) {
    if !write(node, &row).await {
        return;
    }
    let takeover = !row.former.is_empty();
    let now = node.clock.now();
    {
        let view = node.view.read();
        let ours =
            view.owners().get(&row.minion).is_some_and(|r| r.owner.as_ref() == Some(&node.me));
        let Some(minion) = view.minions().get(&row.minion).filter(|_| ours) else { return };
        let spec = spec(&view, minion, minion.state == State::Active);
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
    node.note(Kind::SlotsTaken { minion: row.minion, takeover });
}

/// Stops handing out, and gives the minion back once nothing is outstanding.
async fn hand_back(node: &Arc<Node>, row: Ownership) {
    let now = node.clock.now();
    let idle = {
        let view = node.view.read();
        let mut router = node.router.lock();
        if !router.ledger.owns(&row.minion) {
            true
        } else if let Some(minion) = view.minions().get(&row.minion) {
            let spec = spec(&view, minion, false);
            router.ledger.upsert_minion(row.minion.clone(), spec, None);
            router.ledger.is_idle(&row.minion, now)
        } else {
            true
        }
    };
    if !idle {
        return;
    }
    if write(node, &row).await {
        node.router.lock().ledger.remove_minion(&row.minion);
        node.note(Kind::SlotsGiven { minion: row.minion });
    }
}

/// Gives everything back, for a graceful stop.  Tells whether nothing is left.
pub(crate) async fn hand_back_all(node: &Arc<Node>) -> bool {
    let rows: Vec<Ownership> = {
        let view = node.view.read();
        let ours = view.owners().values().filter(|row| row.owner.as_ref() == Some(&node.me));
        ours.map(|row| Ownership { owner: None, ..row.clone() }).collect()
    };
    for row in &rows {
        hand_back(node, row.clone()).await;
    }
    let view = node.view.read();
    !view.owners().values().any(|row| row.owner.as_ref() == Some(&node.me))
}
