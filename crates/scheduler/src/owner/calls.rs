//! The calls of an owner to its minions, made by itself or through a delegate.

use crate::clock;
use crate::metrics::Counter;
use crate::owner::Owner;
use crate::owner::delegation::{Delegate, Lost};
use celerythread_adapter::Failure;
use celerythread_adapter::minion::{Hold, Reply, Session, Target};
use celerythread_engine::cell::{Order, Report, StartResult};
use celerythread_engine::job::TaskName;
use celerythread_engine::time::Time;
use celerythread_engine::timeout::{Settings, Timeout};
use celerythread_wire::minion::{Outcome, Request};
use parking_lot::Mutex;
use std::fmt::Display;
use std::time::Duration;

/// The wait for the answer to an order, which follows the latency of recent answers.  An order that
/// is not answered in this time is assumed to be carried out late or never.
#[derive(Debug)]
pub(crate) struct OrderTimeout(Mutex<Timeout>);

impl Default for OrderTimeout {
    fn default() -> Self {
        Self(Mutex::new(Timeout::new(Settings::ORDER)))
    }
}

impl OrderTimeout {
    fn current(&self) -> Duration {
        self.0.lock().current()
    }

    /// Records whether an order that was sent at `sent` was answered within `timeout`.
    fn record(&self, sent: Time, timeout: Duration, is_answered: bool) {
        let took = clock::now().since(sent);
        if is_answered {
            self.0.lock().record_answer(took);
        } else if took >= timeout {
            self.0.lock().record_timeout();
        }
    }
}

/// Polls a minion in a session, through the cell's delegate if it has one for this minion.
///
/// # Errors
/// When there is no valid answer.
pub(crate) async fn hold(
    owner: &Owner,
    target: &Target,
    session: &mut Session,
    hold: &Hold,
    timeout: Duration,
) -> Result<Reply<Report>, Failure> {
    if let Some(delegate) = owner.delegation.route(owner, &target.id) {
        match hold_through(owner, &delegate, target, session, hold, timeout).await {
            Err(Lost::NotAsked) => {}
            Err(Lost::Unanswered) => {
                owner.node.metrics.count(Counter::DelegatedCallsLost);
                let reason = "the delegate did not answer".into();
                return Err(Failure::Unanswered { reason });
            }
            Ok(result) => return result,
        }
    }
    hold_directly(owner, target, Some(session), hold, timeout).await
}

/// Polls a minion without a delegate.  Ended runs are acknowledged only if a session is given.
///
/// # Errors
/// When there is no valid answer.
pub(crate) async fn hold_directly(
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

async fn hold_through(
    owner: &Owner,
    delegate: &Delegate,
    target: &Target,
    session: &mut Session,
    hold: &Hold,
    timeout: Duration,
) -> Result<Result<Reply<Report>, Failure>, Lost> {
    let request = Request::Hold {
        acknowledged: hold.acknowledged,
        incarnation: hold.incarnation,
        deadline_ms: hold.deadline_ms,
        wait_ms: hold.wait.as_millis() as u32,
    };
    let outcome = delegate.call(target, hold.token, request, timeout).await?;
    owner.node.metrics.count(Counter::Holds);
    owner.node.metrics.count(Counter::DelegatedCalls);
    owner.activity.record_poll();
    Ok(match outcome {
        Outcome::Reported { report, acknowledged, clock_ms } => {
            session.record_acknowledged(report.incarnation, acknowledged);
            Ok(Reply::Done(report, clock_ms))
        }
        other => decode_other(other),
    })
}

/// Orders a start, through the cell's delegate if it has one for this minion.
///
/// # Errors
/// When the order was certainly not sent.
pub(crate) async fn start(
    owner: &Owner,
    target: &Target,
    order: &Order,
    deadline_ms: u64,
    token: u64,
) -> Result<Reply<StartResult>, Failure> {
    let timeout = owner.order_timeout.current();
    let sent = clock::now();
    let result = request_start(owner, target, order, deadline_ms, token, timeout).await;
    let is_answered = !matches!(result, Ok(Reply::Done(StartResult::Unknown, _)) | Err(_));
    owner.order_timeout.record(sent, timeout, is_answered);
    result
}

async fn request_start(
    owner: &Owner,
    target: &Target,
    order: &Order,
    deadline_ms: u64,
    token: u64,
    timeout: Duration,
) -> Result<Reply<StartResult>, Failure> {
    if let Some(delegate) = owner.delegation.route(owner, &target.id) {
        match start_through(owner, &delegate, target, order, deadline_ms, token, timeout).await {
            Err(Lost::NotAsked) => {}
            Err(Lost::Unanswered) => {
                owner.node.metrics.count(Counter::DelegatedCallsLost);
                return Ok(Reply::Done(StartResult::Unknown, 0));
            }
            Ok(result) => return result,
        }
    }
    owner.node.metrics.count(Counter::MinionCalls);
    owner.node.minion_client.start(target, order, deadline_ms, token, timeout).await
}

async fn start_through(
    owner: &Owner,
    delegate: &Delegate,
    target: &Target,
    order: &Order,
    deadline_ms: u64,
    token: u64,
    timeout: Duration,
) -> Result<Result<Reply<StartResult>, Failure>, Lost> {
    let request = Request::Start { order: order.clone(), deadline_ms };
    let outcome = delegate.call(target, token, request, timeout).await?;
    owner.node.metrics.count(Counter::DelegatedCalls);
    Ok(match outcome {
        Outcome::Started { result, clock_ms } => Ok(Reply::Done(result, clock_ms)),
        Outcome::Unanswered { .. } => Ok(Reply::Done(StartResult::Unknown, 0)),
        other => decode_other(other),
    })
}

/// Decodes an outcome that is the same for all requests.
fn decode_other<T>(outcome: Outcome) -> Result<Reply<T>, Failure> {
    match outcome {
        Outcome::Refused(refusal) => Ok(Reply::Refused(refusal)),
        Outcome::OtherIncarnation => Ok(Reply::OtherIncarnation),
        Outcome::NotSent { reason } => Err(Failure::NotSent { reason }),
        Outcome::Unanswered { reason } => Err(Failure::Unanswered { reason }),
        Outcome::Started { .. } | Outcome::Reported { .. } => {
            Err(Failure::Unanswered { reason: "the answer is to another request".into() })
        }
    }
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
    token: u64,
) -> Result<Reply<()>, Failure> {
    owner.node.metrics.count(Counter::MinionCalls);
    let timeout = owner.order_timeout.current();
    let sent = clock::now();
    let result = owner.node.minion_client.stop(target, task, run, token, timeout).await;
    owner.order_timeout.record(sent, timeout, result.is_ok());
    let reason: Option<&dyn Display> = match &result {
        Ok(Reply::Refused(refusal)) => Some(refusal),
        Ok(_) => None,
        Err(failure) => Some(failure),
    };
    if let Some(reason) = reason {
        let fields: [(&'static str, &dyn Display); 5] = [
            ("job", &task.job),
            ("task", task),
            ("run", &run),
            ("minion", &target.id),
            ("reason", reason),
        ];
        owner.node.journal.warn("stop_failed", &fields);
    }
    result
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
    token: u64,
) -> Result<Reply<()>, Failure> {
    owner.node.metrics.count(Counter::MinionCalls);
    let timeout = owner.order_timeout.current();
    let sent = clock::now();
    let client = &owner.node.minion_client;
    let result = client.pace(target, task, run, percent, token, timeout).await;
    owner.order_timeout.record(sent, timeout, result.is_ok());
    result
}
