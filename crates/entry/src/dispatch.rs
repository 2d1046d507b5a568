//! Sends a request to a minion, and resends it to another one where that is allowed.

use crate::metrics::Counter;
use crate::node::Node;
use crate::router::{self, Denied, Slot, SlotRequest};
use celerythread_http::Fault;
use celerythread_http::body;
use celerythread_http::client::{self, Connection, Failure, ResponseHead, SharedBody};
use celerythread_http::head::Length;
use celerythread_http::stream::Stream;
use celerythread_model::code::Code;
use celerythread_model::config::Service;
use celerythread_model::id;
use celerythread_model::request::{Class, Idempotence, Outcome};
use celerythread_policy::phase::{self, Phase};
use celerythread_policy::retry::Budget;
use celerythread_policy::slots::DispatchResult;
use celerythread_policy::time::Moment;
use futures::TryStreamExt;
use http_types::{Body, Method, Response};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Answers up to this size are buffered before the caller gets the first byte.  If such an answer
/// breaks off, the request can still be resent or the failure reported.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1 << 20;

/// Largest answer that can be stored for a keyed request.
const MAX_STORED_ANSWER_BYTES: usize = 32 << 20;

/// Maximum number of attempts at one request, whatever the retry budget allows.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum number of chunks of a streamed answer buffered for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 8;

/// Retry budgets of the services.
pub(crate) type Budgets = Mutex<HashMap<id::Service, Budget>>;

/// A checked request, ready to be sent to a minion.
pub(crate) struct PreparedRequest {
    pub(crate) service: Service,
    pub(crate) class: Class,
    pub(crate) deadline: Moment,
    pub(crate) idempotence: Idempotence,
    /// Whether the answer is to be stored for repeats, so that all of it must be buffered.
    pub(crate) keyed: bool,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: SharedBody,
}

/// A minion's answer.
pub(crate) struct MinionAnswer {
    pub(crate) head: Response,
    pub(crate) body: AnswerBody,
}

/// The body of a minion's answer.
pub(crate) enum AnswerBody {
    /// The whole body.
    Whole(Vec<u8>),
    /// A body too large to buffer, streamed while the minion sends it.
    Streaming(Body),
}

/// Why a request has no answer from a minion.
#[derive(Debug)]
pub(crate) struct DispatchError {
    pub(crate) code: Code,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) detail: String,
}

/// One failed attempt.
struct FailedAttempt {
    code: Code,
    phase: Phase,
    /// The outcome, where it doesn't follow from the phase.
    outcome: Option<Outcome>,
    detail: String,
    minion: id::Minion,
}

/// Sends a request to minions until one answers or it may not be resent.
///
/// # Errors
/// `DispatchError` with the code and the request's outcome as far as it is known.
pub(crate) async fn run(
    node: &Arc<Node>,
    budgets: &Budgets,
    prepared: &PreparedRequest,
) -> Result<MinionAnswer, DispatchError> {
    deposit_retry(budgets, prepared);
    let mut request = SlotRequest {
        service: prepared.service.service.clone(),
        class: prepared.class,
        deadline: prepared.deadline,
        avoid: None,
    };
    let mut outcome = None;
    let mut attempts = 0;
    loop {
        let slot = match router::acquire(node, &request).await {
            Ok(slot) => slot,
            Err(denied) => return Err(no_slot_error(denied, outcome)),
        };
        attempts += 1;
        node.count(Counter::Dispatches);
        let failed_attempt = match attempt(node, prepared, slot).await {
            Ok(minion_answer) => return Ok(minion_answer),
            Err(failed_attempt) => failed_attempt,
        };
        node.count(Counter::DispatchFailures);
        let verdict = phase::decide(failed_attempt.phase, prepared.idempotence);
        outcome = Some(phase::combine(outcome, failed_attempt.outcome.unwrap_or(verdict.outcome)));
        let in_time = prepared.deadline > node.clock.now();
        let may_resend = verdict.may_resend && in_time && attempts < MAX_ATTEMPTS;
        if !may_resend || !try_withdraw_retry(node, budgets, prepared) {
            let outcome = outcome.unwrap_or(Outcome::Unknown);
            let code = failure_code(failed_attempt.code, outcome);
            return Err(DispatchError {
                code,
                outcome,
                retry_after: None,
                detail: failed_attempt.detail,
            });
        }
        node.count(Counter::Resends);
        request.avoid = Some(failed_attempt.minion);
    }
}

fn deposit_retry(budgets: &Budgets, prepared: &PreparedRequest) {
    let mut budgets = budgets.lock();
    let ratio = prepared.service.retry_ratio;
    let budget =
        budgets.entry(prepared.service.service.clone()).or_insert_with(|| Budget::new(ratio));
    budget.set_ratio(ratio);
    budget.deposit();
}

fn try_withdraw_retry(node: &Node, budgets: &Budgets, prepared: &PreparedRequest) -> bool {
    let spent = budgets.lock().get_mut(&prepared.service.service).is_some_and(Budget::try_withdraw);
    if !spent {
        node.count(Counter::ResendsDenied);
    }
    spent
}

fn no_slot_error(denied: Denied, earlier: Option<Outcome>) -> DispatchError {
    DispatchError {
        code: denied.code,
        outcome: phase::combine(earlier, Outcome::NotRun),
        retry_after: denied.retry_after,
        detail: "no slot of the service became free in time".into(),
    }
}

/// Replaces the code of a failure before anything was sent by "no minion", so that code and
/// outcome agree.
fn failure_code(code: Code, outcome: Outcome) -> Code {
    if outcome == Outcome::NotRun { Code::NoMinion } else { code }
}

async fn attempt(
    node: &Arc<Node>,
    prepared: &PreparedRequest,
    slot: Slot,
) -> Result<MinionAnswer, FailedAttempt> {
    let left = prepared.deadline.since(node.clock.now());
    let opened = match prepared.idempotence {
        Idempotence::Idempotent => node.connections.reuse(slot.address, left).await,
        Idempotence::NonIdempotent => node.connections.open(slot.address, left).await,
    };
    let connection = match opened {
        Ok(connection) => connection,
        Err(fault) => return Err(failed_attempt(slot, Code::NoMinion, Phase::Unconnected, &fault)),
    };
    exchange(node, prepared, slot, connection).await
}

fn failed_attempt(slot: Slot, code: Code, phase: Phase, fault: &Fault) -> FailedAttempt {
    let minion = slot.minion.clone();
    slot.finish(DispatchResult::Failed);
    FailedAttempt { code, phase, outcome: None, detail: format!("{minion}: {fault}"), minion }
}

async fn exchange(
    node: &Arc<Node>,
    prepared: &PreparedRequest,
    slot: Slot,
    mut connection: Connection,
) -> Result<MinionAnswer, FailedAttempt> {
    let progress = prepared.service.progress.0;
    let left = prepared.deadline.since(node.clock.now());
    let request = match build_request(prepared, &slot) {
        Ok(request) => request,
        Err(fault) => return Err(failed_attempt(slot, Code::BadRequest, Phase::Connected, &fault)),
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
            return Err(failed_attempt(slot, code, policy_phase(phase), &fault));
        }
        Err(_) => {
            let fault = Fault::Timeout { operation: "waiting for the answer until the deadline" };
            return Err(failed_attempt(slot, Code::MinionTimeout, Phase::AllWritten, &fault));
        }
    };
    if answer.length == Length::UntilClose {
        // Such an answer can't be told from a truncated one.
        let fault = Fault::Truncated;
        let failed_attempt = failed_attempt(slot, Code::AnswerBroken, Phase::AnswerBegun, &fault);
        return Err(FailedAttempt { outcome: Some(Outcome::Run), ..failed_attempt });
    }
    if answer.head.status() == 503 && prepared.idempotence == Idempotence::Idempotent {
        return Err(unavailable(slot));
    }
    receive_body(node, prepared, slot, connection, answer).await
}

/// A minion that answers 503 is leaving or overloaded; idempotent requests go to another one.
fn unavailable(slot: Slot) -> FailedAttempt {
    let minion = slot.minion.clone();
    slot.finish(DispatchResult::Leaving);
    FailedAttempt {
        code: Code::NoMinion,
        phase: Phase::AnswerBegun,
        outcome: Some(Outcome::Unknown),
        detail: format!("{minion} answered 503"),
        minion,
    }
}

fn policy_phase(phase: client::Phase) -> Phase {
    match phase {
        client::Phase::Connecting => Phase::Unconnected,
        client::Phase::Connected => Phase::Connected,
        client::Phase::PartWritten => Phase::PartWritten,
        client::Phase::AllWritten => Phase::AllWritten,
        client::Phase::ResponseStarted => Phase::AnswerBegun,
    }
}

fn build_request(prepared: &PreparedRequest, slot: &Slot) -> Result<http_types::Request, Fault> {
    let mut request = client::request(prepared.method, slot.address, &prepared.target)?;
    for (name, value) in &prepared.headers {
        request.append_header(name.as_str(), value.as_str());
    }
    request.set_body(prepared.body.to_body());
    Ok(request)
}

async fn receive_body(
    node: &Arc<Node>,
    prepared: &PreparedRequest,
    slot: Slot,
    connection: Connection,
    answer: ResponseHead,
) -> Result<MinionAnswer, FailedAttempt> {
    let progress = prepared.service.progress.0;
    let limit = if prepared.keyed { MAX_STORED_ANSWER_BYTES } else { MAX_BUFFERED_ANSWER_BYTES };
    let mut reader = body::Reader::new(answer.length, progress);
    let mut stream = connection.into_stream();
    let mut received = Vec::new();
    while received.len() <= limit {
        match reader.next(&mut stream).await {
            Ok(Some(chunk)) => received.extend_from_slice(&chunk),
            Ok(None) => {
                if answer.keep_alive {
                    node.connections.add_idle(slot.address, Connection::new(stream));
                } else {
                    node.connections.close_idle(slot.address);
                }
                slot.finish(DispatchResult::Answered);
                let body = AnswerBody::Whole(received);
                return Ok(MinionAnswer { head: answer.head, body });
            }
            Err(fault) => {
                // The minion began to answer, so it ran the request; only the answer is lost.
                let failed_attempt =
                    failed_attempt(slot, Code::AnswerBroken, Phase::AnswerBegun, &fault);
                return Err(FailedAttempt { outcome: Some(Outcome::Run), ..failed_attempt });
            }
        }
    }
    if prepared.keyed {
        let fault = Fault::BodyTooLarge { limit: limit as u64 };
        let failed_attempt = failed_attempt(slot, Code::AnswerBroken, Phase::AnswerBegun, &fault);
        return Err(FailedAttempt { outcome: Some(Outcome::Run), ..failed_attempt });
    }
    let length = match answer.length {
        Length::Exact(length) => usize::try_from(length).ok(),
        _ => None,
    };
    let body = stream_body(slot, received, reader, stream, length);
    Ok(MinionAnswer { head: answer.head, body: AnswerBody::Streaming(body) })
}

/// Streams a long answer to the caller.  If the minion's answer is truncated, the caller's
/// connection is aborted, so that the answer never looks complete.
fn stream_body(
    slot: Slot,
    received: Vec<u8>,
    mut reader: body::Reader,
    mut stream: Stream,
    length: Option<usize>,
) -> Body {
    let (sender, receiver) =
        async_std::channel::bounded::<std::io::Result<Vec<u8>>>(MAX_QUEUED_CHUNKS);
    async_std::task::spawn(async move {
        if sender.send(Ok(received)).await.is_err() {
            return;
        }
        loop {
            match reader.next(&mut stream).await {
                Ok(Some(chunk)) => {
                    if sender.send(Ok(chunk)).await.is_err() {
                        // The caller has disconnected; the rest of the answer isn't needed.
                        return slot.finish(DispatchResult::Answered);
                    }
                }
                Ok(None) => return slot.finish(DispatchResult::Answered),
                Err(fault) => {
                    slot.finish(DispatchResult::Failed);
                    let _ = sender.send(Err(std::io::Error::other(fault.to_string()))).await;
                    return;
                }
            }
        }
    });
    Body::from_reader(Box::pin(receiver).into_async_read(), length)
}
