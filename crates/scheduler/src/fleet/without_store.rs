//! Moves while the store is unavailable: permissions of the owners in place of rows, and the rows
//! that are written once the store answers again.

use super::emptying::{self, Target};
use super::{Controller, State};
use crate::clock;
use crate::peers;
use celerythread_engine::time::Time;
use celerythread_wire::job::{Answer, Question};
use futures::future::join_all;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the owners' answers before machines are ordered by those that arrived: both
/// rounds of questions with ten times the usual round trip each.  Later answers are received in the
/// background.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time that an owner gets to poll idle minions before it is asked again in the same step.  The next
/// step is too late for an answer of theirs: it comes after 620 ms where there are 31 pools.
const POLL_TIME: Duration = Duration::from_millis(60);

/// Number of times that an owner is asked in a step.
const ROUNDS: usize = 2;

/// Permissions that the owners have given, and the requests for them.
#[derive(Default)]
pub(crate) struct Permits {
    /// When the latest permission for each minion was requested.
    asked_at: BTreeMap<String, Time>,
    /// Pools whose owners have not answered yet.
    awaited: BTreeSet<String>,
}

impl Permits {
    /// How long ago the permission for a minion's machine was requested; `None` without one.
    pub(crate) fn age(&self, minion: Option<&String>, now: Time) -> Option<Duration> {
        self.asked_at.get(minion?).map(|asked| now.since(*asked))
    }

    /// Records permissions requested at `asked`.
    fn record(&mut self, minions: Vec<String>, asked: Time) {
        for minion in minions {
            let latest = self.asked_at.entry(minion).or_insert(asked);
            *latest = asked.max(*latest);
        }
    }
}

/// Requests permissions for the orders of machines without a row, and that these are kept empty,
/// including those that may have been ordered; with `is_for_all`, also for all other machines that
/// are to be ordered.  Waits up to [`ANSWER_TIMEOUT`].
///
/// An owner forgets a request without a row after some time, so this is repeated in each step.
pub(crate) async fn request_permissions(controller: &Arc<Controller>, is_for_all: bool) {
    let by_pool = machines_to_ask_for(&mut controller.state.lock(), is_for_all);
    let asks = by_pool.into_iter().map(|(pool, machines)| {
        async_std::task::spawn(request_permission(controller.clone(), pool, machines))
    });
    // A dropped task goes on in the background.
    let _ = async_std::future::timeout(ANSWER_TIMEOUT, join_all(asks)).await;
}

/// Machines with their minions, by pool, whose owners are to be asked now.
fn machines_to_ask_for(
    state: &mut State,
    is_for_all: bool,
) -> BTreeMap<String, Vec<(String, String)>> {
    let minions: BTreeMap<&str, &str> = state
        .list
        .machines
        .iter()
        .filter_map(|machine| Some((machine.name.as_str(), machine.minion.as_deref()?)))
        .collect();
    let pending = state.pools.pending().filter(|_| is_for_all).filter_map(|plan| {
        Some((plan.machine.as_str(), plan.from.as_str(), plan.minion.as_deref()?))
    });
    // A machine that has left needs no further request.
    let is_present = |target: &&Target| minions.get(&*target.machine) == Some(&&*target.minion);
    let unrecorded = state.unrecorded.targets().filter(is_present);
    let unrecorded = unrecorded.map(|target| (&*target.machine, &*target.pool, &*target.minion));
    let mut by_pool: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    for (machine, pool, minion) in pending.chain(unrecorded) {
        if !state.permits.awaited.contains(pool) {
            by_pool.entry(pool.into()).or_default().insert(machine.into(), minion.into());
        }
    }
    let now = clock::now();
    state.permits.awaited.extend(by_pool.keys().cloned());
    state.permits.asked_at.retain(|_, asked| now.since(*asked) < super::MAX_LOAD_AGE);
    by_pool.into_iter().map(|(pool, machines)| (pool, machines.into_iter().collect())).collect()
}

/// Asks an owner for permissions, and once more for those that it didn't give: it polls these
/// minions meanwhile.
async fn request_permission(
    controller: Arc<Controller>,
    pool: String,
    mut machines: Vec<(String, String)>,
) {
    for round in 0..ROUNDS {
        if round > 0 {
            async_std::task::sleep(POLL_TIME).await;
        }
        let asked = clock::now();
        let question = Question::Release {
            service: pool.clone(),
            machines: machines.clone(),
            token: controller.owner.token,
            without_row: true,
        };
        let answer = peers::ask_owner(controller.node(), &pool, question).await;
        let Some(Answer::Released { permitted }) = answer else { break };
        machines.retain(|(_, minion)| !permitted.contains(minion));
        controller.state.lock().permits.record(permitted, asked);
        if machines.is_empty() {
            break;
        }
    }
    controller.state.lock().permits.awaited.remove(&pool);
}

/// Cancels the moves of machines without rows that have not been ordered, once the outage has
/// lasted too long, so that the machines are used again.
pub(crate) fn cancel_moves(controller: &Controller) {
    let mut state = controller.state.lock();
    let targets = state.unrecorded.targets().map(|target| target.machine.clone());
    let machines: Vec<String> = targets.filter(|name| state.pools.is_pending(name)).collect();
    for machine in machines {
        state.pools.cancel_move(&machine);
        state.unrecorded.cancel(&machine);
        controller.node().journal.info("move_given_up", &[("machine", &machine)]);
    }
}

/// Writes the rows of machines that were emptied or ordered without them; true if none is left.
///
/// A renewal after the last order must show first that this entry still holds the cell.
pub(crate) async fn write_rows(controller: &Controller) -> bool {
    let renewed_at = clock::now() - controller.node().since_renewal();
    let targets: Vec<Target> = {
        let state = controller.state.lock();
        if state.unrecorded.is_empty() {
            return true;
        }
        if !state.unrecorded.may_record(renewed_at) {
            return false;
        }
        state.unrecorded.targets().cloned().collect()
    };
    let machines: Vec<String> = targets.iter().map(|target| target.machine.clone()).collect();
    let unwritten = emptying::request(controller, targets).await;
    let written = machines.iter().filter(|machine| !unwritten.contains(*machine));
    let count = written.clone().count();
    controller.state.lock().unrecorded.record_rows(written);
    let left = unwritten.len();
    controller.node().journal.info("moves_recorded", &[("machines", &count), ("left", &left)]);
    unwritten.is_empty()
}
