//! Sends queued orders to one minion.

use crate::clock;
use crate::metrics::{Counter, Timing};
use crate::owner::grant::Reading;
use crate::owner::starts::{self, Unanswered};
use crate::owner::supervisor::{Poll, Supervisor, mark_terminated, poll};
use crate::owner::{Owner, calls};
use async_std::channel;
use celerythread_adapter::Failure;
use celerythread_adapter::minion::Reply;
use celerythread_engine::cell::crash::TRIAL_PERIOD;
use celerythread_engine::cell::{Order, Permit, Refusal, StartResult};
use celerythread_engine::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Resolution of [`clock::now`].
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);

/// Orders of one queue that are sent to one minion at a time, so that an unanswered one doesn't
/// block the others.
const MAX_CONCURRENT_ORDERS: usize = 3;

/// Time from a start that may crash its minion to the first poll, which shows that it did not: such
/// a minion goes down some 10 ms after the start.
const FIRST_TRIAL_POLL_DELAY: Duration = Duration::from_millis(50);

/// An order that waits to be sent.
struct QueuedOrder {
    queued_at: Time,
    order: Order,
    /// For a start, counts it as unanswered.
    unanswered: Option<Unanswered>,
}

/// Orders that are sent in turn.
struct Queue {
    sender: channel::Sender<QueuedOrder>,
    receiver: channel::Receiver<QueuedOrder>,
}

impl Default for Queue {
    fn default() -> Self {
        let (sender, receiver) = channel::unbounded();
        Self { sender, receiver }
    }
}

/// Orders that wait to be sent to one minion.
#[derive(Default)]
pub(super) struct Queues {
    /// Stops, which would otherwise wait behind starts that the minion doesn't answer.
    stops: Queue,
    /// All other orders.
    others: Queue,
}

impl Queues {
    /// Adds an order; false if the queues are closed.
    pub(super) fn push(&self, order: Order, unanswered: Option<Unanswered>) -> bool {
        let queue = if matches!(order, Order::Stop { .. }) { &self.stops } else { &self.others };
        let queued = QueuedOrder { queued_at: clock::now(), order, unanswered };
        queue.sender.try_send(queued).is_ok()
    }

    /// Ends the tasks that send orders, once the queues are empty.
    pub(super) fn close(&self) {
        self.stops.receiver.close();
        self.others.receiver.close();
    }
}

/// Starts the tasks that send a supervisor's orders until its queues are closed.
pub(super) fn start_senders(owner: &Arc<Owner>, supervisor: &Arc<Supervisor>) {
    for queue in [&supervisor.orders.stops, &supervisor.orders.others] {
        for _ in 0..MAX_CONCURRENT_ORDERS {
            let queue = queue.receiver.clone();
            async_std::task::spawn(send_orders(owner.clone(), supervisor.clone(), queue));
        }
    }
}

async fn send_orders(
    owner: Arc<Owner>,
    supervisor: Arc<Supervisor>,
    queue: channel::Receiver<QueuedOrder>,
) {
    while let Ok(queued) = queue.recv().await {
        let QueuedOrder { queued_at, order, unanswered } = queued;
        owner.activity.record_order(queued_at);
        if !supervisor.may_send_orders(&owner) {
            drop_order(&owner, &order);
            continue;
        }
        match order {
            Order::Start { task, run, suspected, .. } => {
                let began = clock::now();
                let result = start_run(&owner, &supervisor, &order).await;
                let took = clock::now().since(began);
                owner.node.metrics.time(Timing::Start, took);
                owner.activity.record_start(took);
                if result != StartResult::Started {
                    owner.node.journal.warn(
                        "start_failed",
                        &[
                            ("job", &task.job),
                            ("task", &task),
                            ("run", &run),
                            ("minion", &supervisor.target.id),
                            ("result", &format_args!("{result:?}")),
                        ],
                    );
                }
                let id = &supervisor.target.id;
                owner.with(|cell| cell.process_start_result(id, &task, run, result, clock::now()));
                if owner.starts.record_answer(unanswered) {
                    owner.plan_wake.wake();
                }
                if result == StartResult::Unknown {
                    poll_now(&owner, &supervisor).await;
                }
                if result == StartResult::Started && suspected {
                    // Tasks that may not run beside it wait for a poll which shows that it has
                    // outlived its trial.
                    async_std::task::sleep(FIRST_TRIAL_POLL_DELAY).await;
                    poll_now(&owner, &supervisor).await;
                    async_std::task::sleep(TRIAL_PERIOD - FIRST_TRIAL_POLL_DELAY).await;
                    poll_now(&owner, &supervisor).await;
                }
                if result != StartResult::Started {
                    owner.plan_wake.wake();
                }
            }
            Order::Pace { task, run, percent, .. } => {
                let (to, token) = (&supervisor.target, supervisor.grants.token());
                let paced = calls::pace(&owner, to, &task, run, percent, token).await;
                if !matches!(paced, Ok(Reply::Done(..))) {
                    owner.with(|cell| cell.record_pace_failure(&to.id, &task, run));
                }
            }
            Order::Stop { task, run, .. } => {
                let (to, token) = (&supervisor.target, supervisor.grants.token());
                match calls::stop(&owner, to, &task, run, token).await {
                    Ok(Reply::Done(..)) => {
                        let now = clock::now();
                        owner.with(|cell| cell.confirm_stop(&to.id, &task, run, now));
                        poll_now(&owner, &supervisor).await;
                    }
                    Ok(Reply::OtherIncarnation) => mark_terminated(&owner, &supervisor),
                    // Ordered again by a later plan.
                    Ok(Reply::Refused(_)) | Err(_) => {}
                }
            }
        }
    }
}

/// Drops an order of an owner that was stopped, or of a supervisor that was replaced.
///
/// Another owner decides about the runs, or this one does again: it starts the task anew and repeats
/// the stop.
fn drop_order(owner: &Owner, order: &Order) {
    match order {
        Order::Start { minion, task, run, .. } => {
            owner.node.metrics.count(Counter::StartsDropped);
            let dropped = StartResult::Refused(Refusal::TooLate);
            owner.with(|cell| cell.process_start_result(minion, task, *run, dropped, clock::now()));
            owner.plan_wake.wake();
        }
        Order::Pace { minion, task, run, .. } => {
            owner.with(|cell| cell.record_pace_failure(minion, task, *run));
        }
        Order::Stop { .. } => {}
    }
}

/// Polls at once: after a start without an answer, to learn whether it runs, and after a confirmed
/// stop, since only a report from after it shows that such a start never ran.  The poll under way
/// may wait a second for a run to end.
///
/// A poll proves something only if it was sent after the start or stop in question.  Times have a
/// resolution of 1 ms, so it is sent in the next millisecond.
async fn poll_now(owner: &Arc<Owner>, supervisor: &Supervisor) {
    async_std::task::sleep(CLOCK_RESOLUTION).await;
    let next = Poll { acknowledged: 0, incarnation: None, wait: Duration::ZERO };
    // Without an answer, the regular polls find out.
    let _ = poll(owner, supervisor, None, next, false).await;
}

async fn start_run(owner: &Owner, supervisor: &Supervisor, order: &Order) -> StartResult {
    // Checked again, because the order may have waited in the queue.  The plan has decided for
    // which jobs it may start something.
    let allowed = match owner.permit() {
        Permit::All => true,
        Permit::NeverStarted { .. } => matches!(order, Order::Start { first: true, .. }),
        Permit::Nothing => false,
    };
    if !allowed {
        return StartResult::Refused(Refusal::Unhealthy);
    }
    let to = &supervisor.target;
    if !starts::is_wanted(owner, order) {
        owner.node.metrics.count(Counter::StartsDropped);
        return StartResult::Refused(Refusal::TooLate);
    }
    let Some(deadline_ms) = supervisor.grants.next_deadline(owner) else {
        return StartResult::Refused(Refusal::Unhealthy);
    };
    let (sent, token) = (clock::now(), supervisor.grants.token());
    match calls::start(owner, to, order, deadline_ms, token).await {
        Ok(Reply::Done(StartResult::Unknown, _)) => {
            owner.node.metrics.count(Counter::StartsUnknown);
            StartResult::Unknown
        }
        Ok(Reply::Done(result, clock_ms)) => {
            let reading = Reading { clock_ms, token, sent, incarnation: None };
            if !supervisor.grants.record_answer(owner, reading) {
                supervisor.poll_wake.wake();
            }
            result
        }
        Ok(Reply::Refused(reason)) => {
            owner.node.metrics.count(Counter::StartsRefused);
            StartResult::Refused(reason)
        }
        Ok(Reply::OtherIncarnation) => {
            mark_terminated(owner, supervisor);
            StartResult::Refused(Refusal::Unhealthy)
        }
        // The delay was this entry's and says nothing about the minion.
        Err(Failure::Overdue { .. }) => StartResult::Refused(Refusal::TooLate),
        Err(Failure::NotSent { .. } | Failure::Unanswered { .. }) => {
            // Silence at an address that the minion has left says nothing about the minion.
            if supervisor.is_current(owner) {
                owner.with(|cell| cell.record_missed_answer(&to.id, clock::now()));
            }
            StartResult::Refused(Refusal::Unhealthy)
        }
    }
}
