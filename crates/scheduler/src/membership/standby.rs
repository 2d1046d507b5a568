//! Keeps the directory up to date: publishes routes to holders, occupies and gives up standby slots,
//! and deletes the slots of lost entries.

use super::COMMIT_TIMEOUT;
use crate::clock;
use crate::directory::{Directory, Listed};
use crate::metrics::Counter;
use crate::node::{Node, View};
use crate::rows;
use celerythread_adapter::store::{Error, Name, Row, Transaction};
use celerythread_engine::job::encode;
use celerythread_engine::ownership::standby::{
    Candidate, Claims, Decision, MemberCheck, Occupied, SLOTS_PER_ZONE, is_deletion_due,
};
use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use stop_token::future::FutureExt;

/// Time between two checks of a member.
const MEMBER_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between two checks of an idle entry.
const IDLE_INTERVAL: Duration = Duration::from_millis(1000);

/// Delay after a write, until the directory's feed shows its effect.
const WRITE_INTERVAL: Duration = Duration::from_millis(300);

/// How long a holder's route may be missing before another member publishes it: a holder publishes
/// its own within some milliseconds.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a read.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// What one entry does for the directory.
pub(crate) struct Upkeep {
    node: Arc<Node>,
    claims: Claims,
    check: MemberCheck,
    /// When other members' routes were first missing, with their tokens.
    missing_routes: BTreeMap<String, (u64, Time)>,
}

/// A route to publish, with the version of the row that it replaces.
struct Publication {
    cell: String,
    route: rows::Route,
    version: u64,
}

/// A slot of a lost entry, with the version of the entry's row, 0 if it has none.
struct LostStandby {
    slot: (Name, u64),
    entry: (Name, u64),
}

impl Upkeep {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        let check = MemberCheck::new(clock::now(), rand::random());
        Self { node, claims: Claims::default(), check, missing_routes: BTreeMap::new() }
    }

    /// Maintains the directory until the node stops.
    pub(crate) async fn run(mut self) {
        let node = self.node.clone();
        loop {
            let interval = self.step().await;
            if node.directory_wake.wait(interval).timeout_at(node.stop.clone()).await.is_err() {
                return;
            }
        }
    }

    /// Does what is due; returns the time until the next step.
    pub(crate) async fn step(&mut self) -> Duration {
        self.publish_routes().await;
        if self.node.is_member() {
            self.delete_lost_standbys().await;
        }
        let check_after = match self.decide() {
            Decision::Claim { slot, version } => {
                self.claim(slot, version, None).await;
                WRITE_INTERVAL
            }
            Decision::Release { slot, version } => {
                self.release(slot, version).await;
                WRITE_INTERVAL
            }
            Decision::None { check_after } => check_after.unwrap_or(IDLE_INTERVAL),
        };
        if self.node.is_member() {
            return MEMBER_INTERVAL.min(check_after);
        }
        if self.node.take_suspicion() {
            self.check.suspect();
        }
        if self.check.due_in(clock::now()).is_zero() {
            self.check_members().await;
        }
        IDLE_INTERVAL.min(check_after).min(self.check.due_in(clock::now()))
    }

    fn decide(&mut self) -> Decision {
        let node = &self.node;
        let slots = node.directory.read().slots(&node.settings.zone, &node.entry_id);
        let me = Candidate {
            id: &node.entry_id,
            millicores: node.millicores(),
            is_unavailable: node.is_stopping() || !node.owners.read().is_empty(),
        };
        self.claims.decide(me, &slots, clock::now(), rand::random)
    }

    /// Occupies a slot, and writes this entry's row, so that no member takes it for lost.
    /// `condition` is a further row with the version that it must have.
    async fn claim(&self, slot: usize, version: u64, condition: Option<(Name, u64)>) {
        let node = &self.node;
        let Some(peer) = node.peer_address() else { return };
        let name = rows::standby(&node.settings.zone, slot);
        let version = match version {
            0 => node.directory.read().unreadable_version(&name.key),
            version => version,
        };
        let power = node.millicores();
        let standby = rows::Standby { entry: node.entry_id.clone(), peer, power };
        let (number, term) = node.begin_renewal();
        let sent = clock::now();
        let entry = super::entry_row(node, peer, number, term, sent);
        let change = Transaction {
            conditions: std::iter::once((name.clone(), version)).chain(condition).collect(),
            writes: vec![
                (name.clone(), encode(&standby)),
                (rows::entry(&node.entry_id), encode(&entry)),
            ],
            across_parts: true,
            ..Transaction::default()
        };
        if self.commit(&change, &name).await {
            node.record_renewal(sent, term, &[]);
            node.metrics.count(Counter::StandbysClaimed);
            node.journal.info("standby_claimed", &[("slot", &name.key)]);
            node.renewal_due.wake();
            node.membership_wake.wake();
        }
    }

    /// Gives a slot up.
    async fn release(&self, slot: usize, version: u64) {
        let name = rows::standby(&self.node.settings.zone, slot);
        let change = Transaction {
            conditions: vec![(name.clone(), version)],
            deletes: vec![name.clone()],
            ..Transaction::default()
        };
        if self.commit(&change, &name).await {
            self.node.journal.info("standby_released", &[("slot", &name.key)]);
        }
    }

    /// Checks whether a member of this zone still renews its row, and takes its slot if not.
    async fn check_members(&mut self) {
        let node = self.node.clone();
        let zone = node.settings.zone.clone();
        let standby = (0..SLOTS_PER_ZONE).find_map(|slot| {
            let directory = node.directory.read();
            let standby = directory.standbys.get(&(zone.clone(), slot))?;
            Some((slot, standby.value.entry.clone(), standby.version))
        });
        let Some((slot, entry, version)) = standby else {
            self.check.record_unread(clock::now());
            return;
        };
        let name = rows::entry(&entry);
        let read = node.store.get(&name.table, &name.part, &name.key, READ_TIMEOUT).await;
        node.record_store_result(&read);
        let Ok(row) = read else {
            self.check.record_unread(clock::now());
            return;
        };
        let found = row.map_or(0, |row| row.version);
        if self.check.record(&entry, found, clock::now()) {
            node.journal.warn("members_lost", &[("zone", &zone), ("entry", &entry)]);
            self.claim(slot, version, Some((name, found))).await;
        }
    }

    /// Deletes the slots of entries that fell silent.
    async fn delete_lost_standbys(&self) {
        let lost = {
            let view = self.node.view.read();
            lost_standbys(&self.node.entry_id, &view, &self.node.directory.read())
        };
        for LostStandby { slot, entry } in lost {
            let name = slot.0.clone();
            let change = Transaction {
                conditions: vec![slot, entry],
                deletes: vec![name.clone()],
                across_parts: true,
                ..Transaction::default()
            };
            if self.commit(&change, &name).await {
                self.node.journal.info("standby_deleted", &[("slot", &name.key)]);
            }
        }
    }

    /// Publishes the routes to this entry's cells, and those that other holders have not published.
    async fn publish_routes(&mut self) {
        for Publication { cell, route, version } in self.due_routes() {
            let name = rows::route(&cell);
            let change = Transaction {
                conditions: vec![(name.clone(), version)],
                writes: vec![(name.clone(), encode(&route))],
                ..Transaction::default()
            };
            self.commit(&change, &name).await;
        }
    }

    fn due_routes(&mut self) -> Vec<Publication> {
        let node = &self.node;
        let Some(peer) = node.peer_address() else { return Vec::new() };
        let view = node.view.read();
        let directory = node.directory.read();
        let version = |cell: &str| {
            let unreadable = || directory.unreadable_version(&rows::route(cell).key);
            directory.routes.get(cell).map_or_else(unreadable, |route| route.version)
        };
        let is_outdated = |cell: &str, token: u64| {
            directory.routes.get(cell).is_none_or(|route| route.value.token < token)
        };
        let owners = node.owners.read();
        let mut due: Vec<Publication> = owners
            .iter()
            .filter(|(cell, owner)| is_outdated(cell, owner.token))
            .map(|(cell, owner)| {
                let holder = node.entry_id.clone();
                let route = rows::Route { holder, peer, token: owner.token };
                Publication { cell: cell.clone(), route, version: version(cell) }
            })
            .collect();
        let now = clock::now();
        let mut missing = BTreeMap::new();
        for (cell, holding) in &view.holdings {
            let others = holding.holder != node.entry_id && is_outdated(cell, holding.version);
            let Some(row) = view.entry_rows.get(&holding.holder).filter(|_| others) else {
                continue;
            };
            let known = self.missing_routes.get(cell).filter(|known| known.0 == holding.version);
            let since = known.map_or(now, |known| known.1);
            missing.insert(cell.clone(), (holding.version, since));
            if now.since(since) >= ROUTE_TIMEOUT {
                let (holder, token) = (holding.holder.clone(), holding.version);
                let route = rows::Route { holder, peer: row.peer, token };
                due.push(Publication { cell: cell.clone(), route, version: version(cell) });
            }
        }
        self.missing_routes = missing;
        due
    }

    /// Commits a change of the directory and reads the row `name` again, whose version the answer
    /// doesn't tell; true if the change was committed.
    async fn commit(&self, change: &Transaction, name: &Name) -> bool {
        let node = &self.node;
        let committed = node.commit(change, COMMIT_TIMEOUT).await;
        match &committed {
            Ok(_) | Err(Error::Unanswered { .. } | Error::Conflict { .. }) => {}
            Err(_) => return false,
        }
        let read = node.store.get(&name.table, &name.part, &name.key, READ_TIMEOUT).await;
        node.record_store_result(&read);
        if let Ok(row) = read {
            let version = committed.as_ref().copied().unwrap_or_default();
            let deleted = Row { key: name.key.clone(), version, deleted: true, ..Row::default() };
            node.directory.write().apply(&row.unwrap_or(deleted));
        }
        committed.is_ok()
    }
}

/// The slots of lost entries that `me` should delete now.
fn lost_standbys(me: &str, view: &View, directory: &Directory) -> Vec<LostStandby> {
    let is_lost = |((zone, slot), listed): (&(String, usize), &Listed<rows::Standby>)| {
        let name = rows::standby(zone, *slot);
        let entry = listed.value.entry.as_str();
        let occupied = Occupied { slot: &name.key, entry, listed_at: listed.seen_at };
        let version = view.entries.get(entry).map_or(0, |entry| entry.version);
        is_deletion_due(occupied, me, &view.entries, view.read_at).then(|| LostStandby {
            slot: (name.clone(), listed.version),
            entry: (rows::entry(entry), version),
        })
    };
    directory.standbys.iter().filter_map(is_lost).collect()
}
