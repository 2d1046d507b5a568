//! Attending one minion: looking at it, extending its leases, giving it orders.

use crate::clock;
use crate::metrics::{Counter, Timing};
use crate::owner::{Owner, dispatch, keep};
use crate::rows;
use async_std::channel;
use celerythread_adapter::Failure;
use celerythread_adapter::minion::{Hold, Reply, Session, Target};
use celerythread_adapter::store::{Name, Transaction};
use celerythread_engine::cell::crash::TRIAL;
use celerythread_engine::cell::{
    Incarnation, Minion, MinionId, Order, Permit, Refusal, Report, StartResult,
};
use celerythread_engine::job::encode;
use celerythread_engine::lease::{self, MinionClock};
use celerythread_engine::time::Time;
use celerythread_sync::Wake;
use parking_lot::Mutex;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a look waits for an end while something runs.  It bounds the age of what is known
/// of progress.
const LOOK_WAIT: Duration = Duration::from_millis(1000);

/// Time between two looks at a minion on which nothing runs, at the least.
const IDLE_LOOK: Duration = Duration::from_millis(1500);

/// Added for each minion of the cell beyond what that allows: at most 170 such looks a second, a tenth
/// of a core.  At 600 minions, which a pool has in its turn, 400 a second took half of what the strongest
/// entries have.
const IDLE_LOOK_PER_MINION: Duration = Duration::from_millis(6);

/// Longest wait for an answer beyond the wait asked for.  Round trips take some 6 ms, and ten
/// times that on an instance that is slowed down.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// Longest wait for the answer to an order; one that is not answered in this time is reckoned
/// to be carried out late or never.
const ORDER_LIMIT: Duration = Duration::from_millis(300);

/// Pause after a look without an answer.
const MISSED_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for ends to be kept before looking again all the same.
const KEPT_WAIT: Duration = Duration::from_millis(500);

/// The step in which the process's clock counts.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// Orders given to one minion at a time: one that isn't answered must not hold up the rest.
const LANES: usize = 3;

/// What the owner holds of a minion that is attended.
pub(crate) struct Attendant {
    target: Target,
    orders: channel::Sender<Order>,
    queue: channel::Receiver<Order>,
    /// Wakes its look.
    pub(crate) kick: Wake,
    clock: Mutex<Option<MinionClock>>,
}

impl Attendant {
    /// Whether it has not been replaced or removed.
    fn is_current(&self, owner: &Owner) -> bool {
        let attendants = owner.attendants.lock();
        attendants.get(&self.target.id).is_some_and(|now| std::ptr::eq(now.as_ref(), self))
    }

    /// Queues an order, and looks soon at what comes of it; false if nobody carries it out any more.
    pub(crate) fn order(&self, order: Order) -> bool {
        let queued = self.orders.try_send(order).is_ok();
        self.kick.wake();
        queued
    }
}

/// Attends each minion of the cell, after the roster that names it is kept: a later owner must
/// know where something may run.  False if the roster could not be kept, so that some aren't attended.
pub(crate) async fn sync(owner: &Arc<Owner>) -> bool {
    let wanted: Vec<MinionId> = owner
        .with(|cell| cell.minions().map(|minion| minion.id.clone()).collect())
        .unwrap_or_default();
    look_at_restarted(owner);
    let fresh = unattended(owner, &wanted);
    if fresh.is_empty() {
        return true;
    }
    let unnamed = {
        let roster = owner.roster.lock();
        fresh.iter().any(|id| !roster.contains(id))
    };
    if unnamed && !keep_roster(owner, &wanted).await {
        return false;
    }
    for id in fresh {
        let address = owner.node.minions.read().get(&id).map(|entry| entry.address);
        if let Some(address) = address {
            attend(owner, id, address);
        }
    }
    true
}

/// Minions without an attendant at their listed address.  The address can change in a restart.
fn unattended(owner: &Owner, wanted: &[MinionId]) -> Vec<MinionId> {
    let minions = owner.node.minions.read();
    let attendants = owner.attendants.lock();
    let is_attended = |id: &MinionId| {
        let listed = minions.get(id).map(|entry| entry.address);
        let attended = attendants.get(id).map(|attendant| attendant.target.address);
        attended.is_some_and(|attended| listed.is_none_or(|listed| listed == attended))
    };
    wanted.iter().filter(|id| !is_attended(id)).cloned().collect()
}

/// Wakes the looks at minions whose listed incarnation differs from the one that answered last.
/// Nothing is started on them until both agree.
fn look_at_restarted(owner: &Owner) {
    let restarted = |minion: &&Minion| !minion.has_current_listing();
    let ids: Vec<MinionId> = owner
        .with(|cell| cell.minions().filter(restarted).map(|minion| minion.id.clone()).collect())
        .unwrap_or_default();
    let attendants = owner.attendants.lock();
    ids.iter().filter_map(|id| attendants.get(id)).for_each(|attendant| attendant.kick.wake());
}

async fn keep_roster(owner: &Arc<Owner>, minions: &[MinionId]) -> bool {
    let roster = rows::Roster { minions: minions.iter().map(|id| id.to_string()).collect() };
    let name = Name::new(rows::JOBS, &owner.service, rows::ROSTER_KEY);
    let change = Transaction { writes: vec![(name, encode(&roster))], ..Transaction::default() };
    let kept = keep::write(owner, change).await;
    if kept {
        *owner.roster.lock() = minions.iter().cloned().collect::<BTreeSet<_>>();
    }
    kept
}

fn attend(owner: &Arc<Owner>, id: MinionId, address: SocketAddr) {
    let (orders, queue) = channel::unbounded();
    let attendant = Arc::new(Attendant {
        target: Target { address, id: id.clone() },
        orders,
        queue,
        kick: Wake::default(),
        clock: Mutex::new(None),
    });
    let former = owner.attendants.lock().insert(id, attendant.clone());
    if let Some(former) = former {
        former.kick.wake();
    }
    for _ in 0..LANES {
        async_std::task::spawn(give_orders(owner.clone(), attendant.clone()));
    }
    async_std::task::spawn(look_forever(owner.clone(), attendant));
}

/// Looks at a minion until it is gone or the cell is lost.
async fn look_forever(owner: Arc<Owner>, attendant: Arc<Attendant>) {
    use stop_token::future::FutureExt;
    let stopped = owner.stopped.clone();
    let looking = async {
        let mut session = Session::default();
        let mut missed = false;
        while let Some(next) = next_look(&owner, &attendant, &session).await {
            missed = !look_twice(&owner, &attendant, &mut session, next, missed).await;
            if missed {
                async_std::task::sleep(MISSED_PAUSE).await;
            }
        }
    };
    let _ = looking.timeout_at(stopped).await;
    // Closing the queue ends the lanes.
    attendant.queue.close();
    let mut attendants = owner.attendants.lock();
    if attendants.get(&attendant.target.id).is_some_and(|now| Arc::ptr_eq(now, &attendant)) {
        attendants.remove(&attendant.target.id);
    }
}

#[derive(Clone, Copy)]
struct Look {
    acknowledged: u64,
    /// The incarnation that numbered the acknowledged ends.
    incarnation: Option<Incarnation>,
    wait: Duration,
}

/// Waits until the next look is due; none when the minion is no longer of interest.
async fn next_look(owner: &Owner, attendant: &Attendant, session: &Session) -> Option<Look> {
    let id = &attendant.target.id;
    if !attendant.is_current(owner) {
        return None;
    }
    let state = || {
        owner.with(|cell| {
            cell.minion(id).map(|minion| {
                let ended = !minion.listed && minion.is_empty() && !minion.has_unkept();
                let fresh = !minion.answered;
                let busy = !minion.is_empty() && !fresh;
                let sent = session.has_acknowledged(minion.incarnation, minion.acknowledged());
                (ended && !fresh, busy, fresh, minion.has_unkept(), sent)
            })
        })
    };
    let (ended, busy, fresh, unkept, acknowledgement_sent) = state()??;
    if ended && acknowledgement_sent {
        return None;
    }
    // Unacknowledged ends are listed again at once, so a look before they are kept would only
    // repeat the last one.
    if unkept {
        attendant.kick.wait(KEPT_WAIT).await;
    } else if !busy && !fresh && acknowledgement_sent {
        let attended = owner.attendants.lock().len() as u32;
        attendant.kick.wait(IDLE_LOOK.max(IDLE_LOOK_PER_MINION * attended)).await;
    }
    if !attendant.is_current(owner) {
        return None;
    }
    let (_, busy, fresh, unkept, _) = state()??;
    let wait = if busy && !fresh && !unkept { LOOK_WAIT } else { Duration::ZERO };
    let (incarnation, acknowledged) = acknowledgement(owner, attendant)?;
    Some(Look { acknowledged, incarnation, wait })
}

/// The incarnation of the minion, and the number up to which its ends can be acknowledged.
fn acknowledgement(owner: &Owner, attendant: &Attendant) -> Option<(Option<Incarnation>, u64)> {
    let read = |minion: &Minion| (minion.incarnation, minion.acknowledged());
    owner.with(|cell| cell.minion(&attendant.target.id).map(read)).flatten()
}

/// Looks, and again at once if there was no answer; true if the minion answered.
///
/// Single calls go unanswered, or a connection goes silent, while the minion is well.  Taken for
/// lost at the first miss, it would get no work until the next look, although nothing is wrong
/// with it: at one call in ten, users saw two thirds of a burst come too late.
async fn look_twice(
    owner: &Arc<Owner>,
    attendant: &Attendant,
    session: &mut Session,
    next: Look,
    missed: bool,
) -> bool {
    let again = Look { wait: Duration::ZERO, ..next };
    match look(owner, attendant, Some(session), next, missed).await {
        Ok(()) => return true,
        Err(reason) if missed => {
            note_missed(owner, &attendant.target.id, &reason);
            return false;
        }
        Err(_) => {}
    }
    match look(owner, attendant, Some(session), again, true).await {
        Ok(()) => true,
        Err(reason) => {
            note_missed(owner, &attendant.target.id, &reason);
            false
        }
    }
}

/// Looks once.  Ends are acknowledged only if a session is given.
///
/// # Errors
/// Why the minion didn't answer as it should.
async fn look(
    owner: &Arc<Owner>,
    attendant: &Attendant,
    session: Option<&mut Session>,
    look: Look,
    missed: bool,
) -> Result<(), String> {
    let id = &attendant.target.id;
    // After a miss nothing is extended before the minion has answered: extending what doesn't
    // answer would put off its lapse for ever.
    let deadline_ms = if missed { None } else { promise(owner, attendant) };
    let wait = if missed { Duration::ZERO } else { look.wait };
    let Look { acknowledged, incarnation, .. } = look;
    let hold = Hold { token: owner.token, acknowledged, incarnation, deadline_ms, wait };
    let sent = clock::now();
    owner.node.metrics.count(Counter::Holds);
    let (target, limit) = (&attendant.target, wait + ANSWER_LIMIT);
    let answer = match session {
        Some(session) => session.hold(target, &hold, limit).await,
        None => owner.node.minion_client.hold(target, &hold, limit).await,
    };
    match answer {
        Ok(Reply::Done(report, clock_ms)) => {
            let is_outdated = |minion: &Minion| minion.is_outdated(report.incarnation);
            if owner.with(|cell| cell.minion(id).is_some_and(is_outdated)) == Some(true) {
                return Ok(());
            }
            update_clock(owner, attendant, clock_ms, sent);
            take_report(owner, id, &report, sent);
            Ok(())
        }
        Ok(Reply::OtherIncarnation) => {
            bury(owner, attendant);
            Ok(())
        }
        Ok(Reply::Refused(reason)) => Err(reason.to_string()),
        Err(failure) => Err(failure.to_string()),
    }
}

/// The deadline to give a minion, noted as a promise before it is sent; none while leases must
/// not be extended or its clock is not known.
fn promise(owner: &Owner, attendant: &Attendant) -> Option<u64> {
    if !owner.node.may_extend() || owner.is_stopped() {
        return None;
    }
    let known = (*attendant.clock.lock())?;
    let term_ms = owner.node.settings.run_lease.0.as_millis() as u64;
    let deadline_ms = known.now_ms(clock::now()) + term_ms;
    owner.with(|cell| cell.promise(&attendant.target.id, known.passes(deadline_ms)));
    Some(deadline_ms)
}

/// Records a reading of a minion's clock; false if it shows that another process has taken over.
///
/// In that case, the new process may have received deadlines on the former clock and shortened
/// them to the lease limit, so leases are assumed to last that long.
fn update_clock(owner: &Owner, attendant: &Attendant, clock_ms: u64, sent: Time) -> bool {
    let now = clock::now();
    let former = attendant.clock.lock().replace(MinionClock::new(clock_ms, now));
    let is_reset = former.is_some_and(|former| former.is_reset(clock_ms, sent));
    if is_reset {
        let until = now + lease::max_duration(owner.node.settings.lease_limit.0);
        owner.with(|cell| cell.promise(&attendant.target.id, until));
    }
    !is_reset
}

fn take_report(owner: &Arc<Owner>, id: &MinionId, report: &Report, sent: Time) {
    let before = owner.with(|cell| cell.minion(id).map(|minion| minion.is_reachable())).flatten();
    let orders = owner.with(|cell| cell.report(id, report, sent, clock::now()));
    if before == Some(false) {
        let incarnation = report.incarnation.map_or(0, |incarnation| incarnation.0);
        owner.node.journal.note(
            "minion_answers",
            &[("minion", id), ("incarnation", &incarnation), ("running", &report.running.len())],
        );
    }
    dispatch(owner, orders.unwrap_or_default());
    owner.plan_wake.wake();
}

fn note_missed(owner: &Owner, id: &MinionId, reason: &dyn std::fmt::Display) {
    owner.node.metrics.count(Counter::HoldsMissed);
    owner.node.journal.warn("minion_missed", &[("minion", id), ("reason", reason)]);
    owner.with(|cell| cell.missed(id, clock::now()));
    owner.plan_wake.wake();
}

/// Records that the minion's life is over because another one answers at its address.
fn bury(owner: &Owner, attendant: &Attendant) {
    // An answer at a former address doesn't show that the minion is over.
    if !attendant.is_current(owner) {
        return;
    }
    let id = &attendant.target.id;
    owner.node.journal.warn("minion_over", &[("minion", id)]);
    let incarnation = owner.with(|cell| cell.minion(id).map(Minion::known_incarnation)).flatten();
    owner.buried.lock().insert(id.clone(), incarnation.flatten());
    owner.with(|cell| cell.bury(id, clock::now()));
    owner.plan_wake.wake();
}

async fn give_orders(owner: Arc<Owner>, attendant: Arc<Attendant>) {
    while let Ok(order) = attendant.queue.recv().await {
        match order {
            Order::Start { task, run, suspected, .. } => {
                let began = clock::now();
                let result = start(&owner, &attendant, &order).await;
                owner.node.metrics.time(Timing::Start, clock::now().since(began));
                if result != StartResult::Started {
                    owner.node.journal.warn(
                        "start_failed",
                        &[
                            ("job", &task.job),
                            ("task", &task),
                            ("run", &run),
                            ("minion", &attendant.target.id),
                            ("result", &format_args!("{result:?}")),
                        ],
                    );
                }
                let id = &attendant.target.id;
                owner.with(|cell| cell.start_result(id, &task, run, result, clock::now()));
                if result == StartResult::Unknown {
                    look_at_once(&owner, &attendant).await;
                }
                if result == StartResult::Started && suspected {
                    // What may not run beside it waits for a look that shows it to have outlived its trial.
                    async_std::task::sleep(TRIAL).await;
                    look_at_once(&owner, &attendant).await;
                }
                if result != StartResult::Started {
                    owner.plan_wake.wake();
                }
            }
            Order::Pace { task, run, percent, .. } => {
                let (to, client) = (&attendant.target, &owner.node.minion_client);
                let token = owner.token;
                let paced = client.pace(to, &task, run, percent, token, ORDER_LIMIT).await;
                if !matches!(paced, Ok(Reply::Done(..))) {
                    owner.with(|cell| cell.pace_missed(&to.id, &task, run));
                }
            }
            Order::Stop { task, run, .. } => {
                let (to, client) = (&attendant.target, &owner.node.minion_client);
                let answer = client.stop(to, &task, run, owner.token, ORDER_LIMIT).await;
                match answer {
                    Ok(Reply::Done(..)) => {
                        let now = clock::now();
                        owner.with(|cell| cell.stop_confirmed(&to.id, &task, run, now));
                        look_at_once(&owner, &attendant).await;
                    }
                    Ok(Reply::OtherIncarnation) => bury(&owner, &attendant),
                    // Ordered again by a later plan.
                    Ok(Reply::Refused(_)) | Err(_) => {}
                }
            }
        }
    }
}

/// Looks at once: after a start without an answer, to learn whether it runs, and after a confirmed
/// stop, since only a report from after it tells that such a start never ran.  The look under way may
/// wait a second for an end.
///
/// A look that is sent in the millisecond of what it is to settle can't be told from one sent before it,
/// which settles nothing; so it is sent in the next one.
async fn look_at_once(owner: &Arc<Owner>, attendant: &Attendant) {
    async_std::task::sleep(CLOCK_STEP).await;
    let next = Look { acknowledged: 0, incarnation: None, wait: Duration::ZERO };
    // Without an answer the minion's own looks find out.
    let _ = look(owner, attendant, None, next, false).await;
}

async fn start(owner: &Owner, attendant: &Attendant, order: &Order) -> StartResult {
    // What is queued may have waited; which jobs it is for was decided when it was planned.
    let allowed = match owner.node.permit() {
        Permit::All => true,
        Permit::Fresh { .. } => matches!(order, Order::Start { first: true, .. }),
        Permit::Nothing => false,
    };
    if !allowed {
        return StartResult::Refused(Refusal::Unhealthy);
    }
    let Some(deadline_ms) = promise(owner, attendant) else {
        return StartResult::Refused(Refusal::Unhealthy);
    };
    let (to, client) = (&attendant.target, &owner.node.minion_client);
    let sent = clock::now();
    match client.start(to, order, deadline_ms, owner.token, ORDER_LIMIT).await {
        Ok(Reply::Done(StartResult::Unknown, _)) => {
            owner.node.metrics.count(Counter::StartsUnknown);
            StartResult::Unknown
        }
        Ok(Reply::Done(result, clock_ms)) => {
            if !update_clock(owner, attendant, clock_ms, sent) {
                attendant.kick.wake();
            }
            result
        }
        Ok(Reply::Refused(reason)) => {
            owner.node.metrics.count(Counter::StartsRefused);
            StartResult::Refused(reason)
        }
        Ok(Reply::OtherIncarnation) => {
            bury(owner, attendant);
            StartResult::Refused(Refusal::Unhealthy)
        }
        Err(Failure::NotSent { .. } | Failure::Unanswered { .. }) => {
            // Silence at an address that the minion has left says nothing of it.
            if attendant.is_current(owner) {
                owner.with(|cell| cell.missed(&to.id, clock::now()));
            }
            StartResult::Refused(Refusal::Unhealthy)
        }
    }
}
