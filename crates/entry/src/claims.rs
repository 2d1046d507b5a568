//! Keyed requests' claims, committed several to a transaction.
//!
//! The table takes several hundred writes a second in all, far fewer than there may be keyed
//! requests.  So claims and settlements that arrive while one transaction is on its way go
//! together into the next.

use crate::metrics::Counter;
use crate::node::Node;
use async_std::channel::{Receiver, Sender};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use celerythread_model::id;
use celerythread_model::request::Outcome;
use celerythread_model::table::{Row, Space};
use celerythread_model::unit::Revision;
use celerythread_platform::Error;
use celerythread_platform::message::Transaction;
use celerythread_policy::claim::{self, Answer, Claim, Decision, Settlement, Stage};
use celerythread_policy::time::Moment;
use futures::channel::oneshot;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Most writes in one transaction.
const BATCH: usize = 128;

/// Operations that may wait for the next transactions.
const BACKLOG: usize = 4096;

/// Times a batch whose answer was lost is read back before its claims are given up.
const READ_BACKS: u32 = 3;

/// Wait between two tries while the platform does not answer.
const RETRY: Duration = Duration::from_millis(500);

/// Largest body kept in the claim's row; a larger one goes to the object store.
const INLINE_LIMIT: usize = 8 * 1024;

/// The way to the task that commits.
pub(crate) struct Claims {
    sender: Sender<Operation>,
    receiver: Receiver<Operation>,
    /// Settlements not yet committed; a graceful stop waits for them.
    unsettled: AtomicUsize,
}

/// One write of a batch.
struct Operation {
    key: String,
    expected: Revision,
    claim: Option<Claim>,
    reply: oneshot::Sender<Result<Revision, Trouble>>,
}

/// Why a write was not made.
#[derive(Debug)]
enum Trouble {
    /// Another row stands under the key.
    Conflict(Row),
    /// The platform did not answer; nothing of ours stays in the table for good.
    Unavailable,
}

/// A claim that is ours.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    key: String,
    revision: Revision,
    claim: Claim,
}

/// What to do with a keyed request.
pub(crate) enum Verdict {
    /// Run it, then settle the claim.
    Run(Held),
    /// Another run decides.
    Settled(Decision),
    /// Claims cannot be recorded now.
    Unavailable,
}

impl Claims {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = async_std::channel::bounded(BACKLOG);
        Self { sender, receiver, unsettled: AtomicUsize::new(0) }
    }

    /// Settlements not yet committed.
    pub(crate) fn unsettled(&self) -> usize {
        self.unsettled.load(Ordering::SeqCst)
    }

    async fn submit(
        &self,
        key: &str,
        expected: Revision,
        claim: Option<Claim>,
    ) -> Result<Revision, Trouble> {
        let (reply, answer) = oneshot::channel();
        let operation = Operation { key: key.into(), expected, claim, reply };
        if self.sender.send(operation).await.is_err() {
            return Err(Trouble::Unavailable);
        }
        answer.await.unwrap_or(Err(Trouble::Unavailable))
    }
}

/// The row's key for a caller's key.
fn row_key(service: &id::Service, key: &str) -> String {
    format!("claim/{service}/{}", hex(&Sha256::digest(key.as_bytes())))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A digest of what a key was used for.
pub(crate) fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    hex(&digest.finalize())
}

/// Claims a key for this process.
pub(crate) async fn claim(
    node: &Arc<Node>,
    service: &id::Service,
    key: &str,
    fingerprint: String,
) -> Verdict {
    let key = row_key(service, key);
    let attempt = format!("{:016x}", rand::random::<u64>());
    let claim = Claim {
        attempt: attempt.parse().expect("hexadecimal digits are an id"),
        entry: node.entry_id.clone(),
        fingerprint,
        stage: Stage::Running,
        made_at: node.clock.wall_ms(),
    };
    match node.claims.submit(&key, Revision(0), Some(claim.clone())).await {
        Ok(revision) => {
            node.count(Counter::Claims);
            Verdict::Run(Held { key, revision, claim })
        }
        Err(Trouble::Unavailable) => Verdict::Unavailable,
        Err(Trouble::Conflict(row)) => {
            let Some(standing) = row.decode::<Claim>() else { return Verdict::Unavailable };
            let alive = |entry: &id::Entry| node.view.read().entries().contains_key(entry);
            let decision = claim::decide(&standing, &claim.attempt, &claim.fingerprint, alive);
            Verdict::Settled(decision)
        }
    }
}

/// Records what became of a claimed request, in the background: the caller has its answer
/// already, and a repeat is told "still running" until this is committed.
pub(crate) fn settle(
    node: &Arc<Node>,
    held: Held,
    outcome: Outcome,
    answer: Option<(Answer, Vec<u8>)>,
) {
    node.claims.unsettled.fetch_add(1, Ordering::SeqCst);
    let node = node.clone();
    async_std::task::spawn(async move {
        settle_until_done(&node, held, outcome, answer).await;
        node.claims.unsettled.fetch_sub(1, Ordering::SeqCst);
    });
}

async fn settle_until_done(
    node: &Arc<Node>,
    held: Held,
    outcome: Outcome,
    answer: Option<(Answer, Vec<u8>)>,
) {
    let answer = match answer {
        Some((answer, body)) => Some(store_body(node, &held, answer, body).await),
        None => None,
    };
    let settlement = claim::settle(outcome, answer);
    let stage = match settlement {
        Settlement::Keep(answer) => Some(Stage::Done { answer }),
        Settlement::Mark => Some(Stage::Unknown),
        Settlement::Release => None,
    };
    let claim = stage.map(|stage| Claim { stage, ..held.claim.clone() });
    loop {
        match node.claims.submit(&held.key, held.revision, claim.clone()).await {
            // A conflict means that the row has changed hands, which only an operator can do.
            Ok(_) | Err(Trouble::Conflict(_)) => return,
            Err(Trouble::Unavailable) => {
                if !node.sleep_unless_stopped(RETRY).await {
                    return;
                }
            }
        }
    }
}

/// Puts a body where repeats find it.
async fn store_body(node: &Arc<Node>, held: &Held, answer: Answer, body: Vec<u8>) -> Answer {
    if body.len() <= INLINE_LIMIT {
        return Answer { body: Some(BASE64_STANDARD.encode(&body)), ..answer };
    }
    let name = format!("answer-{}", held.claim.attempt);
    while node.platform.objects.put(&name, body.clone()).await.is_err() {
        if !node.sleep_unless_stopped(RETRY).await {
            break;
        }
    }
    Answer { object: Some(name), ..answer }
}

/// Fetches the body of a kept answer; none while the object store does not answer.
pub(crate) async fn kept_body(node: &Node, answer: &Answer) -> Option<Vec<u8>> {
    if let Some(text) = &answer.body {
        return BASE64_STANDARD.decode(text).ok();
    }
    let name = answer.object.as_ref()?;
    node.platform.objects.get(name).await.ok().flatten()
}

/// Commits what is submitted, until the process ends.
///
/// Transactions begin at least `claim_interval` apart, so that all entries together stay within
/// the table's several hundred writes a second however many keyed requests there are.  The
/// first after a pause goes at once.
pub(crate) async fn commit_forever(node: Arc<Node>) {
    let mut backlog: VecDeque<Operation> = VecDeque::new();
    let interval = node.settings.claim_interval.0;
    let mut last: Option<Moment> = None;
    loop {
        if backlog.is_empty() {
            let Ok(first) = node.claims.receiver.recv().await else { return };
            backlog.push_back(first);
        }
        let early = last.map(|last| interval.saturating_sub(node.clock.now().since(last)));
        if let Some(early) = early.filter(|early| !early.is_zero()) {
            async_std::task::sleep(early).await;
        }
        last = Some(node.clock.now());
        while let Ok(next) = node.claims.receiver.try_recv() {
            backlog.push_back(next);
        }
        let batch = next_batch(&mut backlog);
        commit(&node, batch).await;
    }
}

/// The next operations, no two on one key: the second's condition needs the first's revision.
fn next_batch(backlog: &mut VecDeque<Operation>) -> Vec<Operation> {
    let mut keys = BTreeSet::new();
    let mut batch = Vec::new();
    let mut later = VecDeque::new();
    while let Some(operation) = backlog.pop_front() {
        if batch.len() < BATCH && keys.insert(operation.key.clone()) {
            batch.push(operation);
        } else {
            later.push_back(operation);
        }
    }
    *backlog = later;
    batch
}

async fn commit(node: &Arc<Node>, mut batch: Vec<Operation>) {
    while !batch.is_empty() {
        match node.platform.table.commit(transaction(&batch)).await {
            Ok(last) => {
                let first = last.0 + 1 - batch.len() as u64;
                for (index, operation) in batch.into_iter().enumerate() {
                    let _ = operation.reply.send(Ok(Revision(first + index as u64)));
                }
                return;
            }
            // Those whose condition failed are answered, and the others go again: a conflict
            // on one key must not fail the requests that happened to share its transaction.
            Err(Error::Conflict { rows }) => batch = answer_conflicts(batch, rows),
            Err(Error::Lost { .. }) => batch = read_back(node, batch).await,
            Err(_) => {
                for operation in batch {
                    let _ = operation.reply.send(Err(Trouble::Unavailable));
                }
                return;
            }
        }
    }
}

fn transaction(batch: &[Operation]) -> Transaction {
    let mut transaction = Transaction::new();
    for operation in batch {
        transaction = transaction.check(Space::Claim, &*operation.key, operation.expected);
        transaction = match &operation.claim {
            Some(claim) => transaction.put(Space::Claim, &*operation.key, claim),
            None => transaction.delete(Space::Claim, &*operation.key),
        };
    }
    transaction
}

fn answer_conflicts(batch: Vec<Operation>, rows: Vec<Row>) -> Vec<Operation> {
    let mut rows: BTreeMap<String, Row> =
        rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    let mut left = Vec::new();
    for operation in batch {
        match rows.remove(&operation.key) {
            Some(row) => {
                let _ = operation.reply.send(Err(Trouble::Conflict(row)));
            }
            None => left.push(operation),
        }
    }
    left
}

/// After a lost answer: finds out whether the transaction was committed.
///
/// Without this a claim could stand in the table that its own maker takes for not made: it
/// would refuse the request as not run, and every repeat would be told "still running".
async fn read_back(node: &Arc<Node>, batch: Vec<Operation>) -> Vec<Operation> {
    let keys: Vec<String> = batch.iter().map(|operation| operation.key.clone()).collect();
    for _ in 0..READ_BACKS {
        let Ok(rows) = node.platform.table.read(Space::Claim, &keys).await else {
            node.sleep_unless_stopped(RETRY / 5).await;
            continue;
        };
        let mut left = Vec::new();
        for (operation, row) in batch.into_iter().zip(rows) {
            let standing: Option<Claim> = row.decode();
            if standing == operation.claim {
                let _ = operation.reply.send(Ok(row.revision));
            } else {
                // Not committed.  Should another have changed the row meanwhile, the
                // condition tells when the operation goes again.
                left.push(operation);
            }
        }
        return left;
    }
    for operation in batch {
        abandon(node, &operation);
        let _ = operation.reply.send(Err(Trouble::Unavailable));
    }
    Vec::new()
}

/// Removes a claim that may have been made although its request was refused, as soon as the
/// platform answers again.
fn abandon(node: &Arc<Node>, operation: &Operation) {
    let Some(claim) = operation.claim.clone().filter(|claim| claim.stage == Stage::Running) else {
        return;
    };
    let node = node.clone();
    let key = operation.key.clone();
    node.claims.unsettled.fetch_add(1, Ordering::SeqCst);
    async_std::task::spawn(async move {
        while node.sleep_unless_stopped(RETRY).await {
            let Ok(rows) = node.platform.table.read(Space::Claim, std::slice::from_ref(&key)).await
            else {
                continue;
            };
            let ours = rows.first().filter(|row| {
                row.decode::<Claim>().is_some_and(|standing| standing.attempt == claim.attempt)
            });
            let Some(row) = ours else { break };
            let removal = Transaction::new()
                .check(Space::Claim, &*key, row.revision)
                .delete(Space::Claim, &*key);
            if node.platform.table.commit(removal).await.is_ok() {
                break;
            }
        }
        node.claims.unsettled.fetch_sub(1, Ordering::SeqCst);
    });
}
