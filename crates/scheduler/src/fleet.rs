//! The duty for the whole fleet: machines' maintenance and their pools, one entry at a time.
//!
//! [`list`] reads the platform's machines, [`pools`] asks the pools for their demand and moves
//! machines between them, [`maintenance`] carries waves.  The three run beside each other over one
//! [`State`], which says whose machine is whose, so that none waits for another's calls.  In one loop
//! after the other, a wave of 583 machines, at two rows and an order each, kept every move waiting for
//! eight seconds while two pools of callers had next to nothing.
//!
//! A machine is emptied before it is moved or goes down ([`emptying`]): a row names it for as long as
//! nothing may be started on it, whoever owns its service's cell meanwhile.

pub(crate) mod emptying;
pub(crate) mod list;
pub(crate) mod maintenance;
pub(crate) mod pools;
mod telling;

use crate::clock;
use crate::node::Node;
use crate::owner::Owner;
use crate::rows;
use celerythread_adapter::machine::{self, Issuer, Refusal};
use celerythread_engine::pools::Load;
use celerythread_engine::time::Time;
use celerythread_engine::{maintenance as maintenance_plan, pools as pool_plan};
use celerythread_sync::Wake;
use futures::StreamExt;
use list::MachineList;
use parking_lot::Mutex;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a call.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(1000);

/// Pause before something that failed is tried again.
const RETRY: Duration = Duration::from_millis(500);

/// A holder whose last renewal is older gives no order: another one may take over when it has
/// been silent for the takeover time, and then waits the lease before its own orders.
const FRESH_RENEWAL: Duration = Duration::from_millis(1500);

/// Age of a demand after which it isn't planned with any more: an owner that is lost is replaced within
/// that time, and the rows keep what was emptied.
const LOAD_AGE: Duration = Duration::from_millis(2000);

/// Looks at the pools' demand in a second, at most; each pool may be given its share of the orders that
/// the platform takes in a second.
const LOOKS_PER_S: f64 = 4.0;

/// Orders under way at once.  An answer takes some 5 ms, so this many are more than the platform takes in
/// a second, and few enough for the connections that are kept open.
const ORDERS_AT_ONCE: usize = 16;

/// The duty in the hands of this entry.
pub(crate) struct Fleet {
    pub(crate) owner: Arc<Owner>,
    pub(crate) client: machine::Client,
    /// Locked after the entry's view, and never across a call.
    pub(crate) state: Mutex<State>,
    /// Woken when an owner has told its demand, or won't.
    pub(crate) answered: Wake,
}

/// What the holder of the duty knows and plans.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) waves: maintenance_plan::Planner,
    pub(crate) pools: pool_plan::Planner,
    pub(crate) list: MachineList,
    /// What each pool's owner told last.
    pub(crate) loads: BTreeMap<String, Load>,
    /// When it was asked for that.
    asked: BTreeMap<String, Time>,
    /// Minions named lately as to be emptied, and when that was written.
    named: BTreeMap<String, Time>,
    /// Pools whose owners are being asked.
    pub(crate) asking: BTreeSet<String>,
    /// Machines whose maintenance has begun and is not kept yet, with their wave.
    pub(crate) unkept: BTreeSet<(u64, String)>,
    /// Machines whose rows are being dropped.
    pub(crate) dropping: BTreeSet<String>,
    /// Machines for which an order may have been given, by this holder or the former one, and
    /// until when nobody else may give one.
    ///
    /// Where the platform doesn't compare tokens, two holders that take turns on a machine within
    /// the lease would break the promise of one holder.  Each order is preceded by the machine's
    /// row and the row stays for the lease, so a new holder knows exactly which machines to leave
    /// alone, and can order all others at once: in a burst, a pause of the lease would be most of
    /// it.
    ordered: BTreeMap<String, Time>,
}

impl State {
    /// Whether a machine must be left alone: somebody may have given an order for it lately.
    pub(crate) fn is_held_back(&self, machine: &str) -> bool {
        self.ordered.get(machine).is_some_and(|until| clock::now() < *until)
    }

    /// Whether either duty is about to order a machine.
    pub(crate) fn is_planned(&self, machine: &str) -> bool {
        self.pools.is_pending(machine) || self.waves.is_emptying(machine)
    }

    /// Takes in what a pool's owner tells, asked at `asked`.
    pub(crate) fn note_load(&mut self, pool: String, load: Load, asked: Time) {
        if self.asked.get(&pool).is_none_or(|known| *known <= asked) {
            self.asked.insert(pool.clone(), asked);
            self.loads.insert(pool, load);
        }
    }

    /// Notes that it is written of a minion that it is to be emptied.
    pub(crate) fn note_named(&mut self, minion: &str) {
        self.named.insert(minion.into(), clock::now());
    }

    /// Minions that are to be emptied and are empty.
    ///
    /// Only an owner that was asked since it was written can tell that a minion stays empty: its row may
    /// have been dropped and written again, and a task started in between.
    pub(crate) fn empty_minions(&self) -> BTreeSet<String> {
        let mut empty = BTreeSet::new();
        for (pool, load) in &self.loads {
            let asked = self.asked.get(pool);
            let tells =
                |minion: &&String| self.named.get(*minion).is_none_or(|at| asked > Some(at));
            empty.extend(load.empty.iter().filter(tells).cloned());
        }
        empty
    }

    /// Forgets the demand of pools whose owners have been silent for too long.
    pub(crate) fn forget_loads(&mut self) {
        let now = clock::now();
        self.asked.retain(|_, at| now.since(*at) < LOAD_AGE);
        self.loads.retain(|pool, _| self.asked.contains_key(pool));
        // Whatever is still known was asked for since these were written.
        self.named.retain(|_, at| now.since(*at) < LOAD_AGE);
    }

    /// Takes back that an order was given: it was refused before anything was done.
    pub(crate) fn release_order(&mut self, machine: &str) {
        self.ordered.remove(machine);
        self.waves.put_off(machine);
    }

    /// Machines whose lease of orders is over are anybody's again.
    pub(crate) fn forget_orders(&mut self) {
        let now = clock::now();
        self.ordered.retain(|_, until| now < *until);
    }
}

/// Carries the duty until it is lost.
pub(crate) async fn carry(owner: Arc<Owner>) {
    let node = owner.node.clone();
    let Some(client) = node.machines.clone() else { return };
    let settings = maintenance_plan::Settings {
        duration: node.settings.maintenance_duration.0,
        ..maintenance_plan::Settings::default()
    };
    let state = State {
        waves: maintenance_plan::Planner::new(settings),
        pools: pool_plan::Planner::new(pool_plan::Settings {
            at_once: (node.settings.orders_per_s / LOOKS_PER_S).max(1.0) as usize,
            ..pool_plan::Settings::default()
        }),
        ..State::default()
    };
    let state = Mutex::new(state);
    let fleet = Arc::new(Fleet { owner: owner.clone(), client, state, answered: Wake::default() });
    while !fleet.load().await {
        if !owner.pause(RETRY).await {
            return;
        }
    }
    futures::join!(
        list::read_forever(&fleet),
        pools::move_forever(&fleet),
        maintenance::carry_forever(&fleet)
    );
}

impl Fleet {
    /// The entry's shared parts.
    pub(crate) fn node(&self) -> &Node {
        &self.owner.node
    }

    /// Reads what a former holder kept; true if it is read.
    async fn load(&self) -> bool {
        let node = self.node();
        let rows =
            node.store.read_partition(rows::CONTROL, "", rows::EMPTYING_PREFIX, CALL_LIMIT).await;
        node.store_result(&rows);
        let Ok(rows) = rows else { return false };
        for row in &rows.rows {
            if let Some(machine) = row.key.strip_prefix(rows::EMPTYING_PREFIX) {
                self.note_order(machine);
            }
        }
        pools::load(self).await && maintenance::load(self).await
    }

    /// Notes that an order for a machine is about to be given, or may have been.
    pub(crate) fn note_order(&self, machine: &str) {
        let lease = self.node().settings.maintenance_lease.0 + CALL_LIMIT / 4;
        self.state.lock().ordered.insert(machine.into(), clock::now() + lease);
    }

    /// Whether this holder may give an order for a machine now.
    pub(crate) fn may_order(&self) -> bool {
        let node = self.node();
        let stops = self.owner.is_stopped() || node.is_stopping();
        !stops && node.since_renewal() <= FRESH_RENEWAL
    }

    /// In whose name orders are given.
    pub(crate) fn authority(&self) -> Issuer {
        Issuer { holder: self.node().me.clone(), token: self.owner.token }
    }
}

/// Gives orders, some at a time.
pub(crate) async fn order_all(orders: impl Iterator<Item = impl Future<Output = ()>>) {
    futures::stream::iter(orders).buffer_unordered(ORDERS_AT_ONCE).for_each(|()| async {}).await;
}

/// What became of an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ordered {
    /// It was carried out.
    Done,
    /// Nothing was done, and it can be given again.
    PutOff,
    /// Nothing was done, and giving it again is of no use now.
    Refused,
    /// Nobody knows.
    Unknown,
}

impl Ordered {
    /// What an answer says, with a word for the log.
    pub(crate) fn read(
        answer: Result<Result<(), Refusal>, celerythread_adapter::Failure>,
    ) -> (Self, String) {
        match answer {
            Ok(Ok(())) => (Self::Done, "done".to_owned()),
            Ok(Err(Refusal::Rate | Refusal::Unavailable)) => (Self::PutOff, "put off".to_owned()),
            Ok(Err(reason)) => (Self::Refused, reason.to_string()),
            Err(failure) => (Self::Unknown, failure.to_string()),
        }
    }
}
