//! Leases that an owner grants to the runs of one minion, and the fencing token of its calls.

use crate::clock;
use crate::owner::Owner;
use celerythread_engine::cell::{Incarnation, MinionId};
use celerythread_engine::lease::{self, Answer, Terms};
use celerythread_engine::time::Time;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The grants on all minions of a cell.  They outlast their supervisors, because the minion remembers
/// the token, and calls of a former supervisor may still be executed.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    minions: Mutex<BTreeMap<MinionId, Arc<Grants>>>,
    /// The latest version of the store at which the owner is known to have held its cell.
    held_version: AtomicU64,
}

/// The grants on one minion.
#[derive(Debug)]
pub(crate) struct Grants {
    minion: MinionId,
    state: Mutex<lease::Grants>,
}

/// What an answer shows about its minion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    /// The minion's time.
    pub(crate) clock_ms: u64,
    /// The fencing token of the call.
    pub(crate) token: u64,
    /// When the call was sent.
    pub(crate) sent: Time,
    /// The incarnation that answered, if the answer names it.
    pub(crate) incarnation: Option<Incarnation>,
}

impl Registry {
    /// The grants on a minion.
    pub(crate) fn of(&self, owner: &Owner, minion: &MinionId) -> Arc<Grants> {
        let mut grants = self.minions.lock();
        let new = || {
            let settings = &owner.node.settings;
            let terms = Terms { term: settings.run_lease.0, limit: settings.lease_limit.0 };
            let state = lease::Grants::new(terms, owner.token, owner.generation > 0);
            Arc::new(Grants { minion: minion.clone(), state: Mutex::new(state) })
        };
        grants.entry(minion.clone()).or_insert_with(new).clone()
    }

    /// Records a version of the store at which the owner still held its cell, and uses it as the
    /// fencing token of minions that have restarted.
    pub(crate) fn record_held(&self, owner: &Owner, version: u64) {
        self.held_version.fetch_max(version, Ordering::SeqCst);
        let minions: Vec<Arc<Grants>> = self.minions.lock().values().cloned().collect();
        minions.iter().for_each(|grants| grants.raise_token(owner));
    }
}

impl Grants {
    /// Raises the fencing token if the minion has restarted.
    fn raise_token(&self, owner: &Owner) {
        let version = owner.grants.held_version.load(Ordering::SeqCst);
        if self.state.lock().raise_token(version) {
            owner.node.journal.info(
                "minion_token_raised",
                &[("minion", &self.minion), ("token", &version), ("cell", &owner.token)],
            );
        }
    }

    /// The fencing token for a call to the minion.
    pub(crate) fn token(&self) -> u64 {
        self.state.lock().token()
    }

    /// The lease deadline to send to the minion, recorded in the cell beforehand; none while leases
    /// must not be extended or its clock is unknown.
    pub(crate) fn next_deadline(&self, owner: &Owner) -> Option<u64> {
        if !owner.node.may_extend_leases() || owner.is_stopped() {
            return None;
        }
        let grant = self.state.lock().next(clock::now())?;
        owner.with(|cell| cell.extend_lease_expiry(&self.minion, grant.expiry));
        Some(grant.deadline_ms)
    }

    /// Records an answer; false if it shows that calls to a former incarnation of the minion may still
    /// be executed.
    ///
    /// In that case, their deadlines on the former clock are shortened to the lease limit, so leases
    /// are assumed to last that long.
    pub(crate) fn record_answer(&self, owner: &Owner, reading: Reading) -> bool {
        let Reading { clock_ms, token, sent, incarnation } = reading;
        let (received, age) = (clock::now(), incarnation.map(age));
        let answer = Answer { clock_ms, token, sent, received, incarnation, age };
        let Some(until) = self.state.lock().record_answer(&answer) else { return true };
        owner.with(|cell| cell.extend_lease_expiry(&self.minion, until));
        self.raise_token(owner);
        let left = until.since(received);
        owner.node.journal.info(
            "lease_uncertain",
            &[
                ("minion", &self.minion),
                ("incarnation", &incarnation.map_or(0, |incarnation| incarnation.0)),
                ("clock_ms", &clock_ms),
                ("token", &token),
                ("left_ms", &left.as_millis()),
            ],
        );
        false
    }
}

/// The age of an incarnation, by the clocks of its machine and of this entry; zero if it seems to have
/// begun later than now.
pub(crate) fn age(incarnation: Incarnation) -> Duration {
    Duration::from_millis(clock::wall_ms().saturating_sub(incarnation.0))
}
