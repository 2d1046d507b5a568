//! Supervision of one minion: polls it, extends its leases, and sends it orders.
//!
//! [`orders`] sends the orders.

mod orders;

use crate::clock;
use crate::metrics::Counter;
use crate::owner::grant::{Grants, Reading};
use crate::owner::starts::Unanswered;
use crate::owner::{Owner, calls, dispatch, persist};
use crate::rows;
use celerythread_adapter::Failure;
use celerythread_adapter::minion::{Hold, Reply, Session, Target};
use celerythread_adapter::store::{Name, Transaction};
use celerythread_engine::cell::{Incarnation, Minion, MinionId, Order, Report};
use celerythread_engine::job::encode;
use celerythread_engine::time::Time;
use celerythread_sync::Wake;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a poll waits for a run to end while something runs.  It bounds the age of the reported
/// progress.
const MAX_POLL_WAIT: Duration = Duration::from_millis(1000);

/// Shortest time between two polls of a minion on which nothing runs.
const MIN_IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1500);

/// Idle poll interval for each minion of the cell, if that is longer: at most 170 such polls a
/// second, which take a tenth of a core.  At 600 minions, which a pool has in its turn, 400 a
/// second took half of what the strongest entries have.
const IDLE_POLL_INTERVAL_PER_MINION: Duration = Duration::from_millis(6);

/// Longest wait for an answer beyond the wait that was asked for.  Round trips take some 6 ms, and
/// ten times that on an instance that is slowed down.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay of this entry's timers up to which a poll without an answer tells when the minion had
/// stopped answering.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);

/// Pause after a poll without an answer.
const MISSED_POLL_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for ended runs to be persisted before polling anyway.
const MAX_PERSIST_WAIT: Duration = Duration::from_millis(500);

/// The owner's state of one supervised minion.
pub(crate) struct Supervisor {
    target: Target,
    orders: orders::Queues,
    /// Wakes the polling task.
    pub(crate) poll_wake: Wake,
    pub(crate) grants: Arc<Grants>,
}

impl Supervisor {
    /// Whether this supervisor has not been replaced or removed.
    fn is_current(&self, owner: &Owner) -> bool {
        let supervisors = owner.supervisors.lock();
        supervisors.get(&self.target.id).is_some_and(|now| std::ptr::eq(now.as_ref(), self))
    }

    /// Whether orders to the minion may still be sent.
    fn may_send_orders(&self, owner: &Owner) -> bool {
        !owner.is_stopped() && self.is_current(owner)
    }

    /// Queues an order, and polls soon for its effect; false if nobody carries it out any more.
    pub(crate) fn order(&self, order: Order, unanswered: Option<Unanswered>) -> bool {
        let queued = self.orders.push(order, unanswered);
        self.poll_wake.wake();
        queued
    }
}

/// Supervises each minion of the cell, after the roster that lists it is written: a later owner
/// must know where something may run.  False if the roster could not be written, so that some
/// minions have no supervisor.
pub(crate) async fn sync_supervisors(owner: &Arc<Owner>) -> bool {
    let wanted: Vec<MinionId> = owner
        .with(|cell| cell.minions().map(|minion| minion.id.clone()).collect())
        .unwrap_or_default();
    poll_restarted(owner);
    let fresh = unsupervised(owner, &wanted);
    if fresh.is_empty() {
        return true;
    }
    let has_unlisted = {
        let roster = owner.roster.lock();
        fresh.iter().any(|id| !roster.contains(id))
    };
    if has_unlisted && !write_roster(owner, &wanted).await {
        return false;
    }
    for id in fresh {
        let address = owner.node.minions.read().get(&id).map(|entry| entry.address);
        if let Some(address) = address {
            supervise(owner, id, address);
        }
    }
    true
}

/// Minions without a supervisor at their listed address.  The address can change in a restart.
fn unsupervised(owner: &Owner, wanted: &[MinionId]) -> Vec<MinionId> {
    let minions = owner.node.minions.read();
    let supervisors = owner.supervisors.lock();
    let is_supervised = |id: &MinionId| {
        let listed = minions.get(id).map(|entry| entry.address);
        let supervised = supervisors.get(id).map(|supervisor| supervisor.target.address);
        supervised.is_some_and(|supervised| listed.is_none_or(|listed| listed == supervised))
    };
    wanted.iter().filter(|id| !is_supervised(id)).cloned().collect()
}

/// Wakes the polls of minions whose listed incarnation differs from the one that answered last.
/// Nothing is started on them until both agree.
fn poll_restarted(owner: &Owner) {
    let restarted = |minion: &&Minion| !minion.has_current_listing();
    let ids: Vec<MinionId> = owner
        .with(|cell| cell.minions().filter(restarted).map(|minion| minion.id.clone()).collect())
        .unwrap_or_default();
    let supervisors = owner.supervisors.lock();
    ids.iter()
        .filter_map(|id| supervisors.get(id))
        .for_each(|supervisor| supervisor.poll_wake.wake());
}

async fn write_roster(owner: &Arc<Owner>, minions: &[MinionId]) -> bool {
    let roster = rows::Roster { minions: minions.iter().map(|id| id.to_string()).collect() };
    let name = Name::new(rows::JOBS, &owner.service, rows::ROSTER_KEY);
    let change = Transaction { writes: vec![(name, encode(&roster))], ..Transaction::default() };
    let written = persist::commit_fenced(owner, change).await;
    if written {
        *owner.roster.lock() = minions.iter().cloned().collect::<BTreeSet<_>>();
    }
    written
}

fn supervise(owner: &Arc<Owner>, id: MinionId, address: SocketAddr) {
    let supervisor = Arc::new(Supervisor {
        target: Target { address, id: id.clone() },
        orders: orders::Queues::default(),
        poll_wake: Wake::default(),
        grants: owner.grants.of(owner, &id),
    });
    let former = owner.supervisors.lock().insert(id, supervisor.clone());
    if let Some(former) = former {
        former.poll_wake.wake();
    }
    orders::start_senders(owner, &supervisor);
    async_std::task::spawn(poll_forever(owner.clone(), supervisor));
}

/// Polls a minion until it needs no supervision any more or the cell is lost.
async fn poll_forever(owner: Arc<Owner>, supervisor: Arc<Supervisor>) {
    use stop_token::future::FutureExt;
    let stopped = owner.stopped.clone();
    let polling = async {
        let mut session = Session::default();
        let mut missed = false;
        while let Some(next) = next_poll(&owner, &supervisor, &session).await {
            missed = !poll_with_retry(&owner, &supervisor, &mut session, next, missed).await;
            if missed {
                async_std::task::sleep(MISSED_POLL_PAUSE).await;
            }
        }
    };
    let _ = polling.timeout_at(stopped).await;
    supervisor.orders.close();
    let mut supervisors = owner.supervisors.lock();
    if supervisors.get(&supervisor.target.id).is_some_and(|now| Arc::ptr_eq(now, &supervisor)) {
        supervisors.remove(&supervisor.target.id);
    }
}

#[derive(Clone, Copy)]
struct Poll {
    acknowledged: u64,
    /// The incarnation that numbered the acknowledged ended runs.
    incarnation: Option<Incarnation>,
    wait: Duration,
}

/// Waits until the next poll is due; none when the minion needs no supervision any more.
async fn next_poll(owner: &Owner, supervisor: &Supervisor, session: &Session) -> Option<Poll> {
    let id = &supervisor.target.id;
    if !supervisor.is_current(owner) {
        return None;
    }
    let state = || {
        owner.with(|cell| {
            cell.minion(id).map(|minion| {
                let ended = !minion.listed && minion.is_empty() && !minion.has_unpersisted();
                let fresh = !minion.answered;
                let busy = !minion.is_empty() && !fresh;
                let sent = session.has_acknowledged(minion.incarnation, minion.acknowledged());
                (ended && !fresh, busy, fresh, minion.has_unpersisted(), sent)
            })
        })
    };
    let (ended, busy, fresh, unpersisted, acknowledgement_sent) = state()??;
    if ended && acknowledgement_sent {
        return None;
    }
    // Unacknowledged ended runs are reported again at once, so a poll before they are persisted
    // would only repeat the last one.
    if unpersisted {
        wait_until_persisted(owner, supervisor).await;
    } else if !busy && !fresh && acknowledgement_sent {
        let supervised = owner.supervisors.lock().len() as u32;
        supervisor
            .poll_wake
            .wait(MIN_IDLE_POLL_INTERVAL.max(IDLE_POLL_INTERVAL_PER_MINION * supervised))
            .await;
    }
    if !supervisor.is_current(owner) {
        return None;
    }
    let (_, busy, fresh, unpersisted, _) = state()??;
    let wait = if busy && !fresh && !unpersisted { MAX_POLL_WAIT } else { Duration::ZERO };
    let (incarnation, acknowledged) = acknowledgement(owner, supervisor)?;
    Some(Poll { acknowledged, incarnation, wait })
}

/// Waits until a minion's ended runs are persisted, at most for [`MAX_PERSIST_WAIT`].  Orders wake
/// this wait too; a poll for each of them would only repeat the ended runs.
async fn wait_until_persisted(owner: &Owner, supervisor: &Supervisor) {
    let began = clock::now();
    let has_unpersisted = || {
        owner.with(|cell| cell.minion(&supervisor.target.id).is_some_and(Minion::has_unpersisted))
    };
    while has_unpersisted() == Some(true) && supervisor.is_current(owner) {
        let left = MAX_PERSIST_WAIT.saturating_sub(clock::now().since(began));
        if left.is_zero() {
            return;
        }
        supervisor.poll_wake.wait(left).await;
    }
}

/// The incarnation of the minion, and the number up to which its ended runs can be acknowledged.
fn acknowledgement(owner: &Owner, supervisor: &Supervisor) -> Option<(Option<Incarnation>, u64)> {
    let read = |minion: &Minion| (minion.incarnation, minion.acknowledged());
    owner.with(|cell| cell.minion(&supervisor.target.id).map(read)).flatten()
}

/// Polls, and again at once if there was no answer; true if the minion answered.
///
/// Single calls go unanswered, or a connection goes silent, while the minion is healthy.  If it
/// were considered lost at the first miss, it would get no work until the next poll: with one call
/// in ten unanswered, users saw two thirds of a burst come too late.
async fn poll_with_retry(
    owner: &Arc<Owner>,
    supervisor: &Supervisor,
    session: &mut Session,
    next: Poll,
    missed: bool,
) -> bool {
    let again = Poll { wait: Duration::ZERO, ..next };
    match poll(owner, supervisor, Some(session), next, missed).await {
        Ok(()) => return true,
        Err(reason) if missed => {
            record_missed_poll(owner, &supervisor.target.id, &reason);
            return false;
        }
        Err(_) => {}
    }
    match poll(owner, supervisor, Some(session), again, true).await {
        Ok(()) => true,
        Err(reason) => {
            record_missed_poll(owner, &supervisor.target.id, &reason);
            false
        }
    }
}

/// Polls once.  Ended runs are acknowledged only if a session is given.
///
/// # Errors
/// Why the minion didn't answer as expected.
async fn poll(
    owner: &Arc<Owner>,
    supervisor: &Supervisor,
    session: Option<&mut Session>,
    poll: Poll,
    missed: bool,
) -> Result<(), String> {
    let id = &supervisor.target.id;
    // After a miss no lease is extended until the minion has answered: extending leases on a minion
    // that doesn't answer would postpone their expiry forever.
    let deadline_ms = if missed { None } else { supervisor.grants.next_deadline(owner) };
    let wait = if missed { Duration::ZERO } else { poll.wait };
    let Poll { acknowledged, incarnation, .. } = poll;
    let token = supervisor.grants.token();
    let hold = Hold { token, acknowledged, incarnation, deadline_ms, wait };
    let sent = clock::now();
    let (target, timeout) = (&supervisor.target, wait + ANSWER_TIMEOUT);
    let answer = match session {
        // A poll after a miss tells whether the minion or a delegate has failed.
        Some(session) if !missed => calls::hold(owner, target, session, &hold, timeout).await,
        session => calls::hold_directly(owner, target, session, &hold, timeout).await,
    };
    match answer {
        Ok(Reply::Done(report, clock_ms)) => {
            let is_outdated = |minion: &Minion| minion.is_outdated(report.incarnation);
            if owner.with(|cell| cell.minion(id).is_some_and(is_outdated)) == Some(true) {
                return Ok(());
            }
            let incarnation = report.incarnation;
            let reading = Reading { clock_ms, token, sent, incarnation };
            supervisor.grants.record_answer(owner, reading);
            apply_report(owner, id, &report, sent);
            Ok(())
        }
        Ok(Reply::OtherIncarnation) => {
            mark_terminated(owner, supervisor);
            Ok(())
        }
        Ok(Reply::Refused(reason)) => Err(reason.to_string()),
        Err(failure) => {
            // Otherwise the delay was this entry's, and the answer may have come.
            let is_in_time = clock::now().since(sent) < timeout + MAX_TIMER_DELAY;
            let is_minions = is_in_time && !matches!(failure, Failure::Overdue { .. });
            if wait.is_zero() && is_minions && supervisor.is_current(owner) {
                owner.with(|cell| cell.record_unanswered_poll(id, sent));
            }
            Err(failure.to_string())
        }
    }
}

fn apply_report(owner: &Arc<Owner>, id: &MinionId, report: &Report, sent: Time) {
    let before = owner.with(|cell| cell.minion(id).map(|minion| minion.is_reachable())).flatten();
    let orders = owner.with(|cell| cell.process_report(id, report, sent, clock::now()));
    if before == Some(false) {
        let incarnation = report.incarnation.map_or(0, |incarnation| incarnation.0);
        owner.node.journal.info(
            "minion_answers",
            &[("minion", id), ("incarnation", &incarnation), ("running", &report.running.len())],
        );
    }
    dispatch(owner, orders.unwrap_or_default());
    owner.plan_wake.wake();
}

fn record_missed_poll(owner: &Owner, id: &MinionId, reason: &dyn std::fmt::Display) {
    owner.node.metrics.count(Counter::HoldsMissed);
    owner.node.journal.warn("minion_missed", &[("minion", id), ("reason", reason)]);
    owner.with(|cell| cell.record_missed_answer(id, clock::now()));
    owner.plan_wake.wake();
}

/// Records that the minion has terminated because another one answers at its address.
fn mark_terminated(owner: &Owner, supervisor: &Supervisor) {
    // An answer at a former address doesn't show that the minion has terminated.
    if !supervisor.is_current(owner) {
        return;
    }
    let id = &supervisor.target.id;
    owner.node.journal.warn("minion_over", &[("minion", id)]);
    let incarnation = owner.with(|cell| cell.minion(id).map(Minion::known_incarnation)).flatten();
    owner.terminated_minions.lock().insert(id.clone(), incarnation.flatten());
    owner.with(|cell| cell.remove_terminated_minion(id, clock::now()));
    owner.plan_wake.wake();
}
