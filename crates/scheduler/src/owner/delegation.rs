//! The owner's side of delegated calls: chooses delegates, and sends them calls in batches.
//!
//! A delegate that is lost or late costs time only.  Its calls count as unanswered, which the owner
//! treats as it does with a minion's own missing answers, and the owner calls the minions itself.

use crate::clock;
use crate::node::Node;
use crate::owner::Owner;
use crate::rows::Standby;
use async_std::channel;
use async_std::future::timeout;
use celerythread_adapter::minion::Target;
use celerythread_engine::delegation::{Assignment, Candidate, Candidates, Meter, Rate};
use celerythread_engine::time::Time;
use celerythread_wire::channel::{Receiver, Sender};
use celerythread_wire::minion::{Answer, BATCH_WINDOW, Call, Outcome, Request};
use celerythread_wire::{Error, Frame};
use futures::FutureExt as _;
use futures::channel::oneshot;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use stop_token::StopToken;
use stop_token::future::FutureExt as _;

/// Time between two choices of delegates.
const CHOICE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for an entry's agreement to make calls.
const AGREEMENT_TIMEOUT: Duration = Duration::from_millis(350);

/// Most calls in a frame.  A specification has at most 4,000 bytes, so this stays below the largest
/// frame.
const MAX_CALLS_PER_FRAME: usize = 500;

/// Most calls that wait to be sent to one delegate.
const MAX_QUEUED_CALLS: usize = 4096;

/// Time beyond a call's timeout after which the delegate itself is late, if it has sent nothing for
/// as long.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Time beyond a call's timeout after which the call is lost, whatever else the delegate answers.
const LOST_CALL_MARGIN: Duration = Duration::from_millis(1500);

/// Interval between two checks for late answers.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Lag of a check beyond which it says nothing: the owner had no processor time to read answers.
const MAX_CHECK_LAG: Duration = Duration::from_millis(25);

/// Why a delegate gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Lost {
    /// It certainly didn't get the call.
    NotAsked,
    /// It may have made the call, or may do so later.
    Unanswered,
}

/// The delegates of a cell's owner.
#[derive(Default)]
pub(crate) struct Delegation {
    meter: Mutex<Meter>,
    choice: Mutex<Choice>,
}

#[derive(Default)]
struct Choice {
    made_at: Option<Time>,
    assignment: Assignment,
    /// In the order of the assignment.
    delegates: Vec<Arc<Delegate>>,
    candidates: Candidates,
}

impl Delegation {
    /// Counts a call, and returns the delegate that is to make it; none if the owner makes it.
    pub(crate) fn route(&self, owner: &Owner, minion: &str) -> Option<Arc<Delegate>> {
        let now = clock::now();
        self.meter.lock().record(now);
        let mut choice = self.choice.lock();
        if choice.made_at.is_none_or(|at| now.since(at) >= CHOICE_INTERVAL) {
            choice.made_at = Some(now);
            let rate = self.meter.lock().rate(now);
            choice.update(owner, rate, now);
        }
        let delegate = choice.delegates.get(choice.assignment.delegate_of(minion)?)?;
        delegate.is_ready().then(|| delegate.clone())
    }
}

impl Choice {
    /// Assigns the minions anew, and connects the delegates.
    fn update(&mut self, owner: &Owner, rate: Rate, now: Time) {
        let node = &owner.node;
        for delegate in self.delegates.iter().filter(|delegate| delegate.has_failed()) {
            self.candidates.record_failure(&delegate.id, now);
        }
        let mut addresses = HashMap::new();
        let standbys = node.standbys(|zone, standby| {
            let is_in_zone = zone == node.settings.zone;
            let Standby { entry: id, power: millicores, peer } = standby.clone();
            (Candidate { id, millicores, is_in_zone }, peer)
        });
        let mut candidates: Vec<Candidate> = standbys
            .into_iter()
            .map(|(candidate, address)| {
                addresses.insert(candidate.id.clone(), address);
                candidate
            })
            .collect();
        self.candidates.sort(&owner.service, &mut candidates, now);
        let capacities: Vec<u32> = candidates.iter().map(|entry| entry.millicores).collect();
        self.assignment = Assignment::new(rate, node.millicores(), &capacities);
        let former = std::mem::take(&mut self.delegates);
        for Candidate { id, .. } in candidates.into_iter().take(self.assignment.delegates()) {
            let known = former.iter().find(|delegate| delegate.id == id && !delegate.has_failed());
            self.delegates.extend(match known {
                Some(known) => Some(known.clone()),
                None => addresses.get(&id).map(|address| Delegate::connect(owner, id, *address)),
            });
        }
    }
}

/// A call whose answer is awaited.
struct Pending {
    /// When the delegate gives the call up.
    deadline: Time,
    answer: oneshot::Sender<Outcome>,
}

/// Another entry that makes calls for this owner.
pub(crate) struct Delegate {
    id: String,
    calls: channel::Sender<Call>,
    pending: Mutex<HashMap<u64, Pending>>,
    /// When it last answered.
    heard_at: Mutex<Time>,
    last_number: AtomicU64,
    /// Whether it has agreed to make calls.
    has_agreed: AtomicBool,
    has_failed: AtomicBool,
}

impl Delegate {
    fn connect(owner: &Owner, id: String, address: SocketAddr) -> Arc<Self> {
        let (calls, queue) = channel::bounded(MAX_QUEUED_CALLS);
        let delegate = Arc::new(Self {
            id,
            calls,
            pending: Mutex::default(),
            heard_at: Mutex::new(clock::now()),
            last_number: AtomicU64::new(0),
            has_agreed: AtomicBool::new(false),
            has_failed: AtomicBool::new(false),
        });
        let (node, stopped) = (owner.node.clone(), owner.stopped.clone());
        async_std::task::spawn(run(node, delegate.clone(), address, queue, stopped));
        delegate
    }

    fn is_ready(&self) -> bool {
        self.has_agreed.load(Ordering::SeqCst) && !self.has_failed()
    }

    fn has_failed(&self) -> bool {
        self.has_failed.load(Ordering::SeqCst)
    }

    /// Has the delegate make a call.
    ///
    /// # Errors
    /// When it doesn't answer, with whether it may have made the call.
    pub(crate) async fn call(
        &self,
        target: &Target,
        token: u64,
        request: Request,
        timeout: Duration,
    ) -> Result<Outcome, Lost> {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        let (answer, answered) = oneshot::channel();
        let deadline = clock::now() + timeout;
        self.pending.lock().insert(number, Pending { deadline, answer });
        let call = Call {
            number,
            minion: target.id.clone(),
            address: target.address,
            token,
            timeout_ms: timeout.as_millis() as u32,
            request,
        };
        if self.has_failed() || self.calls.try_send(call).is_err() {
            self.pending.lock().remove(&number);
            return Err(Lost::NotAsked);
        }
        answered.await.map_err(|_| Lost::Unanswered)
    }

    /// Whether a call's answer is still awaited and its timeout has not passed.
    fn is_due(&self, number: u64) -> bool {
        let now = clock::now();
        self.pending.lock().get(&number).is_some_and(|call| now < call.deadline)
    }

    fn complete(&self, answers: Vec<Answer>) {
        *self.heard_at.lock() = clock::now();
        let mut pending = self.pending.lock();
        for Answer { number, outcome } in answers {
            if let Some(call) = pending.remove(&number) {
                // The caller may have stopped waiting.
                let _ = call.answer.send(outcome);
            }
        }
    }

    /// Whether an answer is overdue, which a delegate sends even if the minion doesn't answer it, and
    /// nothing else has arrived.  Drops the calls that are lost.
    fn is_late(&self) -> bool {
        let now = clock::now();
        let is_silent = now.since(*self.heard_at.lock()) >= ANSWER_MARGIN;
        let mut pending = self.pending.lock();
        pending.retain(|_, call| now < call.deadline + LOST_CALL_MARGIN);
        is_silent && pending.values().any(|call| now >= call.deadline + ANSWER_MARGIN)
    }
}

/// Exchanges calls and answers with a delegate until it is lost, late or no longer needed.
async fn run(
    node: Arc<Node>,
    delegate: Arc<Delegate>,
    address: SocketAddr,
    queue: channel::Receiver<Call>,
    stopped: StopToken,
) {
    node.journal.info("delegate_added", &[("delegate", &delegate.id), ("peer", &address)]);
    let reason = match open(&node, address).await {
        Some((mut sender, receiver)) => {
            delegate.has_agreed.store(true, Ordering::SeqCst);
            let exchange = exchange(&delegate, &mut sender, receiver, &queue);
            let reason = exchange.timeout_at(stopped).await.unwrap_or("the cell is lost");
            // What was not delivered must not arrive later, when the cell may have another owner.
            sender.reset();
            reason
        }
        None => "no agreement",
    };
    delegate.has_failed.store(true, Ordering::SeqCst);
    queue.close();
    let unanswered = std::mem::take(&mut *delegate.pending.lock()).len();
    let fields: [(&'static str, &dyn std::fmt::Display); 3] =
        [("delegate", &delegate.id), ("reason", &reason), ("unanswered", &unanswered)];
    node.journal.info("delegate_removed", &fields);
}

/// Opens an exchange with an entry that agrees to make calls.  One of a build that knows no delegated
/// calls ends the exchange instead.
async fn open(node: &Node, address: SocketAddr) -> Option<(Sender, Receiver)> {
    let (mut sender, mut receiver) = node.peers.open_exchange(address).await?.split();
    sender.send(&Frame::MinionCalls(Vec::new())).await.ok()?;
    match timeout(AGREEMENT_TIMEOUT, receiver.receive()).await {
        Ok(Ok(Frame::MinionAnswers(_))) => Some((sender, receiver)),
        _ => None,
    }
}

/// Returns why the exchange ended.
async fn exchange(
    delegate: &Arc<Delegate>,
    sender: &mut Sender,
    receiver: Receiver,
    queue: &channel::Receiver<Call>,
) -> &'static str {
    let send = send_calls(delegate, sender, queue).fuse();
    let receive = receive_answers(delegate, receiver).fuse();
    let watch = watch(delegate).fuse();
    futures::pin_mut!(send, receive, watch);
    futures::select! {
        _ = send => "the link is lost",
        _ = receive => "the link is lost",
        reason = watch => reason,
    }
}

async fn send_calls(
    delegate: &Delegate,
    sender: &mut Sender,
    queue: &channel::Receiver<Call>,
) -> Result<(), Error> {
    while let Ok(first) = queue.recv().await {
        async_std::task::sleep(BATCH_WINDOW).await;
        let mut calls = vec![first];
        while calls.len() < MAX_CALLS_PER_FRAME
            && let Ok(call) = queue.try_recv()
        {
            calls.push(call);
        }
        // An owner that was paused may have lost the cell meanwhile.
        calls.retain(|call| delegate.is_due(call.number));
        if calls.is_empty() {
            continue;
        }
        sender.send(&Frame::MinionCalls(calls)).await?;
    }
    Ok(())
}

async fn receive_answers(delegate: &Delegate, mut receiver: Receiver) -> Result<(), Error> {
    loop {
        match receiver.receive().await? {
            Frame::MinionAnswers(answers) => delegate.complete(answers),
            _ => return Ok(()),
        }
    }
}

/// Returns why the exchange must end.
async fn watch(delegate: &Arc<Delegate>) -> &'static str {
    loop {
        let began = clock::now();
        async_std::task::sleep(LATE_CHECK_INTERVAL).await;
        let is_lagging = clock::now().since(began) > LATE_CHECK_INTERVAL + MAX_CHECK_LAG;
        if !is_lagging && delegate.is_late() {
            return "an answer is late";
        }
        // The task that runs the exchange holds one reference itself.
        if Arc::strong_count(delegate) <= 1 && delegate.pending.lock().is_empty() {
            return "not needed";
        }
    }
}
