//! The calls of an owner to its minions.

use crate::metrics::Counter;
use crate::owner::Owner;
use celerythread_adapter::Failure;
use celerythread_adapter::minion::{Hold, Reply, Session, Target};
use celerythread_engine::cell::{Order, Report, StartResult};
use celerythread_engine::job::TaskName;
use std::time::Duration;

/// Longest wait for the answer to an order.  An order that is not answered in this time is assumed
/// to be carried out late or never.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Polls a minion.  Ended runs are acknowledged only if a session is given.
///
/// # Errors
/// When there is no valid answer.
pub(crate) async fn hold(
    owner: &Owner,
    target: &Target,
    session: Option<&mut Session>,
    hold: &Hold,
    timeout: Duration,
) -> Result<Reply<Report>, Failure> {
    owner.node.metrics.count(Counter::Holds);
    owner.node.metrics.count(Counter::MinionCalls);
    owner.activity.record_poll();
    match session {
        Some(session) => session.hold(target, hold, timeout).await,
        None => owner.node.minion_client.hold(target, hold, timeout).await,
    }
}

/// Orders a start.
///
/// # Errors
/// When the order was certainly not sent.
pub(crate) async fn start(
    owner: &Owner,
    target: &Target,
    order: &Order,
    deadline_ms: u64,
) -> Result<Reply<StartResult>, Failure> {
    owner.node.metrics.count(Counter::MinionCalls);
    owner.node.minion_client.start(target, order, deadline_ms, owner.token, ORDER_TIMEOUT).await
}

/// Orders a stop.
///
/// # Errors
/// When there is no answer.
pub(crate) async fn stop(
    owner: &Owner,
    target: &Target,
    task: &TaskName,
    run: u32,
) -> Result<Reply<()>, Failure> {
    owner.node.metrics.count(Counter::MinionCalls);
    owner.node.minion_client.stop(target, task, run, owner.token, ORDER_TIMEOUT).await
}

/// Limits the speed of a run.
///
/// # Errors
/// When there is no answer.
pub(crate) async fn pace(
    owner: &Owner,
    target: &Target,
    task: &TaskName,
    run: u32,
    percent: u8,
) -> Result<Reply<()>, Failure> {
    owner.node.metrics.count(Counter::MinionCalls);
    owner.node.minion_client.pace(target, task, run, percent, owner.token, ORDER_TIMEOUT).await
}
