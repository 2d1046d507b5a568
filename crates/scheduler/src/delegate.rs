//! The delegate's side of delegated calls: calls minions for the owner of their cell.
//!
//! It decides nothing: each call has the owner's fencing token and a lease deadline, so a call that
//! is made late has the same effect as one that the owner sent and the network delayed.

use crate::metrics::Counter;
use crate::node::Node;
use async_std::channel;
use celerythread_adapter::Failure;
use celerythread_adapter::minion::{Hold, Reply, Session, Target};
use celerythread_engine::cell::{MinionId, Refusal};
use celerythread_wire::channel::{Receiver, Sender};
use celerythread_wire::minion::{Answer, BATCH_WINDOW, Call, Outcome, Request};
use celerythread_wire::{Channel, Error, Frame};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most answers in a frame.  A report lists at most 500 ends, so this stays below the largest frame.
const MAX_ANSWERS_PER_FRAME: usize = 64;

/// Sessions that were not used for longer are closed.
const MAX_SESSION_IDLE: Duration = Duration::from_secs(10);

/// A session with a minion, and when it was last used.
struct OpenSession {
    session: Arc<async_std::sync::Mutex<Session>>,
    used_at: Instant,
}

/// The calls of one owner in one exchange.
struct Service {
    node: Arc<Node>,
    sessions: Mutex<HashMap<MinionId, OpenSession>>,
    answers: channel::Sender<Answer>,
}

/// Makes calls for an owner until it ends the exchange.  The first frame, with no calls, asks whether
/// this entry is a delegate.
pub(crate) async fn serve(node: Arc<Node>, channel: Channel, first: Vec<Call>) {
    let (mut sender, mut receiver) = channel.split();
    if node.is_stopping() || sender.send(&Frame::MinionAnswers(Vec::new())).await.is_err() {
        return;
    }
    let (answers, queue) = channel::unbounded();
    async_std::task::spawn(send_answers(sender, queue));
    let service = Arc::new(Service { node, sessions: Mutex::default(), answers });
    let mut calls = first;
    loop {
        service.close_idle_sessions();
        for call in calls {
            async_std::task::spawn(service.clone().answer(call));
        }
        // An owner whose delegate is stopping makes its calls itself.
        if service.node.is_stopping() {
            return;
        }
        calls = match next_calls(&mut receiver).await {
            Ok(calls) => calls,
            Err(_) => return,
        };
    }
}

async fn next_calls(receiver: &mut Receiver) -> Result<Vec<Call>, Error> {
    match receiver.receive().await? {
        Frame::MinionCalls(calls) => Ok(calls),
        _ => Err(Error::Closed),
    }
}

/// Sends answers in batches until all calls are answered and the exchange has ended.
async fn send_answers(mut sender: Sender, queue: channel::Receiver<Answer>) {
    while let Ok(first) = queue.recv().await {
        async_std::task::sleep(BATCH_WINDOW).await;
        let mut answers = vec![first];
        while answers.len() < MAX_ANSWERS_PER_FRAME
            && let Ok(answer) = queue.try_recv()
        {
            answers.push(answer);
        }
        if sender.send(&Frame::MinionAnswers(answers)).await.is_err() {
            return;
        }
    }
}

impl Service {
    async fn answer(self: Arc<Self>, call: Call) {
        self.node.metrics.count(Counter::MinionCalls);
        let number = call.number;
        let outcome = match call.request {
            Request::Start { .. } => self.start(call).await,
            Request::Hold { .. } => self.hold(call).await,
        };
        // Without an exchange, nobody waits for the answer.
        let _ = self.answers.send(Answer { number, outcome }).await;
    }

    async fn start(&self, call: Call) -> Outcome {
        let Call { minion, address, token, timeout_ms, request, .. } = call;
        let Request::Start { order, deadline_ms } = request else { return malformed() };
        let (target, timeout) = (Target { address, id: minion }, duration(timeout_ms));
        let client = &self.node.minion_client;
        match client.start(&target, &order, deadline_ms, token, timeout).await {
            Ok(Reply::Done(result, clock_ms)) => Outcome::Started { result, clock_ms },
            Ok(Reply::Refused(refusal)) => Outcome::Refused(refusal),
            Ok(Reply::OtherIncarnation) => Outcome::OtherIncarnation,
            Err(failure) => failure_outcome(failure),
        }
    }

    async fn hold(&self, call: Call) -> Outcome {
        let Call { minion, address, token, timeout_ms, request, .. } = call;
        let Request::Hold { acknowledged, incarnation, deadline_ms, wait_ms } = request else {
            return malformed();
        };
        let wait = duration(wait_ms);
        let hold = Hold { token, acknowledged, incarnation, deadline_ms, wait };
        let session = self.session(&minion);
        let mut session = session.lock().await;
        let target = Target { address, id: minion };
        match session.hold(&target, &hold, duration(timeout_ms)).await {
            Ok(Reply::Done(report, clock_ms)) => {
                let acknowledged = session.acknowledged(report.incarnation);
                Outcome::Reported { report, acknowledged, clock_ms }
            }
            Ok(Reply::Refused(refusal)) => Outcome::Refused(refusal),
            Ok(Reply::OtherIncarnation) => Outcome::OtherIncarnation,
            Err(failure) => failure_outcome(failure),
        }
    }

    fn session(&self, minion: &MinionId) -> Arc<async_std::sync::Mutex<Session>> {
        let mut sessions = self.sessions.lock();
        let open = sessions
            .entry(minion.clone())
            .or_insert_with(|| OpenSession { session: Arc::default(), used_at: Instant::now() });
        open.used_at = Instant::now();
        open.session.clone()
    }

    fn close_idle_sessions(&self) {
        self.sessions.lock().retain(|_, open| open.used_at.elapsed() < MAX_SESSION_IDLE);
    }
}

fn duration(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}

fn malformed() -> Outcome {
    Outcome::NotSent { reason: "the request is of another kind".into() }
}

fn failure_outcome(failure: Failure) -> Outcome {
    match failure {
        Failure::NotSent { reason } => Outcome::NotSent { reason },
        Failure::Overdue { .. } => Outcome::Refused(Refusal::TooLate),
        Failure::Unanswered { reason } => Outcome::Unanswered { reason },
    }
}
