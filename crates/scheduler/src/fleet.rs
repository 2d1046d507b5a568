//! The fleet controller: maintenance of machines and their moves between pools.  One entry at a
//! time runs it, the owner of the cell `~fleet`.
//!
//! [`list`] reads the platform's machines, [`pools`] collects the pools' demand and moves machines
//! between them, [`maintenance`] runs maintenance waves.  The three run concurrently over one
//! [`State`], which records which of them plans with a machine, so that none waits for another's
//! calls.  When they ran in one sequential loop, a wave of 583 machines, with two rows and one
//! order each, delayed every move by eight seconds while two pools of callers had almost no
//! machines.
//!
//! A machine is emptied before it is moved or goes down ([`emptying`]).  A row in the store names
//! it for as long as nothing may be started on it, so that each later owner of its service's cell
//! knows.  During an outage of the store, the owner's permission replaces the row of a machine that
//! is moved ([`without_store`]).

pub(crate) mod emptying;
pub(crate) mod list;
mod log_limiter;
pub(crate) mod maintenance;
pub(crate) mod pools;
mod without_store;

use crate::clock;
use crate::node::Node;
use crate::owner::Owner;
use crate::rows;
use celerythread_adapter::machine::{self, Issuer, Refusal};
use celerythread_engine::pools::Load;
use celerythread_engine::release::{Basis, Standing, Unrecorded};
use celerythread_engine::time::Time;
use celerythread_engine::{maintenance as maintenance_plan, pools as pool_plan};
use celerythread_sync::Wake;
use futures::StreamExt;
use list::MachineList;
use parking_lot::Mutex;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for one call to the store or to the platform.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Delay before a failed read of the stored state is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Greatest age of a reported demand that is still used for planning.  A lost owner is replaced
/// within that time, and the stored rows still name the machines that are being emptied.
const MAX_LOAD_AGE: Duration = Duration::from_millis(2000);

/// Maximum number of times that the pools' demand is polled in a second.  Each time, a pool may be
/// given its share of the orders that the platform accepts in a second.
const LOAD_POLLS_PER_S: f64 = 4.0;

/// Maximum number of concurrent orders.  An answer takes some 5 ms, so this allows more orders in a
/// second than the platform accepts, and needs no more connections than are kept open.
const MAX_CONCURRENT_ORDERS: usize = 16;

/// The fleet controller, while this entry runs it.
pub(crate) struct Controller {
    pub(crate) owner: Arc<Owner>,
    pub(crate) client: machine::Client,
    /// Locked after the entry's view, and never held across a call.
    pub(crate) state: Mutex<State>,
    /// Woken when an owner has reported its demand, or the request for it has failed.
    pub(crate) load_answered: Wake,
}

/// What the fleet controller knows and plans.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) waves: maintenance_plan::Planner,
    pub(crate) pools: pool_plan::Planner,
    pub(crate) list: MachineList,
    /// The demand that each pool's owner reported last.
    pub(crate) loads: BTreeMap<String, Load>,
    /// When that demand was requested.
    load_asked_at: BTreeMap<String, Time>,
    /// Minions whose emptying was written recently, and when.
    emptying_written_at: BTreeMap<String, Time>,
    /// Pools whose owners have not answered yet.
    pub(crate) awaited_loads: BTreeSet<String>,
    /// Machines whose maintenance has begun but is not stored yet, with their wave.
    pub(crate) unsaved_starts: BTreeSet<(u64, String)>,
    /// Machines whose emptying rows are being deleted.
    pub(crate) deleting_rows: BTreeSet<String>,
    /// Machines for which an order may have been given, by this holder or the former one, and
    /// until when nobody else may give one.
    ///
    /// Where the platform doesn't compare fencing tokens, orders of two alternating holders for one
    /// machine within the lease would break the guarantee of a single holder.  The machine's row is
    /// written before each order and stays for the lease.  So a new holder knows exactly which
    /// machines it must not order yet, and can order all others at once; waiting out the lease for
    /// all of them would take most of a burst.
    order_leases: BTreeMap<String, Time>,
    /// Machines that are emptied, or were ordered, without a row.
    pub(crate) unrecorded: Unrecorded<emptying::Target>,
    /// Permissions for orders without the store.
    pub(crate) permits: without_store::Permits,
    /// When the last turn began, in milliseconds since the Unix epoch.
    pub(crate) turn_began_ms: u64,
    /// Whether that is not stored yet.
    pub(crate) has_unsaved_turns: bool,
}

impl State {
    /// Whether an order may have been given for a machine within the lease.
    pub(crate) fn has_recent_order(&self, machine: &str) -> bool {
        self.order_leases.get(machine).is_some_and(|until| clock::now() < *until)
    }

    /// Whether a move or a wave is about to order a machine.
    pub(crate) fn is_planned(&self, machine: &str) -> bool {
        self.pools.is_pending(machine) || self.waves.is_emptying(machine)
    }

    /// Records the demand that a pool's owner reported, requested at `asked`.  Ignores an answer
    /// to an older request than the last one recorded.
    pub(crate) fn record_load(&mut self, pool: String, load: Load, asked: Time) {
        if self.load_asked_at.get(&pool).is_none_or(|known| *known <= asked) {
            self.load_asked_at.insert(pool.clone(), asked);
            self.loads.insert(pool, load);
        }
    }

    /// Records that a minion's emptying has just been written.
    pub(crate) fn record_emptying(&mut self, minion: &str) {
        self.emptying_written_at.insert(minion.into(), clock::now());
    }

    /// Minions that are to be emptied and are empty.
    ///
    /// Counts only reports requested after the emptying was written.  An earlier row may have been
    /// deleted and written again, and a task started in between.
    pub(crate) fn empty_minions(&self) -> BTreeSet<String> {
        let mut empty = BTreeSet::new();
        for (pool, load) in &self.loads {
            let asked = self.load_asked_at.get(pool);
            let is_reported_since = |minion: &&String| {
                self.emptying_written_at.get(*minion).is_none_or(|at| asked > Some(at))
            };
            empty.extend(load.empty.iter().filter(is_reported_since).cloned());
        }
        empty
    }

    /// Minions that accept no tasks, as their owners reported.
    pub(crate) fn unavailable_minions(&self) -> HashSet<&str> {
        self.loads.values().flat_map(|load| &load.unavailable).map(String::as_str).collect()
    }

    /// Removes demand that is older than [`MAX_LOAD_AGE`].
    pub(crate) fn expire_loads(&mut self) {
        let now = clock::now();
        self.load_asked_at.retain(|_, at| now.since(*at) < MAX_LOAD_AGE);
        self.loads.retain(|pool, _| self.load_asked_at.contains_key(pool));
        // All demand that is left was requested after these were written.
        self.emptying_written_at.retain(|_, at| now.since(*at) < MAX_LOAD_AGE);
    }

    /// Reverts [`Controller::record_order`] for an order that was refused before anything was done.
    pub(crate) fn revert_order(&mut self, machine: &str) {
        self.order_leases.remove(machine);
        self.waves.record_refusal(machine);
    }

    /// Removes orders whose lease has expired.
    pub(crate) fn expire_order_leases(&mut self) {
        let now = clock::now();
        self.order_leases.retain(|_, until| now < *until);
    }
}

/// Runs the controller until this entry loses the cell.
pub(crate) async fn run(owner: Arc<Owner>) {
    let node = owner.node.clone();
    let Some(client) = node.machines.clone() else { return };
    let settings = maintenance_plan::Settings {
        duration: node.settings.maintenance_duration.0,
        ..maintenance_plan::Settings::default()
    };
    let state = State {
        waves: maintenance_plan::Planner::new(settings),
        pools: pool_plan::Planner::new(pool_plan::Settings {
            max_moves_per_pool: (node.settings.orders_per_s / LOAD_POLLS_PER_S).max(1.0) as usize,
            share_by_urgency: node.settings.share_by_urgency,
            expect_equal_peaks: node.settings.expect_equal_peaks,
            ..pool_plan::Settings::default()
        }),
        ..State::default()
    };
    let state = Mutex::new(state);
    let controller = Arc::new(Controller {
        owner: owner.clone(),
        client,
        state,
        load_answered: Wake::default(),
    });
    while !controller.restore().await {
        if !owner.pause(RETRY_DELAY).await {
            return;
        }
    }
    futures::join!(
        list::read_forever(&controller),
        pools::move_forever(&controller),
        maintenance::run_forever(&controller)
    );
}

impl Controller {
    /// The entry's shared state.
    pub(crate) fn node(&self) -> &Node {
        &self.owner.node
    }

    /// Reads the state that a former holder stored; true on success.
    async fn restore(&self) -> bool {
        let node = self.node();
        let rows =
            node.store.read_partition(rows::CONTROL, "", rows::EMPTYING_PREFIX, CALL_TIMEOUT).await;
        node.record_store_result(&rows);
        let Ok(rows) = rows else { return false };
        for row in &rows.rows {
            if let Some(machine) = row.key.strip_prefix(rows::EMPTYING_PREFIX) {
                self.record_order(machine);
            }
        }
        pools::restore(self).await && maintenance::restore(self).await
    }

    /// Records that an order for a machine is about to be given, or may have been.
    pub(crate) fn record_order(&self, machine: &str) {
        let lease = self.node().settings.maintenance_lease.0 + CALL_TIMEOUT / 4;
        self.state.lock().order_leases.insert(machine.into(), clock::now() + lease);
    }

    /// What this holder may do now.
    pub(crate) fn standing(&self) -> Standing {
        let node = self.node();
        Standing {
            is_stopped: self.owner.is_stopped() || node.is_stopping(),
            renewal_age: node.since_renewal(),
            outage: node.outage_duration(),
            max_outage: node.settings.order_alone.0,
        }
    }

    /// Whether this holder may give orders for machines with rows now.
    pub(crate) fn may_order(&self) -> bool {
        self.standing().basis() == Some(Basis::Row)
    }

    /// Records orders of a former holder for machines that are listed as moving.
    ///
    /// One ordered during an outage of the store has no row.  Once it has arrived, this holder must
    /// not order it before the lease of that order has expired.
    pub(crate) fn record_foreign_moves(&self) {
        if self.node().settings.order_alone.0.is_zero() {
            return;
        }
        let foreign: Vec<String> = {
            let state = self.state.lock();
            let is_foreign = |machine: &&machine::Machine| {
                machine.state == machine::State::Moving
                    && !state.pools.is_moving(&machine.name)
                    && !state.order_leases.contains_key(&machine.name)
            };
            let machines = state.list.machines.iter().filter(is_foreign);
            machines.map(|machine| machine.name.clone()).collect()
        };
        foreign.iter().for_each(|machine| self.record_order(machine));
    }

    /// The holder and fencing token that orders carry.
    pub(crate) fn authority(&self) -> Issuer {
        Issuer { holder: self.node().entry_id.clone(), token: self.owner.token }
    }
}

/// Runs orders concurrently, at most [`MAX_CONCURRENT_ORDERS`] at once.
pub(crate) async fn order_all(orders: impl Iterator<Item = impl Future<Output = ()>>) {
    futures::stream::iter(orders)
        .buffer_unordered(MAX_CONCURRENT_ORDERS)
        .for_each(|()| async {})
        .await;
}

/// The outcome of an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// It was carried out.
    Done,
    /// Nothing was done, and it can be retried.
    Deferred,
    /// Nothing was done, and a retry is of no use now.
    Refused,
    /// It is not known whether it was carried out.
    Unknown,
}

impl OrderOutcome {
    /// The outcome that an answer stands for, and its text for the log.
    pub(crate) fn from_answer(
        answer: Result<Result<(), Refusal>, celerythread_adapter::Failure>,
    ) -> (Self, String) {
        match answer {
            Ok(Ok(())) => (Self::Done, "done".to_owned()),
            Ok(Err(Refusal::Rate | Refusal::Unavailable)) => (Self::Deferred, "put off".to_owned()),
            Ok(Err(reason)) => (Self::Refused, reason.to_string()),
            Err(failure) => (Self::Unknown, failure.to_string()),
        }
    }
}
