//! Carrying one request to a minion, and to another one where that is allowed.

use crate::metrics::Counter;
use crate::node::Node;
use crate::router::{self, Denied, Slot, Want};
use celerythread_http::Fault;
use celerythread_http::body;
use celerythread_http::client::{self, Connection, Failure, ResponseHead};
use celerythread_http::head::Length;
use celerythread_http::stream::Stream;
use celerythread_model::code::Code;
use celerythread_model::config::Service;
use celerythread_model::id;
use celerythread_model::request::{Class, Idempotence, Outcome};
use celerythread_policy::phase::{self, Phase};
use celerythread_policy::retry::Budget;
use celerythread_policy::slots::Verdict;
use celerythread_policy::time::Moment;
use futures::TryStreamExt;
use http_types::{Body, Method, Response};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Answers up to this size are received whole before the caller gets their first byte, so that
/// a broken one can still be fetched again or told as broken.
const WHOLE_LIMIT: usize = 1 << 20;

/// Largest answer that can be kept for a keyed request.
const KEPT_LIMIT: usize = 32 << 20;

/// Most attempts at one request, whatever the budget says.
const MAX_ATTEMPTS: u32 = 3;

/// Pieces of a long answer that wait for a slow caller.
const PIECES: usize = 8;

/// Retry budgets by service.
pub(crate) type Budgets = Mutex<HashMap<id::Service, Budget>>;

/// A request to be carried.
pub(crate) struct Task {
    pub(crate) service: Service,
    pub(crate) class: Class,
    pub(crate) deadline: Moment,
    pub(crate) idempotence: Idempotence,
    /// Whether the whole answer is to be kept.
    pub(crate) keyed: bool,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// A minion's answer.
pub(crate) struct Delivered {
    pub(crate) head: Response,
    pub(crate) body: Received,
}

/// A body as it was received.
pub(crate) enum Received {
    /// All of it.
    Whole(Vec<u8>),
    /// More than is held in memory; it follows while the minion sends it.
    Streaming(Body),
}

/// A request given up on.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) code: Code,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) detail: String,
}

/// One failed attempt.
struct Miss {
    code: Code,
    phase: Phase,
    /// What is certain, where the phase alone does not say it.
    outcome: Option<Outcome>,
    detail: String,
    minion: id::Minion,
}

/// Carries a request until it is answered or given up on.
///
/// # Errors
/// `Failed` with the code and what is certain about the request.
pub(crate) async fn run(
    node: &Arc<Node>,
    budgets: &Budgets,
    task: &Task,
) -> Result<Delivered, Failed> {
    earn(budgets, task);
    let mut want = Want {
        service: task.service.service.clone(),
        class: task.class,
        deadline: task.deadline,
        avoid: None,
    };
    let mut outcome = None;
    let mut attempts = 0;
    loop {
        let slot = match router::acquire(node, &want).await {
            Ok(slot) => slot,
            Err(denied) => return Err(give_up_waiting(denied, outcome)),
        };
        attempts += 1;
        node.count(Counter::Dispatches);
        let miss = match attempt(node, task, slot).await {
            Ok(delivered) => return Ok(delivered),
            Err(miss) => miss,
        };
        node.count(Counter::DispatchFailures);
        let verdict = phase::judge(miss.phase, task.idempotence);
        outcome = Some(phase::join(outcome, miss.outcome.unwrap_or(verdict.outcome)));
        let in_time = task.deadline > node.clock.now();
        let may_resend = verdict.resend && in_time && attempts < MAX_ATTEMPTS;
        if !may_resend || !spend(node, budgets, task) {
            let outcome = outcome.unwrap_or(Outcome::Unknown);
            let code = failure_code(miss.code, outcome);
            return Err(Failed { code, outcome, retry_after: None, detail: miss.detail });
        }
        node.count(Counter::Resends);
        want.avoid = Some(miss.minion);
    }
}

fn earn(budgets: &Budgets, task: &Task) {
    let mut budgets = budgets.lock();
    let ratio = task.service.retry_ratio;
    let budget = budgets.entry(task.service.service.clone()).or_insert_with(|| Budget::new(ratio));
    budget.set_ratio(ratio);
    budget.earn();
}

fn spend(node: &Node, budgets: &Budgets, task: &Task) -> bool {
    let spent = budgets.lock().get_mut(&task.service.service).is_some_and(Budget::spend);
    if !spent {
        node.count(Counter::ResendsDenied);
    }
    spent
}

fn give_up_waiting(denied: Denied, earlier: Option<Outcome>) -> Failed {
    Failed {
        code: denied.code,
        outcome: phase::join(earlier, Outcome::NotRun),
        retry_after: denied.retry_after,
        detail: "no slot of the service became free in time".into(),
    }
}

/// A failure before anything was sent is told as "no minion", so that its code and its outcome
/// say the same.
fn failure_code(code: Code, outcome: Outcome) -> Code {
    if outcome == Outcome::NotRun { Code::NoMinion } else { code }
}

async fn attempt(node: &Arc<Node>, task: &Task, slot: Slot) -> Result<Delivered, Miss> {
    let left = task.deadline.since(node.clock.now());
    let opened = match task.idempotence {
        Idempotence::Idempotent => node.connections.reuse(slot.address, left).await,
        Idempotence::NonIdempotent => node.connections.open(slot.address, left).await,
    };
    let connection = match opened {
        Ok(connection) => connection,
        Err(fault) => return Err(miss(slot, Code::NoMinion, Phase::Unconnected, &fault)),
    };
    exchange(node, task, slot, connection).await
}

fn miss(slot: Slot, code: Code, phase: Phase, fault: &Fault) -> Miss {
    let minion = slot.minion.clone();
    slot.finish(Verdict::Failed);
    Miss { code, phase, outcome: None, detail: format!("{minion}: {fault}"), minion }
}

async fn exchange(
    node: &Arc<Node>,
    task: &Task,
    slot: Slot,
    mut connection: Connection,
) -> Result<Delivered, Miss> {
    let progress = task.service.progress.0;
    let left = task.deadline.since(node.clock.now());
    let request = match outgoing(task, &slot) {
        Ok(request) => request,
        Err(fault) => return Err(miss(slot, Code::BadRequest, Phase::Connected, &fault)),
    };
    let sent = async_std::future::timeout(left, connection.send(request, progress.min(left)));
    let answer = match sent.await {
        Ok(Ok(answer)) => answer,
        Ok(Err(Failure { phase, fault })) => {
            let code = match fault {
                Fault::Timeout { .. } => Code::MinionTimeout,
                _ if phase == client::Phase::ResponseStarted => Code::AnswerBroken,
                _ => Code::MinionLost,
            };
            return Err(miss(slot, code, translate(phase), &fault));
        }
        Err(_) => {
            let fault = Fault::Timeout { operation: "waiting for the answer until the deadline" };
            return Err(miss(slot, Code::MinionTimeout, Phase::AllWritten, &fault));
        }
    };
    if answer.length == Length::UntilClose {
        // Nobody can tell such an answer from one that was cut.
        let fault = Fault::Truncated;
        let miss = miss(slot, Code::AnswerBroken, Phase::AnswerBegun, &fault);
        return Err(Miss { outcome: Some(Outcome::Run), ..miss });
    }
    if answer.head.status() == 503 && task.idempotence == Idempotence::Idempotent {
        return Err(unavailable(slot));
    }
    receive(node, task, slot, connection, answer).await
}

/// A minion that answers 503 is leaving or full; idempotent work goes elsewhere.
fn unavailable(slot: Slot) -> Miss {
    let minion = slot.minion.clone();
    slot.finish(Verdict::Leaving);
    Miss {
        code: Code::NoMinion,
        phase: Phase::AnswerBegun,
        outcome: Some(Outcome::Unknown),
        detail: format!("{minion} answered 503"),
        minion,
    }
}

fn translate(phase: client::Phase) -> Phase {
    match phase {
        client::Phase::Connecting => Phase::Unconnected,
        client::Phase::Connected => Phase::Connected,
        client::Phase::PartWritten => Phase::PartWritten,
        client::Phase::AllWritten => Phase::AllWritten,
        client::Phase::ResponseStarted => Phase::AnswerBegun,
    }
}

fn outgoing(task: &Task, slot: &Slot) -> Result<http_types::Request, Fault> {
    let mut request = client::request(task.method, slot.address, &task.target)?;
    for (name, value) in &task.headers {
        request.append_header(name.as_str(), value.as_str());
    }
    request.set_body(task.body.clone());
    Ok(request)
}

async fn receive(
    node: &Arc<Node>,
    task: &Task,
    slot: Slot,
    connection: Connection,
    answer: ResponseHead,
) -> Result<Delivered, Miss> {
    let progress = task.service.progress.0;
    let limit = if task.keyed { KEPT_LIMIT } else { WHOLE_LIMIT };
    let mut reader = body::Reader::new(answer.length, progress);
    let mut stream = connection.into_stream();
    let mut received = Vec::new();
    while received.len() <= limit {
        match reader.next(&mut stream).await {
            Ok(Some(piece)) => received.extend_from_slice(&piece),
            Ok(None) => {
                if answer.keep_alive {
                    node.connections.keep(slot.address, Connection::new(stream));
                } else {
                    node.connections.forget(slot.address);
                }
                slot.finish(Verdict::Answered);
                let body = Received::Whole(received);
                return Ok(Delivered { head: answer.head, body });
            }
            Err(fault) => {
                // The minion answered, so it ran the request; only its words are lost.
                let miss = miss(slot, Code::AnswerBroken, Phase::AnswerBegun, &fault);
                return Err(Miss { outcome: Some(Outcome::Run), ..miss });
            }
        }
    }
    if task.keyed {
        let fault = Fault::BodyTooLarge { limit: limit as u64 };
        let miss = miss(slot, Code::AnswerBroken, Phase::AnswerBegun, &fault);
        return Err(Miss { outcome: Some(Outcome::Run), ..miss });
    }
    let length = match answer.length {
        Length::Exact(length) => usize::try_from(length).ok(),
        _ => None,
    };
    let body = stream_on(slot, received, reader, stream, length);
    Ok(Delivered { head: answer.head, body: Received::Streaming(body) })
}

/// Passes a long answer on while it comes.  When the minion breaks off, so does the caller's
/// connection: a cut answer is never made to look whole.
fn stream_on(
    slot: Slot,
    received: Vec<u8>,
    mut reader: body::Reader,
    mut stream: Stream,
    length: Option<usize>,
) -> Body {
    let (sender, receiver) = async_std::channel::bounded::<std::io::Result<Vec<u8>>>(PIECES);
    async_std::task::spawn(async move {
        if sender.send(Ok(received)).await.is_err() {
            return;
        }
        loop {
            match reader.next(&mut stream).await {
                Ok(Some(piece)) => {
                    if sender.send(Ok(piece)).await.is_err() {
                        // The caller has gone; the rest of the answer is of no use.
                        return slot.finish(Verdict::Answered);
                    }
                }
                Ok(None) => return slot.finish(Verdict::Answered),
                Err(fault) => {
                    slot.finish(Verdict::Failed);
                    let _ = sender.send(Err(std::io::Error::other(fault.to_string()))).await;
                    return;
                }
            }
        }
    });
    Body::from_reader(Box::pin(receiver).into_async_read(), length)
}
