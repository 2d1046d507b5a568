//! The fleet controller: keeps the minions' rows, removes registrations of terminated entries,
//! advances minions through their errands, and decides moves between pools.

use super::retention::Retention;
use super::roster::Roster;
use super::{fenced, waves};
use crate::duty::Duty;
use crate::membership;
use crate::node::Node;
use celerythread_model::event::Kind;
use celerythread_model::fleet::{
    self, Disruption, Errand, Minion, Ownership, Progress, Registration, State, Wave,
};
use celerythread_model::id;
use celerythread_model::table::Space;
use celerythread_model::unit::Epoch;
use celerythread_platform::message::{Instance, Role, Transaction};
use celerythread_policy::availability::Availability;
use celerythread_policy::lease::HeldLease;
use celerythread_policy::movement::{self, Action, Facts};
use celerythread_policy::sizing::{self, Pool, Sizer};
use celerythread_policy::view::View;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Weight of the newest sample in the moving average of a pool's utilisation.
const UTILISATION_WEIGHT: f64 = 0.1;

/// The state kept between two steps.
#[derive(Default)]
pub(crate) struct Controller {
    pub(crate) roster: Roster,
    sizer: Sizer,
    utilisation: BTreeMap<id::Service, f64>,
    retention: Retention,
}

impl Controller {
    /// One round.  Nothing new is started while the platform does not answer: both its list and
    /// the table must have been read in this round.
    pub(crate) async fn step(&mut self, node: &Arc<Node>, held: HeldLease) {
        if crate::follow::refresh_view(node).await.is_err() || !self.roster.refresh(node).await {
            return;
        }
        self.remove_dead_entries(node, held).await;
        self.sync_minions(node, held).await;
        self.advance_errands(node, held).await;
        waves::step(self, node, held).await;
        self.decide_move(node, held).await;
        self.retention.step(node, held).await;
    }

    /// Removes registrations of entries whose instance has certainly terminated.
    async fn remove_dead_entries(&mut self, node: &Arc<Node>, held: HeldLease) {
        let entries: Vec<id::Entry> = node.view.read().entries().keys().cloned().collect();
        let now = node.clock.now();
        for entry in entries {
            let instance = membership::instance_name(&entry).to_owned();
            if entry != node.entry_id && self.roster.is_gone(&instance, now) {
                let key = fleet::key::<Registration>(&entry);
                let revision = node.view.read().revision(&key);
                let transaction = fenced(Duty::Fleet, held)
                    .check(Space::Fleet, &*key, revision)
                    .delete(Space::Fleet, key);
                commit_and_refresh(node, transaction).await;
            }
        }
    }

    /// Writes rows for new minions, drains leaving ones, and removes terminated ones.
    async fn sync_minions(&mut self, node: &Arc<Node>, held: HeldLease) {
        let listed: Vec<Instance> = self.roster.with_role(Role::Minion).cloned().collect();
        for instance in listed {
            let Ok(name) = instance.name.parse::<id::Minion>() else { continue };
            let known = node.view.read().minions().get(&name).cloned();
            match known {
                None if !instance.leaving => add_minion(node, held, name, &instance).await,
                Some(minion) if instance.leaving && minion.state == State::Active => {
                    let row = movement::drain(&minion, None, instance.boot);
                    if self.replace_minion(node, held, &minion, &row, None).await {
                        let (minion, epoch) = (row.minion, row.epoch);
                        node.record_event(Kind::DrainBegun { minion, epoch });
                    }
                }
                _ => {}
            }
        }
        let known: Vec<id::Minion> = node.view.read().minions().keys().cloned().collect();
        let now = node.clock.now();
        for name in known {
            if self.roster.is_gone(name.as_str(), now) {
                remove_minion(node, held, &name).await;
            }
        }
    }

    /// Advances each minion that is out of service by one step.
    async fn advance_errands(&mut self, node: &Arc<Node>, held: HeldLease) {
        let out: Vec<Minion> = {
            let view = node.view.read();
            let out = view.minions().values().filter(|minion| minion.state != State::Active);
            out.cloned().collect()
        };
        for minion in out {
            match self.next_action(node, &minion) {
                Action::Wait => {}
                Action::Reboot(boot) => {
                    // If the answer is lost, the list shows the reboot; a repeated request is
                    // harmless.
                    let _ = node.platform.roster.reboot(minion.minion.as_str(), boot).await;
                }
                Action::Write(row) => {
                    let returned = row.state == State::Active;
                    if self.replace_minion(node, held, &minion, &row, None).await && returned {
                        let (minion, pool, epoch) = (row.minion, row.pool, row.epoch);
                        node.record_event(Kind::Returned { minion, pool, epoch });
                    }
                }
            }
        }
    }

    fn next_action(&self, node: &Node, minion: &Minion) -> Action {
        let view = node.view.read();
        let ownership = view.owners().get(&minion.minion);
        let owner = ownership.and_then(|row| row.owner.as_ref());
        let instance = self.roster.get(minion.minion.as_str());
        movement::step(Facts {
            minion,
            ownership,
            owner_registered: owner.is_some_and(|owner| view.entries().contains_key(owner)),
            boot: instance.map(|instance| instance.boot),
            leaving: instance.is_none_or(|instance| instance.leaving),
        })
    }

    /// Writes a minion's row and its pool's disruption row in one transaction, so that the count
    /// of minions out of service is exact at every revision.
    pub(crate) async fn replace_minion(
        &self,
        node: &Arc<Node>,
        held: HeldLease,
        old: &Minion,
        new: &Minion,
        wave: Option<(&Wave, Wave)>,
    ) -> bool {
        let transaction = {
            let view = node.view.read();
            let mut transaction = minion_replacement(&view, fenced(Duty::Fleet, held), old, new);
            if let Some((old, new)) = &wave {
                let key = fleet::key::<Wave>(&old.wave);
                let revision = view.revision(&key);
                transaction = transaction.replace(Space::Fleet, key, revision, new);
            }
            transaction
        };
        commit_and_refresh(node, transaction).await
    }

    /// The availability of each service against its floor.
    pub(crate) fn availability(&self, node: &Node) -> BTreeMap<id::Service, Availability> {
        let ejected_minions = ejected_minions(node);
        let view = node.view.read();
        let healthy = |name: &id::Minion| {
            let listed = self.roster.get(name.as_str());
            listed.is_some_and(|instance| !instance.leaving) && !ejected_minions.contains(name)
        };
        let services = view.document().services.values();
        services
            .map(|service| {
                let disruption = view.disruption(&service.service);
                let minions = view.pool(&service.service);
                let availability = Availability::count(service, minions, &disruption, healthy);
                (service.service.clone(), availability)
            })
            .collect()
    }

    async fn decide_move(&mut self, node: &Arc<Node>, held: HeldLease) {
        let pools = self.pools(node);
        let decided = self.sizer.decide(&pools, node.clock.now(), sizing::Settings::default());
        let Some(decision) = decided else { return };
        let candidate = {
            let view = node.view.read();
            let active = view.pool(&decision.from).filter(|m| m.state == State::Active);
            active.min_by_key(|minion| minion.minion.clone()).cloned()
        };
        if let Some(minion) = candidate {
            let errand = Errand { wave: None, target: decision.to };
            let boot = self.roster.get(minion.minion.as_str()).map_or(0, |i| i.boot);
            let row = movement::drain(&minion, Some(errand), boot);
            if self.replace_minion(node, held, &minion, &row, None).await {
                node.record_event(Kind::DrainBegun { minion: row.minion, epoch: row.epoch });
            }
        }
    }

    fn pools(&mut self, node: &Node) -> Vec<Pool> {
        let availability = self.availability(node);
        let used = current_utilisation(node);
        let document = node.view.read().document().clone();
        let mut pools = Vec::new();
        for service in document.services.values() {
            let availability = availability.get(&service.service).cloned().unwrap_or_default();
            let now = used.get(&service.service).copied().unwrap_or(0.0);
            let smoothed = self.utilisation.entry(service.service.clone()).or_insert(now);
            *smoothed += UTILISATION_WEIGHT * (now - *smoothed);
            // A minion that is out on purpose returns, so it is no reason for a move.
            let serving = availability.serving + availability.out;
            pools.push(Pool {
                service: service.service.clone(),
                serving,
                wanted: service.minions,
                floor: service.floor,
                utilisation: *smoothed,
                lends: service.lends,
            });
        }
        pools
    }
}

/// Commits, then refreshes the view whether the commit succeeded or not.
pub(crate) async fn commit_and_refresh(node: &Arc<Node>, transaction: Transaction) -> bool {
    let committed = node.platform.table.commit(transaction).await.is_ok();
    let _ = crate::follow::refresh_view(node).await;
    committed
}

/// The transaction that replaces a minion's row, conditional on every row that the decision was
/// made from: the minion, its ownership, and its service's disruption.
pub(crate) fn minion_replacement(
    view: &View,
    transaction: Transaction,
    old: &Minion,
    new: &Minion,
) -> Transaction {
    let key = fleet::key::<Minion>(&old.minion);
    let ownership = fleet::key::<Ownership>(&old.minion);
    let mut transaction = transaction.replace(Space::Fleet, &*key, view.revision(&key), new).check(
        Space::Fleet,
        &*ownership,
        view.revision(&ownership),
    );
    let leaves = old.state == State::Active && new.state != State::Active;
    let returns = old.state != State::Active && new.state == State::Active;
    if leaves || returns {
        let mut disruption = view.disruption(&old.pool);
        let key = fleet::key::<Disruption>(&old.pool);
        let revision = view.revision(&key);
        if leaves {
            disruption.out.insert(old.minion.clone(), disruption_cause(new));
        } else {
            disruption.out.remove(&old.minion);
        }
        transaction = transaction.replace(Space::Fleet, key, revision, &disruption);
    }
    transaction
}

fn disruption_cause(minion: &Minion) -> String {
    match &minion.errand {
        Some(Errand { wave: Some(wave), .. }) => format!("wave {wave}"),
        Some(Errand { wave: None, target }) => format!("move to {target}"),
        None => "leaving".into(),
    }
}

async fn add_minion(node: &Arc<Node>, held: HeldLease, name: id::Minion, instance: &Instance) {
    let Some(address) = instance.address else { return };
    let Some(pool) = pool_for(node, instance) else { return };
    let row = Minion {
        minion: name.clone(),
        pool,
        state: State::Active,
        epoch: Epoch(1),
        zone: instance.zone.clone(),
        rack: instance.rack.clone(),
        address,
        errand: None,
        boot: instance.boot,
    };
    let key = fleet::key::<Minion>(&name);
    let revision = node.view.read().revision(&key);
    let transaction = fenced(Duty::Fleet, held).replace(Space::Fleet, key, revision, &row);
    commit_and_refresh(node, transaction).await;
}

/// The pool that a new minion was bought for, or else the one with the largest shortfall.
fn pool_for(node: &Node, instance: &Instance) -> Option<id::Service> {
    let view = node.view.read();
    let document = view.document();
    if let Some(pool) = &instance.pool {
        return Some(pool.clone());
    }
    let lacking = document.services.values().map(|service| {
        let present = view.pool(&service.service).count() as i64;
        (i64::from(service.minions) - present, &service.service)
    });
    lacking.max().map(|(_, service)| service.clone())
}

/// Removes the rows of a minion that has certainly terminated.
async fn remove_minion(node: &Arc<Node>, held: HeldLease, name: &id::Minion) {
    let transaction = {
        let view = node.view.read();
        let Some(minion) = view.minions().get(name) else { return };
        let key = fleet::key::<Minion>(name);
        let ownership = fleet::key::<Ownership>(name);
        let mut transaction = fenced(Duty::Fleet, held)
            .check(Space::Fleet, &*key, view.revision(&key))
            .delete(Space::Fleet, key)
            .check(Space::Fleet, &*ownership, view.revision(&ownership))
            .delete(Space::Fleet, ownership);
        let mut disruption = view.disruption(&minion.pool);
        if disruption.out.remove(name).is_some() {
            let key = fleet::key::<Disruption>(&minion.pool);
            let revision = view.revision(&key);
            transaction = transaction.replace(Space::Fleet, key, revision, &disruption);
        }
        transaction
    };
    commit_and_refresh(node, transaction).await;
}

/// Minions that their owners have ejected as unhealthy.
fn ejected_minions(node: &Node) -> BTreeSet<id::Minion> {
    let mut ejected_minions: BTreeSet<id::Minion> =
        node.router.lock().ledger.ejected(node.clock.now()).into_iter().collect();
    for (_, peer) in node.peers.read().iter() {
        ejected_minions.extend(peer.beat.iter().flat_map(|beat| beat.ejected.iter().cloned()));
    }
    ejected_minions
}

/// The share of each service's slots in use or waited for, over all entries that answer.
fn current_utilisation(node: &Node) -> BTreeMap<id::Service, f64> {
    let mut capacities = node.router.lock().rooms(node.clock.now());
    for (_, peer) in node.peers.read().iter() {
        capacities.extend(peer.beat.iter().flat_map(|beat| beat.room.iter().cloned()));
    }
    let mut sums: BTreeMap<id::Service, (u32, u32)> = BTreeMap::new();
    for capacity in capacities {
        let sum = sums.entry(capacity.service).or_default();
        sum.0 += capacity.slots;
        sum.1 += capacity.slots - capacity.free.min(capacity.slots) + capacity.waiting;
    }
    let share = |(slots, used): (u32, u32)| f64::from(used) / f64::from(slots.max(1));
    sums.into_iter().map(|(service, sum)| (service, share(sum))).collect()
}

/// Whether a wave is neither done nor cancelled.
pub(crate) fn is_open(wave: &Wave) -> bool {
    matches!(wave.progress, Progress::Running | Progress::Paused)
}
